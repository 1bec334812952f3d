package store

import (
	"errors"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"time"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
)

// recoverLedger restores the ledger of the folder, closes its open entries, and prepares the first statement, which makes the
// repair durable.
func (s *Store) recoverLedger() (*ledger.Ledger, *Recovered, error) {
	found := &Recovered{}
	m, stored, err := loadStore(filepath.Join(s.options.Dir, dbName))
	if errors.Is(err, errCorrupt) {
		note := fmt.Sprintf("%s: %v; the figures before this start were set aside", dbName, err)
		if err := s.setAside(); err != nil {
			return nil, nil, err
		}
		found.Notes = append(found.Notes, note)
		m, stored, err = meta{}, storedLedger{}, nil
	}
	if err != nil {
		return nil, nil, err
	}
	l, log, err := replay(s.options.Dir, s.options.Limits, m, stored, true)
	if err != nil {
		return nil, nil, err
	}
	found.Replayed, found.Notes = log.postings, append(found.Notes, log.notes...)
	before := l.Total()
	cut := l.CutOff(time.Now().UnixNano())
	after := l.Total()
	found.ClosedPostings, found.CutOffRequests = len(cut), after.N[ledger.FrontCutoff]-before.N[ledger.FrontCutoff]
	s.meta = m
	s.meta.Version, s.meta.Node, s.meta.Role = version, s.options.Node, s.options.Role
	s.meta.Incarnation++
	found.Incarnation = s.meta.Incarnation
	numbers, err := segments(s.options.Dir)
	if err != nil {
		return nil, nil, err
	}
	for _, n := range numbers { // the next statement covers these segments
		s.fullSegments = append(s.fullSegments, &segment{number: n, path: segmentPath(s.options.Dir, n)})
		s.nextNumber = max(s.nextNumber, n)
	}
	s.nextNumber = max(s.nextNumber, m.Segment) + 1
	now := time.Now()
	start := statement.Record{Kind: statement.StartRecord, From: now, To: now,
		Note: fmt.Sprintf("%d postings replayed, %d reqs cut off by a crash", found.Replayed, found.CutOffRequests)}
	s.staged = newStagedStatement()
	s.staged.notes = []statement.Record{start}
	for _, note := range found.Notes {
		s.staged.notes = append(s.staged.notes, statement.Record{Kind: statement.Gap, From: now, To: now, Note: note})
	}
	// The log starts in a new segment after the first statement, and is replayed only if that one was committed. A crash before
	// that leaves the folder unchanged, and the next start repairs it again.
	s.afterGap.Store(true)
	return l, found, nil
}

// setAside renames the embedded store and the segments, so that they are neither read again nor lost.
func (s *Store) setAside() error {
	suffix := fmt.Sprintf(".bad-%d", time.Now().UnixNano())
	numbers, err := segments(s.options.Dir)
	if err != nil {
		return err
	}
	for _, n := range numbers {
		if err := os.Rename(segmentPath(s.options.Dir, n), segmentPath(s.options.Dir, n)+suffix); err != nil {
			return err
		}
	}
	return os.Rename(filepath.Join(s.options.Dir, dbName), filepath.Join(s.options.Dir, dbName)+suffix)
}

// replayResult reports what was read from the log.
type replayResult struct {
	postings int      // number of replayed postings
	notes    []string // messages on records that were lost or not replayed
}

// replay restores a ledger from the embedded store and the log after it. It stops at the first invalid record, and does not
// replay records after a break of the log.
func replay(dir string, limits ledger.Limits, m meta, stored storedLedger, makesStatements bool) (*ledger.Ledger, replayResult, error) {
	l := ledger.New(limits, makesStatements)
	for _, row := range stored.rows {
		l.Restore(row)
	}
	for _, o := range stored.open {
		l.RestoreOpen(o)
	}
	var found replayResult
	numbers, err := segments(dir)
	if err != nil {
		return nil, found, err
	}
	start, broken := m.Position, false
	for i, number := range numbers {
		if number < m.Segment {
			continue
		}
		if number != m.Segment {
			start = 0
		}
		path := segmentPath(dir, number)
		if broken {
			if skipped := countPostings(path, number); skipped > 0 {
				found.notes = append(found.notes, fmt.Sprintf("%s: %d records behind the break were not trusted", path, skipped))
			}
			continue
		}
		s, err := readSegment(path, number, start, m.Statements, l.Post)
		found.postings += max(0, s.end-start)
		if err != nil && !errors.Is(err, errBadHeader) {
			return nil, found, err
		}
		// The log continues in the next segment only if this one is full. After a crash of the machine, the last pages of this
		// segment may be missing while those of the next are present. A reader beside a running gateway may have read this segment
		// before it was full, and the next one afterwards. In both cases the postings between are missing, and replaying the next
		// segment would give a ledger that does not balance.
		broken = !s.isFull
		note := describeBreak(path, s, err)
		if note == "" {
			continue
		}
		broken = true
		// An incomplete header of the last segment is not reported: the process ended before it wrote any record there.
		if !errors.Is(err, errBadHeader) || i < len(numbers)-1 {
			found.notes = append(found.notes, note)
		}
	}
	return l, found, nil
}

// countPostings returns the number of valid records of a segment that is not replayed; 0 if it can't be read.
func countPostings(path string, number uint64) (n int) {
	if _, err := readSegment(path, number, 0, math.MaxUint64, func(ledger.Posting) { n++ }); err != nil {
		return 0
	}
	return n
}

// describeBreak returns a message on the break of the log in a segment; empty if there is none.
func describeBreak(path string, s scanResult, err error) string {
	switch {
	case err != nil:
		return fmt.Sprintf("%s: %v", path, err)
	case s.hasGap:
		return path + ": the disk took no more for a while; what came then was not kept"
	case s.recordsAfterBreak > 0:
		return fmt.Sprintf("%s: record %d is torn; %d records behind it were not trusted", path, s.end, s.recordsAfterBreak)
	}
	return ""
}
