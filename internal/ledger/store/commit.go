package store

import (
	"fmt"
	"time"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
)

// stagedStatement merges the statements that were staged and are not committed yet.
type stagedStatement struct {
	rows               map[ledger.Key]ledger.StoredRow
	open               []ledger.OpenEntry
	deltas             map[ledger.Key]*ledger.Counts
	idempotentRequests []ledger.IdempotentRequest
	notes              []statement.Record // records of starts and gaps
	segment            uint64             // number of the segment in which the log continues after the statement
	position           int                // index of the first record in that segment that the statement does not contain
	end                time.Time          // end of the last period that the statement covers
}

func newStagedStatement() *stagedStatement {
	return &stagedStatement{rows: map[ledger.Key]ledger.StoredRow{}, deltas: map[ledger.Key]*ledger.Counts{}}
}

// EndPeriod implements recorder.Store. If the log has broken off, it resumes the log in a new segment if one is ready: the
// statement of this period contains all postings that the log lacks.
func (s *Store) EndPeriod() {
	if s.staged == nil {
		s.staged = newStagedStatement()
	}
	staged := s.staged
	staged.end = time.Now()
	if s.unloggedPostings > 0 {
		staged.notes = append(staged.notes, statement.Record{Kind: statement.Gap, From: staged.end, To: staged.end, Note: fmt.Sprintf(
			"the log did not hold %d postings for a while; they are in the figures, as no crash came", s.unloggedPostings)})
	}
	s.unloggedPostings = 0
	if !s.logIntact.Load() || s.afterGap.Load() {
		s.resumePending = s.rotate()
		if s.resumePending {
			s.current.putResume(s.meta.Statements + 1)
		}
		s.logIntact.Store(s.resumePending)
		s.afterGap.Store(false)
	}
	switch {
	case s.logIntact.Load():
		staged.segment, staged.position = s.current.number, s.current.written
	case s.current != nil:
		staged.segment, staged.position = s.current.number+1, 0
	default:
		staged.segment, staged.position = s.firstFreeNumber(), 0
	}
}

// Stage implements recorder.Store. It merges the statement into those that are not committed yet.
func (s *Store) Stage(st ledger.Statement) {
	staged := s.staged
	for _, row := range st.Rows {
		staged.rows[row.Key] = row
	}
	for _, d := range st.Deltas {
		if staged.deltas[d.Key] == nil {
			staged.deltas[d.Key] = &ledger.Counts{}
		}
		staged.deltas[d.Key].Add(&d.Counts)
	}
	staged.open = st.Open
	staged.idempotentRequests = append(staged.idempotentRequests, st.IdempotentRequests...)
}

// Commit implements recorder.Store. It removes the segments that the statement covers.
func (s *Store) Commit(names ledger.Names) error {
	staged := s.staged
	m, err := s.write(staged, names)
	if err != nil {
		if s.resumePending {
			s.afterGap.Store(true) // the log resumed after a statement that is not committed, and would not be replayed
		}
		staged.limitMemory()
		s.wantSegment()
		return err
	}
	s.meta, s.staged, s.resumePending = m, nil, false
	s.mu.Lock()
	remaining := s.fullSegments[:0]
	for _, seg := range s.fullSegments {
		if seg.number >= staged.segment || s.removeSegment(seg) != nil {
			remaining = append(remaining, seg)
		}
	}
	clear(s.fullSegments[len(remaining):])
	s.fullSegments = remaining
	s.mu.Unlock()
	s.wantSegment()
	return nil
}

// limitMemory limits the size of a statement that can't be committed. It drops the oldest attempts with an idempotency key and the
// oldest notes, and then merges the deltas of customers by plan and class.
func (staged *stagedStatement) limitMemory() {
	const maxPending = 1 << 16
	if n := len(staged.idempotentRequests) - maxPending; n > 0 {
		staged.idempotentRequests = append([]ledger.IdempotentRequest(nil), staged.idempotentRequests[n:]...)
		staged.notes = append(staged.notes, statement.Record{Kind: statement.Gap, From: staged.end, To: staged.end,
			Note: fmt.Sprintf("%d tries are in no record, as the disk took none", n)})
	}
	if len(staged.notes) > 64 {
		staged.notes = staged.notes[len(staged.notes)-64:]
	}
	if len(staged.deltas) <= maxPending {
		return
	}
	for k, c := range staged.deltas {
		if k.Customer == ledger.Others {
			continue
		}
		delete(staged.deltas, k)
		k.Customer = ledger.Others
		if staged.deltas[k] == nil {
			staged.deltas[k] = &ledger.Counts{}
		}
		staged.deltas[k].Add(c)
	}
}
