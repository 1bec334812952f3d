package store

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"

	"go.etcd.io/bbolt"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
)

// rowKey returns the key of a row in the embedded store.
func rowKey(k ledger.Key) []byte {
	b := binary.BigEndian.AppendUint64(nil, k.Customer)
	return binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint16(b, uint16(k.Plan)), uint16(k.Class))
}

// encodeRow encodes a row: the counts and the units that are not 0, each preceded by the number of its event, and the lost answers.
func encodeRow(row ledger.StoredRow) (b []byte) {
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
		if n := row.N[e]; n != 0 {
			b = binary.AppendUvarint(append(b, byte(e)), n)
		}
	}
	b = append(b, 0)
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
		if u := row.Units(e); u != 0 {
			b = binary.AppendVarint(append(b, byte(e)), u)
		}
	}
	b = append(b, 0)
	for _, n := range row.Lost {
		b = binary.AppendUvarint(b, n)
	}
	return seal(b)
}

// decodeRow decodes the key and the value of a row. The only error is errCorrupt.
func decodeRow(key, value []byte) (row ledger.StoredRow, err error) {
	b, err := unseal(value)
	if err != nil || len(key) != 12 {
		return row, errCorrupt
	}
	row.Key = ledger.Key{Customer: binary.BigEndian.Uint64(key), Plan: int16(binary.BigEndian.Uint16(key[8:])),
		Class: int16(binary.BigEndian.Uint16(key[10:]))}
	r := bytes.NewReader(b)
	for list := range 2 {
		for {
			e, err := r.ReadByte()
			if err != nil || ledger.Event(e) >= ledger.EventCount {
				return row, errCorrupt
			}
			if e == 0 {
				break
			}
			if list == 0 {
				n, err := binary.ReadUvarint(r)
				if err != nil {
					return row, errCorrupt
				}
				row.Set(ledger.Event(e), n, 0)
			} else {
				u, err := binary.ReadVarint(r)
				if err != nil {
					return row, errCorrupt
				}
				row.Set(ledger.Event(e), row.N[e], u)
			}
		}
	}
	for i := range row.Lost {
		if row.Lost[i], err = binary.ReadUvarint(r); err != nil {
			return row, errCorrupt
		}
	}
	return row, nil
}

// sortedKeys returns the keys of m in the order of rowKey.
func sortedKeys[T any](m map[ledger.Key]T) []ledger.Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b ledger.Key) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(uint16(a.Plan), uint16(b.Plan)),
			cmp.Compare(uint16(a.Class), uint16(b.Class)))
	})
}

// storedLedger is the part of a ledger that the embedded store contains.
type storedLedger struct {
	rows []ledger.StoredRow
	open []ledger.OpenEntry
}

// loadStore reads the ledger from the embedded store. A file that does not exist gives an empty ledger.
func loadStore(path string) (m meta, stored storedLedger, err error) {
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return m, stored, nil
	}
	db, err := open(path, &bbolt.Options{Timeout: defaultOpenTimeout, ReadOnly: true})
	if err != nil {
		return m, stored, err
	}
	defer db.Close()
	err = guard(func() error { return db.View(func(tx *bbolt.Tx) error { return loadTx(tx, &m, &stored) }) })
	return m, stored, err
}

// loadTx reads the meta and the ledger in a transaction. The only errors are errCorrupt and those of the transaction.
func loadTx(tx *bbolt.Tx, m *meta, stored *storedLedger) error {
	b := tx.Bucket(bucketMeta)
	if b == nil { // the file was created, and no statement was ever committed
		return nil
	}
	text, err := unseal(b.Get(keyMeta))
	if err == nil {
		err = json.Unmarshal(text, m)
	}
	if err != nil || m.Version != version {
		return fmt.Errorf("%w: its head can't be read", errCorrupt)
	}
	text, err = unseal(b.Get(keyOpen))
	if err == nil {
		err = json.Unmarshal(text, &stored.open)
	}
	if err != nil {
		return fmt.Errorf("%w: the table of what is open can't be read", errCorrupt)
	}
	return tx.Bucket(bucketRows).ForEach(func(k, v []byte) error {
		row, err := decodeRow(k, v)
		if err != nil {
			return fmt.Errorf("%w: row %x", errCorrupt, k)
		}
		stored.rows = append(stored.rows, row)
		return nil
	})
}

// View is the content of a folder, which a running gateway may use at the same time.
type View struct {
	Node, Role  string
	Incarnation uint64
	Names       ledger.Names
	Ledger      *ledger.Ledger // the restored ledger; entries that are open in the folder are open in it
	Replayed    int            // number of postings in the log that the rows did not contain
	Notes       []string       // messages on what was torn or lost
	First       uint64         // number of the first record for export
	Last        uint64         // number of the last record for export
}

// maxReadAttempts is the maximum number of times that Read reads a folder. The log can look torn while a running gateway writes
// to it.
const maxReadAttempts = 5

// Read restores the ledger of a folder, from the embedded store and the log, and changes nothing. If a running gateway appends
// postings during the call, the ledger contains those before some point in time.
func Read(dir string) (v *View, err error) {
	for range maxReadAttempts {
		if v, err = readOnce(dir); err != nil || len(v.Notes) == 0 {
			break
		}
	}
	return v, err
}

func readOnce(dir string) (*View, error) {
	path := filepath.Join(dir, dbName)
	db, err := open(path, &bbolt.Options{Timeout: defaultOpenTimeout, ReadOnly: true})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	defer db.Close() // while it is open, no statement is committed and no segment is removed
	var m meta
	var stored storedLedger
	err = guard(func() error { return db.View(func(tx *bbolt.Tx) error { return loadTx(tx, &m, &stored) }) })
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	l, log, err := replay(dir, ledger.Limits{Rows: 1 << 30, Open: 1 << 30, RecentPostings: 1 << 12}, m, stored, false)
	if err != nil {
		return nil, err
	}
	return &View{m.Node, m.Role, m.Incarnation, m.Names, l, log.postings, log.notes, m.First, m.Seq}, nil
}

// Records calls f with the records for export whose numbers are greater than after, in order. It stops at an error of f.
func Records(dir string, after uint64, f func(line []byte, r statement.Record) error) error {
	path := filepath.Join(dir, dbName)
	db, err := open(path, &bbolt.Options{Timeout: defaultOpenTimeout, ReadOnly: true})
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer db.Close()
	return guard(func() error {
		return db.View(func(tx *bbolt.Tx) error {
			b := tx.Bucket(bucketRecords)
			if b == nil {
				return nil
			}
			c := b.Cursor()
			for k, v := c.Seek(binary.BigEndian.AppendUint64(nil, after+1)); k != nil; k, v = c.Next() {
				r, err := statement.Parse(v)
				if err != nil {
					return fmt.Errorf("%w: record %x: %v", errCorrupt, k, err)
				}
				if err := f(v, r); err != nil {
					return err
				}
			}
			return nil
		})
	})
}
