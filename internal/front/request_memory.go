package front

import "dewhitch/internal/memory"

const (
	// unsentRequests is the number of requests whose memory covers the short answers that a client has not read, however many they are:
	// those that the writer writes, and those that wait behind them. maxUnsent limits both.
	unsentRequests = 2 * maxUnsent / memory.RequestBytes
	// requestShare is the part of the free memory for requests that those of one session may take: one in this many bytes.
	requestShare = 2
)

// acquireRequest counts a further command whose answer is pending. It returns false if it must wait until others of the session are
// answered: because there are many, because the client has not read their answers, or because there is no memory for more. The
// first command of a session needs no memory of its own. The caller holds the lock.
func (s *session) acquireRequest() bool {
	if s.pendingCount > 0 && (len(s.slots) >= maxPipelined || s.unsentBytes > maxUnsent) {
		return false
	}
	missing := coveredRequests(s.pendingCount+1, len(s.slots)+1) - s.furtherRequests
	if missing > 0 {
		held := int64(s.furtherRequests) * memory.RequestBytes
		if !s.bounds.account.TryAcquireShare(memory.Requests, int64(missing)*memory.RequestBytes, held, requestShare) {
			return false
		}
		s.furtherRequests += missing
	}
	s.pendingCount++
	s.readAhead()
	return true
}

// coveredRequests returns the number of requests for which a session needs memory beyond that of its first one, while pending commands
// have no written answer and unanswered ones no answer.
func coveredRequests(pending, unanswered int) int {
	return max(0, min(pending-1, unanswered-1+unsentRequests))
}

// releaseRequests counts n answers as written. The caller holds the lock.
func (s *session) releaseRequests(n int) {
	s.pendingCount -= min(n, s.pendingCount)
	s.endReadAhead()
	s.releaseRequestMemory()
}

// releaseRequestMemory releases what the session no longer needs for its pending commands. The caller holds the lock.
func (s *session) releaseRequestMemory() {
	released := s.furtherRequests - coveredRequests(s.pendingCount, len(s.slots))
	if released > 0 {
		s.furtherRequests -= released
		s.bounds.account.Release(memory.Requests, int64(released)*memory.RequestBytes)
	}
}
