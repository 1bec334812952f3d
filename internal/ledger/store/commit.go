package store

import (
	"fmt"
	"time"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/statement"
)

// pending is what was cut and is not on the disk yet.
type pending struct {
	rows    map[ledger.Key]ledger.Kept
	open    []ledger.Open
	deltas  map[ledger.Key]*ledger.Counts
	tries   []ledger.Try
	notes   []statement.Record // lives and gaps
	segment uint64
	at      int
	to      time.Time
}

func newPending() *pending {
	return &pending{rows: map[ledger.Key]ledger.Kept{}, deltas: map[ledger.Key]*ledger.Counts{}}
}

// Mark implements recorder.Keeper.
func (s *Store) Mark() {
	if s.pend == nil {
		s.pend = newPending()
	}
	p := s.pend
	p.to = time.Now()
	if s.lost > 0 {
		p.notes = append(p.notes, statement.Record{Kind: statement.Gap, From: p.to, To: p.to, Note: fmt.Sprintf(
			"the log did not hold %d postings for a while; they are in the figures, as no crash came", s.lost)})
	}
	s.lost = 0
	if !s.kept.Load() || s.broken.Load() { // this statement holds all that the log lacks: it can be taken up again behind it
		s.resumed = s.rotate()
		if s.resumed {
			s.cur.takeUp(s.meta.Statements + 1)
		}
		s.kept.Store(s.resumed)
		s.broken.Store(false)
	}
	switch {
	case s.kept.Load():
		p.segment, p.at = s.cur.number, s.cur.at
	case s.cur != nil:
		p.segment, p.at = s.cur.number+1, 0
	default:
		p.segment, p.at = s.firstFree(), 0
	}
}

// Cut implements recorder.Keeper.
func (s *Store) Cut(st ledger.Statement) {
	p := s.pend
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
	p.tries = append(p.tries, st.Tries...)
}

// Commit implements recorder.Keeper.
func (s *Store) Commit(names ledger.Names) error {
	p := s.pend
	m, err := s.write(p, names)
	if err != nil {
		if s.resumed {
			s.broken.Store(true) // the log goes on behind a gap that no statement on the disk bridges
		}
		p.bound()
		s.kick()
		return err
	}
	s.meta, s.pend, s.resumed = m, nil, false
	s.mu.Lock()
	kept := s.old[:0]
	for _, seg := range s.old {
		if seg.number >= p.segment || s.remove(seg) != nil {
			kept = append(kept, seg)
		}
	}
	clear(s.old[len(kept):])
	s.old = kept
	s.mu.Unlock()
	s.kick()
	return nil
}

// bound keeps what waits for the disk from growing: tries are the first to go, and then the names of hauliers.
func (p *pending) bound() {
	const most = 1 << 16
	if n := len(p.tries) - most; n > 0 {
		p.tries = append([]ledger.Try(nil), p.tries[n:]...)
		p.notes = append(p.notes, statement.Record{Kind: statement.Gap, From: p.to, To: p.to,
			Note: fmt.Sprintf("%d tries are in no record, as the disk took none", n)})
	}
	if len(p.notes) > 64 {
		p.notes = p.notes[len(p.notes)-64:]
	}
	if len(p.deltas) <= most {
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
