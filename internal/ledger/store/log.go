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
		seg, err := s.newSegment()
		if err != nil && !failed {
			s.options.Log.Error("the ledger's log has no room on the disk", zap.Error(err))
		}
		failed = err != nil
		if seg != nil {
			select {
			case s.spares <- seg:
			case <-s.closing:
				s.remove(seg)
				return
			}
		}
		select {
		case <-s.segmentWanted:
		case <-s.closing:
			return
		}
	}
}

// newSegment makes a segment, if one more may wait for the disk; else it returns nil.
func (s *Store) newSegment() (*segment, error) {
	s.mu.Lock()
	n := s.nextNumber
	mayWait := len(s.full)+1 < s.options.Segments
	if mayWait {
		s.nextNumber++
	}
	s.mu.Unlock()
	if !mayWait {
		return nil, nil
	}
	return createSegment(s.options.Files, s.options.Dir, n, s.options.SegmentBytes)
}

func (s *Store) wantSegment() {
	select {
	case s.segmentWanted <- struct{}{}:
	default:
	}
}

func (s *Store) remove(seg *segment) error {
	if seg.m != nil {
		s.options.Files.Unmap(seg.m)
		seg.m = nil
	}
	return os.Remove(seg.path)
}

// Append implements recorder.Keeper.
func (s *Store) Append(p ledger.Posting) {
	if !s.logIntact.Load() || s.behindGap.Load() {
		s.unlogged++
		return
	}
	if s.current.at == s.current.capacity && !s.rotate() {
		s.current.gap()
		s.logIntact.Store(false)
		s.unlogged++
		return
	}
	s.current.put(p)
}

// rotate goes on in the segment that is ready, if one is.
func (s *Store) rotate() bool {
	select {
	case seg := <-s.spares:
		s.mu.Lock()
		if s.current != nil {
			s.full = append(s.full, s.current)
		}
		s.mu.Unlock()
		s.current = seg
		s.wantSegment()
		return true
	default:
		s.wantSegment()
		return false
	}
}

func (s *Store) firstFree() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.meta.Segment
	for _, seg := range s.full {
		n = max(n, seg.number)
	}
	return n + 1
}
