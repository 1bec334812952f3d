package store

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"path/filepath"
	"time"

	"go.etcd.io/bbolt"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
)

var (
	bucketMeta    = []byte("meta")
	bucketRows    = []byte("rows")
	bucketRecords = []byte("records")
	keyMeta       = []byte("meta")
	keyOpen       = []byte("open")
)

// write commits a statement to the embedded store in one transaction, and returns the new meta. The caller's meta is unchanged.
func (s *Store) write(staged *stagedStatement, names ledger.Names) (meta, error) {
	db, err := open(filepath.Join(s.options.Dir, dbName), &bbolt.Options{Timeout: s.options.OpenTimeout, NoSync: !s.options.Sync})
	if err != nil {
		return meta{}, err
	}
	defer db.Close()
	var m meta
	err = guard(func() error {
		return db.Update(func(tx *bbolt.Tx) error {
			w := writer{tx: tx, meta: s.meta, maxRecords: s.options.Records}
			err := w.statement(staged, names)
			m = w.meta
			return err
		})
	})
	return m, err
}

// writer writes one statement in one transaction.
type writer struct {
	tx         *bbolt.Tx
	meta       meta
	maxRecords int // number of records for export that are kept
}

// statement writes a whole statement, with the meta last.
func (w *writer) statement(staged *stagedStatement, names ledger.Names) error {
	for _, name := range [][]byte{bucketMeta, bucketRows, bucketRecords} {
		if _, err := w.tx.CreateBucketIfNotExists(name); err != nil {
			return err
		}
	}
	m := &w.meta
	m.Statements++
	from := m.Stated
	if from.IsZero() {
		from = staged.end
	}
	m.Names, m.Segment, m.Position, m.Stated = names, staged.segment, staged.position, staged.end
	w.tx.Bucket(bucketRecords).FillPercent = 1 // records are appended in key order, so that pages can be filled completely
	for _, write := range []func() error{
		func() error { return w.rows(staged) },
		func() error { return w.putJSON(keyOpen, staged.open) },
		func() error { return w.records(staged, names, from) },
		w.dropOldRecords,
	} {
		if err := write(); err != nil {
			return err
		}
	}
	return w.putJSON(keyMeta, m)
}

// rows writes the changed rows, and deletes those that were rolled up.
func (w *writer) rows(staged *stagedStatement) (err error) {
	rows := w.tx.Bucket(bucketRows)
	for _, k := range sortedKeys(staged.rows) {
		row := staged.rows[k]
		if row.RolledUp {
			err = rows.Delete(rowKey(k))
		} else {
			err = rows.Put(rowKey(k), encodeRow(row))
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// records writes the records for export: notes, figures by row, and attempts at requests with an idempotency key.
func (w *writer) records(staged *stagedStatement, names ledger.Names, from time.Time) error {
	for _, r := range staged.notes {
		if err := w.record(r); err != nil {
			return err
		}
	}
	for _, k := range sortedKeys(staged.deltas) {
		r := statement.Record{Kind: statement.Figures, From: from, To: staged.end, Customer: ledger.CustomerText(k.Customer),
			Plan: names.Plan(k.Plan), Class: names.Class(k.Class), Figures: staged.deltas[k]}
		if err := w.record(r); err != nil {
			return err
		}
	}
	for _, request := range staged.idempotentRequests {
		r := statement.Record{Kind: statement.AttemptRecord, From: time.Unix(0, request.Taken).UTC(), To: time.Unix(0, request.Ended).UTC(),
			Customer: ledger.CustomerText(request.Key.Customer), Plan: names.Plan(request.Key.Plan), Class: names.Class(request.Key.Class),
			Key: fmt.Sprintf("%016x", request.Hash), End: request.End.String()}
		if err := w.record(r); err != nil {
			return err
		}
	}
	return nil
}

// record assigns the next number to a record, links it to the chain, and writes it.
func (w *writer) record(r statement.Record) error {
	m := &w.meta
	m.Seq++
	r.Seq, r.Node, r.Role, r.Incarnation = m.Seq, m.Node, m.Role, m.Incarnation
	line := r.Seal(nil, m.Chain) // a new slice, as the embedded store refers to it until the end of the transaction
	m.Chain = r.Chain
	return w.tx.Bucket(bucketRecords).Put(recordKey(m.Seq), line)
}

// dropOldRecords deletes the oldest records beyond maxRecords.
func (w *writer) dropOldRecords() error {
	m := &w.meta
	m.First = max(1, m.First)
	for ; m.Seq-m.First >= uint64(w.maxRecords); m.First++ {
		if err := w.tx.Bucket(bucketRecords).Delete(recordKey(m.First)); err != nil {
			return err
		}
	}
	return nil
}

// putJSON writes a value as JSON with a checksum.
func (w *writer) putJSON(key []byte, v any) error {
	text, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return w.tx.Bucket(bucketMeta).Put(key, seal(text))
}

func recordKey(seq uint64) []byte { return binary.BigEndian.AppendUint64(nil, seq) }
