package store

import (
	"testing"

	"dewhitch/internal/ledger"
)

// A segment may hold anything: what is read of it is records whose checksums hold, in their places.
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
			t.Fatalf("%d records of %d, %d behind, in %d bytes", n, s.end, s.recordsAfterBreak, len(b))
		}
	})
}

// Nor is a row more than what its checksum covers, and a row that is read is written as it was.
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
				t.Fatalf("%x is read as %+v, and again as %+v, %v", v, k, again, err)
			}
		}
	})
}
