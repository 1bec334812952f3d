package store

import (
	"testing"

	"dewhitch/internal/ledger"
)

// FuzzSegment guards against panics and miscounts on segments with arbitrary content: scan must stay within the bytes given.
func FuzzSegment(f *testing.F) {
	dir := f.TempDir()
	s, err := createSegment(diskFiles{}, dir, 7, headerSize+9*recordSize)
	if err != nil {
		f.Fatal(err)
	}
	for i := range 5 {
		s.put(ledger.Posting{Event: ledger.FrontTaken, Ref: uint64(i)})
	}
	s.putGap()
	f.Add(append([]byte(nil), s.mapped...))
	f.Add(s.mapped[:headerSize+3*recordSize])
	f.Fuzz(func(t *testing.T, b []byte) {
		n := 0
		s, err := scan(b, 7, 0, 1, func(ledger.Posting) { n++ })
		if err == nil && (n > s.end || (s.end+s.recordsAfterBreak)*recordSize > len(b)) {
			t.Fatalf("read %d records up to index %d and %d after the break, in %d bytes", n, s.end, s.recordsAfterBreak, len(b))
		}
	})
}

// FuzzRow guards against rows that change when they are read and written again, with arbitrary keys and values, with and without
// a valid checksum.
func FuzzRow(f *testing.F) {
	k := ledger.StoredRow{Key: ledger.Key{Customer: 7, Plan: 1, Class: -3}, Lost: [4]uint64{1, 2, 3, 4}}
	k.Set(ledger.UnitsDrawn, 5, -6)
	f.Add(rowKey(k.Key), encodeRow(k))
	f.Fuzz(func(t *testing.T, key, value []byte) {
		for _, v := range [][]byte{value, seal(append([]byte(nil), value...))} {
			k, err := decodeRow(key, v)
			if err != nil {
				continue
			}
			if again, err := decodeRow(rowKey(k.Key), encodeRow(k)); err != nil || again != k {
				t.Fatalf("%x is decoded as %+v, and after encoding it again as %+v, error %v", v, k, again, err)
			}
		}
	})
}
