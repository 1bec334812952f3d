package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"dewhitch/internal/ledger"
)

// A segment is a file of records of one size, each with a checksum, behind a head. It is given its full size when it is
// made, so that a full disk shows then and not under a write, and it is written through a map of memory: what stands in
// the map survives the process, whenever that is killed. The last place is kept for a record that says that the log
// breaks off.
const (
	recordSize  = 48
	headerSize  = 48
	magic       = "DWLEDG01"
	gapEvent    = 0xff
	resumeEvent = 0xfe // first in a segment: the log goes on behind the statement whose number it holds
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Files is the disk as the store needs it; tests put faults into it.
type Files interface {
	// Create makes a file of so many bytes, all zero and all there, and maps it.
	Create(path string, size int) ([]byte, error)
	Unmap(mapped []byte) error
}

// diskFiles is the real one.
type diskFiles struct{}

func (diskFiles) Create(path string, size int) ([]byte, error) {
	f, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL, 0o640)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	if err = syscall.Fallocate(int(f.Fd()), 0, 0, int64(size)); errors.Is(err, syscall.EOPNOTSUPP) {
		_, err = f.Write(make([]byte, size))
	}
	var m []byte
	if err == nil {
		m, err = syscall.Mmap(int(f.Fd()), 0, size, syscall.PROT_READ|syscall.PROT_WRITE, syscall.MAP_SHARED)
	}
	if err != nil {
		os.Remove(path)
		return nil, &fs.PathError{Op: "create", Path: path, Err: err}
	}
	return m, nil
}

func (diskFiles) Unmap(m []byte) error { return syscall.Munmap(m) }

// segment is one that is being written.
type segment struct {
	number   uint64
	path     string
	mapped   []byte
	written  int // records written
	capacity int // that it has room for
}

func segmentPath(dir string, n uint64) string {
	return filepath.Join(dir, fmt.Sprintf("wal-%016x.log", n))
}

func createSegment(f Files, dir string, n uint64, size int) (*segment, error) {
	s := &segment{number: n, path: segmentPath(dir, n), capacity: (size-headerSize)/recordSize - 1}
	m, err := f.Create(s.path, size)
	if err != nil {
		return nil, err
	}
	s.mapped = m
	copy(m, magic)
	binary.LittleEndian.PutUint64(m[8:], n)
	binary.LittleEndian.PutUint32(m[headerSize-4:], crc32.Checksum(m[:headerSize-4], castagnoli))
	return s, nil
}

// put writes one record; there must be room.
func (s *segment) put(p ledger.Posting) {
	encode(s.mapped[headerSize+s.written*recordSize:], s.number, uint32(s.written), p)
	s.written++
}

// putResume says that what follows stands behind a statement, and counts if that one is on the disk.
func (s *segment) putResume(statement uint64) {
	s.put(ledger.Posting{Event: resumeEvent, Ref: statement})
}

// putGap says in the last place that the log breaks off behind what is written.
func (s *segment) putGap() {
	encode(s.mapped[headerSize+s.capacity*recordSize:], s.number, uint32(s.capacity), ledger.Posting{Event: gapEvent, Ref: uint64(s.written)})
}

// encode writes a record. Its checksum comes last, and covers the segment's number and its own place: what an earlier
// file left there is none of this one's.
func encode(b []byte, number uint64, at uint32, p ledger.Posting) {
	le := binary.LittleEndian
	le.PutUint32(b[4:], at)
	b[8], b[9] = byte(p.Event), 0
	le.PutUint16(b[10:], uint16(p.Key.Plan))
	le.PutUint16(b[12:], uint16(p.Key.Class))
	le.PutUint16(b[14:], p.Wait)
	le.PutUint64(b[16:], p.Key.Customer)
	le.PutUint64(b[24:], p.Ref)
	le.PutUint64(b[32:], uint64(p.Units))
	le.PutUint64(b[40:], uint64(p.At))
	le.PutUint32(b, checksum(b, number))
}

func checksum(b []byte, number uint64) uint32 {
	return crc32.Update(uint32(number)*2654435761, castagnoli, b[4:recordSize])
}

func decode(b []byte, number uint64, at uint32) (p ledger.Posting, ok bool) {
	le := binary.LittleEndian
	if le.Uint32(b) != checksum(b, number) || le.Uint32(b[4:]) != at {
		return p, false
	}
	return ledger.Posting{Event: ledger.Event(b[8]), Key: ledger.Key{Customer: le.Uint64(b[16:]),
		Plan: int16(le.Uint16(b[10:])), Class: int16(le.Uint16(b[12:]))}, Ref: le.Uint64(b[24:]),
		Wait: le.Uint16(b[14:]), Units: int64(le.Uint64(b[32:])), At: int64(le.Uint64(b[40:]))}, true
}

// errBadHeader says that a file is no segment, or not the one that its name says.
var errBadHeader = errors.New("its head is not a segment's")

// readSegment hands the records of a file from a place on to f, up to the first that is not whole. It tells how many it
// read, how many whole ones stand behind one that is not, and whether the log breaks off here: with the file, or before
// it, as it stands behind a statement that came later than those on the disk.
func readSegment(path string, number uint64, from int, statements uint64, f func(ledger.Posting)) (scanResult, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return scanResult{}, err
	}
	return scan(b, number, from, statements, f)
}

// scanResult is what reading a segment found.
type scanResult struct {
	end               int  // place behind the last whole record
	recordsAfterBreak int  // whole records behind one that is not
	hasGap            bool // the log breaks off
	isFull            bool // all places are taken: the log may go on in the next segment
}

// scan does so with a file's bytes.
func scan(b []byte, number uint64, from int, statements uint64, f func(ledger.Posting)) (s scanResult, err error) {
	if len(b) < headerSize+2*recordSize || string(b[:8]) != magic || binary.LittleEndian.Uint64(b[8:]) != number ||
		crc32.Checksum(b[:headerSize-4], castagnoli) != binary.LittleEndian.Uint32(b[headerSize-4:]) {
		return s, errBadHeader
	}
	capacity := (len(b)-headerSize)/recordSize - 1
	recordAt := func(i int) (ledger.Posting, bool) {
		return decode(b[headerSize+i*recordSize:], number, uint32(i))
	}
	last, marked := recordAt(capacity)
	s.hasGap = marked && last.Event == gapEvent
	for s.end = from; s.end < capacity; s.end++ {
		p, ok := recordAt(s.end)
		if !ok {
			break
		}
		if p.Event == resumeEvent {
			if p.Ref > statements {
				_, s.hasGap = recordAt(s.end + 1)
				return s, nil
			}
			continue
		}
		f(p)
	}
	for i := s.end + 1; i < capacity; i++ {
		if _, ok := recordAt(i); ok {
			s.recordsAfterBreak++
		}
	}
	s.isFull = s.end == capacity
	return s, nil
}

// segments lists the numbers of the segments in a folder, in their order.
func segments(dir string) (numbers []uint64, err error) {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil, err
	}
	for _, e := range entries {
		digits, ok := strings.CutPrefix(e.Name(), "wal-")
		digits, isLog := strings.CutSuffix(digits, ".log")
		if n, err := strconv.ParseUint(digits, 16, 64); ok && isLog && err == nil {
			numbers = append(numbers, n)
		}
	}
	slices.Sort(numbers)
	return numbers, nil
}
