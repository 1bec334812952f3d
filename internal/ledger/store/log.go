package store

import (
	"os"

	"go.uber.org/zap"

	"dewhitch/internal/ledger"
)

// createSegments has a segment ready before it is needed.
func (s *Store) createSegments() {
	failed := false
	for {
		seg, err := s.newSegment()
		if err != nil && !failed {
			s.options.Log.Error("the ledger's log has no room on the disk", zap.Error(err))
		}
		failed = err != nil
		if seg != nil {
			select {
			case s.spareSegments <- seg:
			case <-s.closing:
				s.removeSegment(seg)
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
	mayWait := len(s.fullSegments)+1 < s.options.Segments
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

func (s *Store) removeSegment(seg *segment) error {
	if seg.mapped != nil {
		s.options.Files.Unmap(seg.mapped)
		seg.mapped = nil
	}
	return os.Remove(seg.path)
}

// Append implements recorder.Keeper.
func (s *Store) Append(p ledger.Posting) {
	if !s.logIntact.Load() || s.afterGap.Load() {
		s.unloggedPostings++
		return
	}
	if s.current.written == s.current.capacity && !s.rotate() {
		s.current.putGap()
		s.logIntact.Store(false)
		s.unloggedPostings++
		return
	}
	s.current.put(p)
}

// rotate goes on in the segment that is ready, if one is.
func (s *Store) rotate() bool {
	select {
	case seg := <-s.spareSegments:
		s.mu.Lock()
		if s.current != nil {
			s.fullSegments = append(s.fullSegments, s.current)
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

func (s *Store) firstFreeNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.meta.Segment
	for _, seg := range s.fullSegments {
		n = max(n, seg.number)
	}
	return n + 1
}
