package store

import (
	"os"

	"go.uber.org/zap"

	"dewhitch/internal/ledger"
)

// createSegments keeps one spare segment ready, until the store closes. It runs on its own goroutine.
func (s *Store) createSegments() {
	failed := false
	for {
		seg, err := s.newSegment()
		if err != nil && !failed {
			s.options.Log.Error("the next segment of the ledger's log can't be created", zap.Error(err))
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

// newSegment creates a segment. It returns nil without an error if the log already has the maximum number of segments that no
// committed statement covers.
func (s *Store) newSegment() (*segment, error) {
	s.mu.Lock()
	n := s.nextNumber
	hasRoom := len(s.fullSegments)+1 < s.options.Segments
	if hasRoom {
		s.nextNumber++
	}
	s.mu.Unlock()
	if !hasRoom {
		return nil, nil
	}
	return createSegment(s.options.Files, s.options.Dir, n, s.options.SegmentBytes)
}

// wantSegment wakes createSegments.
func (s *Store) wantSegment() {
	select {
	case s.segmentWanted <- struct{}{}:
	default:
	}
}

// removeSegment unmaps a segment and deletes its file.
func (s *Store) removeSegment(seg *segment) error {
	if seg.mapped != nil {
		s.options.Files.Unmap(seg.mapped)
		seg.mapped = nil
	}
	return os.Remove(seg.path)
}

// Append implements recorder.Store. Without a usable log it only counts the posting, which the next statement will contain.
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

// rotate makes the spare segment the current one. It returns false if there is no spare.
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

// firstFreeNumber returns the number after the highest number of a segment that holds postings.
func (s *Store) firstFreeNumber() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.meta.Segment
	for _, seg := range s.fullSegments {
		n = max(n, seg.number)
	}
	return n + 1
}
