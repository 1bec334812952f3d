package store

import (
	"fmt"
	"time"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
)

// uncommitted is what was cut and is not on the disk yet.
type uncommitted struct {
	rows               map[ledger.Key]ledger.StoredRow
	open               []ledger.OpenEntry
	deltas             map[ledger.Key]*ledger.Counts
	idempotentRequests []ledger.IdempotentRequest
	notes              []statement.Record // lives and gaps
	segment            uint64
	at                 int
	to                 time.Time
}

func newUncommitted() *uncommitted {
	return &uncommitted{rows: map[ledger.Key]ledger.StoredRow{}, deltas: map[ledger.Key]*ledger.Counts{}}
}

// EndPeriod implements recorder.Keeper.
func (s *Store) EndPeriod() {
	if s.uncommitted == nil {
		s.uncommitted = newUncommitted()
	}
	p := s.uncommitted
	p.to = time.Now()
	if s.unlogged > 0 {
		p.notes = append(p.notes, statement.Record{Kind: statement.Gap, From: p.to, To: p.to, Note: fmt.Sprintf(
			"the log did not hold %d postings for a while; they are in the figures, as no crash came", s.unlogged)})
	}
	s.unlogged = 0
	if !s.logIntact.Load() || s.behindGap.Load() { // this statement holds all that the log lacks: it can be taken up again behind it
		s.resumed = s.rotate()
		if s.resumed {
			s.current.takeUp(s.meta.Statements + 1)
		}
		s.logIntact.Store(s.resumed)
		s.behindGap.Store(false)
	}
	switch {
	case s.logIntact.Load():
		p.segment, p.at = s.current.number, s.current.at
	case s.current != nil:
		p.segment, p.at = s.current.number+1, 0
	default:
		p.segment, p.at = s.firstFree(), 0
	}
}

// Stage implements recorder.Keeper.
func (s *Store) Stage(st ledger.Statement) {
	p := s.uncommitted
	for _, k := range st.Rows {
		p.rows[k.Key] = k
	}
	for _, d := range st.Deltas {
		if p.deltas[d.Key] == nil {
			p.deltas[d.Key] = &ledger.Counts{}
		}
		p.deltas[d.Key].Add(&d.Counts)
	}
	p.open = st.Open
	p.idempotentRequests = append(p.idempotentRequests, st.IdempotentRequests...)
}

// Commit implements recorder.Keeper.
func (s *Store) Commit(names ledger.Names) error {
	p := s.uncommitted
	m, err := s.write(p, names)
	if err != nil {
		if s.resumed {
			s.behindGap.Store(true) // the log goes on behind a gap that no statement on the disk bridges
		}
		p.bound()
		s.wantSegment()
		return err
	}
	s.meta, s.uncommitted, s.resumed = m, nil, false
	s.mu.Lock()
	remaining := s.full[:0]
	for _, seg := range s.full {
		if seg.number >= p.segment || s.remove(seg) != nil {
			remaining = append(remaining, seg)
		}
	}
	clear(s.full[len(remaining):])
	s.full = remaining
	s.mu.Unlock()
	s.wantSegment()
	return nil
}

// bound keeps what waits for the disk from growing: requests with an idempotency key are dropped first, and then the names of customers.
func (p *uncommitted) bound() {
	const maxWaiting = 1 << 16
	if n := len(p.idempotentRequests) - maxWaiting; n > 0 {
		p.idempotentRequests = append([]ledger.IdempotentRequest(nil), p.idempotentRequests[n:]...)
		p.notes = append(p.notes, statement.Record{Kind: statement.Gap, From: p.to, To: p.to,
			Note: fmt.Sprintf("%d tries are in no record, as the disk took none", n)})
	}
	if len(p.notes) > 64 {
		p.notes = p.notes[len(p.notes)-64:]
	}
	if len(p.deltas) <= maxWaiting {
		return
	}
	for k, c := range p.deltas {
		if k.Customer == ledger.Others {
			continue
		}
		delete(p.deltas, k)
		k.Customer = ledger.Others
		if p.deltas[k] == nil {
			p.deltas[k] = &ledger.Counts{}
		}
		p.deltas[k].Add(c)
	}
}
