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

// rowKey is a row's key in the embedded store.
func rowKey(k ledger.Key) []byte {
	b := binary.BigEndian.AppendUint64(nil, k.Customer)
	return binary.BigEndian.AppendUint16(binary.BigEndian.AppendUint16(b, uint16(k.Plan)), uint16(k.Class))
}

// encodeRow writes the figures that are not 0, each behind the number of its event.
func encodeRow(k ledger.StoredRow) (b []byte) {
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
		if n := k.N[e]; n != 0 {
			b = binary.AppendUvarint(append(b, byte(e)), n)
		}
	}
	b = append(b, 0)
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
		if u := k.Units(e); u != 0 {
			b = binary.AppendVarint(append(b, byte(e)), u)
		}
	}
	b = append(b, 0)
	for _, n := range k.Lost {
		b = binary.AppendUvarint(b, n)
	}
	return seal(b)
}

func decodeRow(key, value []byte) (k ledger.StoredRow, err error) {
	b, err := unseal(value)
	if err != nil || len(key) != 12 {
		return k, errCorrupt
	}
	k.Key = ledger.Key{Customer: binary.BigEndian.Uint64(key), Plan: int16(binary.BigEndian.Uint16(key[8:])),
		Class: int16(binary.BigEndian.Uint16(key[10:]))}
	r := bytes.NewReader(b)
	for list := range 2 {
		for {
			e, err := r.ReadByte()
			if err != nil || ledger.Event(e) >= ledger.EventCount {
				return k, errCorrupt
			}
			if e == 0 {
				break
			}
			if list == 0 {
				n, err := binary.ReadUvarint(r)
				if err != nil {
					return k, errCorrupt
				}
				k.Set(ledger.Event(e), n, 0)
			} else {
				u, err := binary.ReadVarint(r)
				if err != nil {
					return k, errCorrupt
				}
				k.Set(ledger.Event(e), k.N[e], u)
			}
		}
	}
	for i := range k.Lost {
		if k.Lost[i], err = binary.ReadUvarint(r); err != nil {
			return k, errCorrupt
		}
	}
	return k, nil
}

func sortedKeys[T any](m map[ledger.Key]T) []ledger.Key {
	return slices.SortedFunc(maps.Keys(m), func(a, b ledger.Key) int {
		return cmp.Or(cmp.Compare(a.Customer, b.Customer), cmp.Compare(uint16(a.Plan), uint16(b.Plan)),
			cmp.Compare(uint16(a.Class), uint16(b.Class))) // as the store has them
	})
}

// storedLedger is what an embedded store holds of figures.
type storedLedger struct {
	rows []ledger.StoredRow
	open []ledger.OpenEntry
}

// loadStore reads all that an embedded store holds of figures. A file that is not there holds nothing.
func loadStore(path string) (m meta, c storedLedger, err error) {
	if _, err := os.Stat(path); errors.Is(err, fs.ErrNotExist) {
		return m, c, nil
	}
	db, err := open(path, &bbolt.Options{Timeout: defaultOpenTimeout, ReadOnly: true})
	if err != nil {
		return m, c, err
	}
	defer db.Close()
	err = guard(func() error { return db.View(func(tx *bbolt.Tx) error { return loadTx(tx, &m, &c) }) })
	return m, c, err
}

func loadTx(tx *bbolt.Tx, m *meta, c *storedLedger) error {
	b := tx.Bucket(bucketMeta)
	if b == nil { // it was made, and nothing was ever committed
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
		err = json.Unmarshal(text, &c.open)
	}
	if err != nil {
		return fmt.Errorf("%w: the table of what is open can't be read", errCorrupt)
	}
	return tx.Bucket(bucketRows).ForEach(func(k, v []byte) error {
		row, err := decodeRow(k, v)
		if err != nil {
			return fmt.Errorf("%w: row %x", errCorrupt, k)
		}
		c.rows = append(c.rows, row)
		return nil
	})
}

// View is what a folder holds, read beside a gateway that may be at work there.
type View struct {
	Node, Role  string
	Incarnation uint64
	Names       ledger.Names
	Ledger      *ledger.Ledger // what was open when it was read is still open in it
	Replayed    int
	Notes       []string
	First       uint64 // record for export that is there
	Last        uint64
}

// maxReadAttempts is how often Read looks again, where a gateway that writes on meanwhile makes its log look torn.
const maxReadAttempts = 5

// Read reads a folder's books as they stand, the log included. It changes nothing. What a gateway at work posts while it
// is read is in it up to some moment.
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
	defer db.Close() // while it is open, no statement goes in and no segment goes away
	var m meta
	var c storedLedger
	err = guard(func() error { return db.View(func(tx *bbolt.Tx) error { return loadTx(tx, &m, &c) }) })
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	l, log, err := replay(dir, ledger.Limits{Rows: 1 << 30, Open: 1 << 30, Flight: 1 << 12}, m, c, false)
	if err != nil {
		return nil, err
	}
	return &View{m.Node, m.Role, m.Incarnation, m.Names, l, log.postings, log.notes, m.First, m.Seq}, nil
}

// Records hands the records for export behind a number on, in their order.
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
