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

// The form of a segment: a file with a header and records of a fixed size, each with a checksum. It is allocated with its full
// size when it is created, so that a full disk fails the creation and not a later write. It is written through a memory map,
// whose content survives a kill of the process at any time. The last record is reserved for the mark of a gap.
const (
	recordSize  = 48
	headerSize  = 48
	magic       = "DWLEDG01"
	gapEvent    = 0xff // event of the mark of a gap, after which the log breaks off; its Ref is the number of records written
	resumeEvent = 0xfe // event of the first record of a segment in which the log resumes; its Ref is the number of a statement
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Files creates the files of segments. Tests replace it to inject faults. It is called from several goroutines.
type Files interface {
	// Create creates a file of size zero bytes, allocates all of them, and maps the file into memory. An existing file is an
	// error.
	Create(path string, size int) ([]byte, error)
	// Unmap removes a map that Create returned.
	Unmap(mapped []byte) error
}

// diskFiles creates files on the disk.
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

// segment is a segment that is written, or waits until a committed statement covers it.
type segment struct {
	number   uint64
	path     string
	mapped   []byte // memory map of the file; nil for a segment of an earlier incarnation
	written  int    // number of records written
	capacity int    // number of records that fit, without the one reserved for the mark of a gap
}

func segmentPath(dir string, n uint64) string {
	return filepath.Join(dir, fmt.Sprintf("wal-%016x.log", n))
}

// createSegment creates the file of a segment and writes its header.
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

// put writes one record. There must be room for it.
func (s *segment) put(p ledger.Posting) {
	encode(s.mapped[headerSize+s.written*recordSize:], s.number, uint32(s.written), p)
	s.written++
}

// putResume writes the record that the log resumes after a statement: the records that follow are valid only if that statement
// was committed.
func (s *segment) putResume(statement uint64) {
	s.put(ledger.Posting{Event: resumeEvent, Ref: statement})
}

// putGap writes the mark of a gap after the records written so far, into the reserved last record.
func (s *segment) putGap() {
	encode(s.mapped[headerSize+s.capacity*recordSize:], s.number, uint32(s.capacity), ledger.Posting{Event: gapEvent, Ref: uint64(s.written)})
}

// encode writes a record. The checksum is written last, and covers the segment's number and the record's index, so that a
// record that an earlier file left at the same place on the disk is invalid.
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

// checksum returns the checksum of a record in a segment with this number.
func checksum(b []byte, number uint64) uint32 {
	return crc32.Update(uint32(number)*2654435761, castagnoli, b[4:recordSize])
}

// decode reads a record. It returns false if the checksum or the index is wrong.
func decode(b []byte, number uint64, at uint32) (p ledger.Posting, ok bool) {
	le := binary.LittleEndian
	if le.Uint32(b) != checksum(b, number) || le.Uint32(b[4:]) != at {
		return p, false
	}
	return ledger.Posting{Event: ledger.Event(b[8]), Key: ledger.Key{Customer: le.Uint64(b[16:]),
		Plan: int16(le.Uint16(b[10:])), Class: int16(le.Uint16(b[12:]))}, Ref: le.Uint64(b[24:]),
		Wait: le.Uint16(b[14:]), Units: int64(le.Uint64(b[32:])), At: int64(le.Uint64(b[40:]))}, true
}

// errBadHeader is the error of a file that is not a segment, or not the one with the number in its name.
var errBadHeader = errors.New("its head is not a segment's")

// readSegment calls f with the records of a file from an index on, up to the first invalid record. statements is the number of
// the last committed statement: a log that resumes after a later one breaks off before that record.
func readSegment(path string, number uint64, from int, statements uint64, f func(ledger.Posting)) (scanResult, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return scanResult{}, err
	}
	return scan(b, number, from, statements, f)
}

// scanResult is what reading a segment found.
type scanResult struct {
	end               int  // index after the last valid record
	recordsAfterBreak int  // number of valid records after an invalid one
	hasGap            bool // the log breaks off at a gap, or resumes after a statement that was not committed
	isFull            bool // the last record is valid, so that the log may continue in the next segment
}

// scan does what readSegment does, with the content of a file.
func scan(b []byte, number uint64, from int, statements uint64, f func(ledger.Posting)) (s scanResult, err error) {
	if len(b) < headerSize+2*recordSize || string(b[:8]) != magic || binary.LittleEndian.Uint64(b[8:]) != number ||
		crc32.Checksum(b[:headerSize-4], castagnoli) != binary.LittleEndian.Uint32(b[headerSize-4:]) {
		return s, errBadHeader
	}
	capacity := (len(b)-headerSize)/recordSize - 1
	recordAt := func(i int) (ledger.Posting, bool) {
		return decode(b[headerSize+i*recordSize:], number, uint32(i))
	}
	last, isMarked := recordAt(capacity)
	s.hasGap = isMarked && last.Event == gapEvent
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

// segments returns the sorted numbers of the segments in a folder.
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
