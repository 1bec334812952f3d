package front

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"dewhitch/internal/memory"
)

// streamReading describes the streamed values that a session holds. Bounds.mu guards it.
type streamReading struct {
	held  int       // number of such values
	since time.Time // time since which there has been one
}

// addStream counts a streamed value that a session holds from now on. Each holds the connection of its backend.
func (b *Bounds) addStream(s *session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams++
	s.streams.held++
	if s.streams.held == 1 {
		s.streams.since = time.Now()
		s.streamedBytes.Store(0)
	}
}

// removeStream ends the count of a streamed value.
func (b *Bounds) removeStream(s *session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.streams--
	s.streams.held--
}

// shedReader closes the session, whose client reads streamed values the slowest.
func (s *session) shedReader() {
	s.mu.Lock()
	s.shedForMemory = true
	s.mu.Unlock()
	s.bounds.account.CountShed(memory.Connections)
	s.abort(ClosedUnread)
}

// slowReader is a session that reads streamed values.
type slowReader struct {
	session *session
	speed   float64 // bytes a second
}

// slowestReaders returns the sessions that read streamed values at the lowest speed: as many as attempts wait for a connection, but
// maxStreams values remain. It leaves out those that have just begun. The caller holds mu.
func (b *Bounds) slowestReaders(waiting int, now time.Time) (slowest []*session) {
	excess := min(waiting, b.streams-b.maxStreams)
	if excess <= 0 {
		return nil
	}
	var all []slowReader
	for s := range b.sessions {
		if elapsed := now.Sub(s.streams.since); s.streams.held > 0 && elapsed >= minStreamTime {
			all = append(all, slowReader{s, float64(s.streamedBytes.Load()) / elapsed.Seconds()})
		}
	}
	slices.SortFunc(all, func(a, b slowReader) int { return cmp.Compare(a.speed, b.speed) })
	for _, r := range all {
		if excess <= 0 {
			break
		}
		slowest = append(slowest, r.session)
		excess -= r.session.streams.held
	}
	return slowest
}

// countedStream is a streamed value that Bounds counts until it is closed.
type countedStream struct {
	Value
	session   *session
	closeOnce sync.Once
}

// Close implements Value.
func (v *countedStream) Close() {
	v.Value.Close()
	v.closeOnce.Do(func() { v.session.bounds.removeStream(v.session) })
}
