package store

import (
	"os"

	"go.uber.org/zap"

	"dewhitch/internal/ledger"
)

// prepare has a segment ready before it is needed.
func (s *Store) prepare() {
	failed := false
	for {
		seg, err := s.make()
		if err != nil && !failed {
			s.o.Log.Error("the ledger's log has no room on the disk", zap.Error(err))
		}
		failed = err != nil
		if seg != nil {
			select {
			case s.spares <- seg:
			case <-s.over:
				s.remove(seg)
				return
			}
		}
		select {
		case <-s.want:
		case <-s.over:
			return
		}
	}
}

// make makes a segment, if one more may wait for the disk; else it returns nil.
func (s *Store) make() (*segment, error) {
	s.mu.Lock()
	n := s.next
	room := len(s.old)+1 < s.o.Segments
	if room {
		s.next++
	}
	s.mu.Unlock()
	if !room {
		return nil, nil
	}
	return createSegment(s.o.Files, s.o.Dir, n, s.o.SegmentBytes)
}

func (s *Store) kick() {
	select {
	case s.want <- struct{}{}:
	default:
	}
}

func (s *Store) remove(seg *segment) error {
	if seg.m != nil {
		s.o.Files.Unmap(seg.m)
		seg.m = nil
	}
	return os.Remove(seg.path)
}

// Append implements recorder.Keeper.
func (s *Store) Append(p ledger.Posting) {
	if !s.kept.Load() || s.broken.Load() {
		s.lost++
		return
	}
	if s.cur.at == s.cur.most && !s.rotate() {
		s.cur.gap()
		s.kept.Store(false)
		s.lost++
		return
	}
	s.cur.put(p)
}

// rotate goes on in the segment that is ready, if one is.
func (s *Store) rotate() bool {
	select {
	case seg := <-s.spares:
		s.mu.Lock()
		if s.cur != nil {
			s.old = append(s.old, s.cur)
		}
		s.mu.Unlock()
		s.cur = seg
		s.kick()
		return true
	default:
		s.kick()
		return false
	}
}

func (s *Store) firstFree() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.meta.Segment
	for _, seg := range s.old {
		n = max(n, seg.number)
	}
	return n + 1
}
