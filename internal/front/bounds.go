package front

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"dewhitch/internal/memory"
)

// Sizes of commands and answers, and limits of a session.
const (
	maxPipelined    = 64      // maximum number of unanswered commands of a session; further ones stay unread
	minLargeCommand = 2 << 10 // size in bytes above which a command counts as large: its memory is acquired before it is read
	maxUnsent       = 4 << 10 // bytes of a session's unsent short answers above which no more of its commands are read
)

// Times after which a session is closed because others wait for the memory that it holds.
const (
	shedInterval     = 20 * time.Millisecond   // time between two searches for such sessions
	maxArrivalTime   = 300 * time.Millisecond  // time for a large command to arrive
	minStreamTime    = 100 * time.Millisecond  // time for which a streamed value is read before its client's speed is judged
	maxMemoryWait    = 1500 * time.Millisecond // time for which a command that is being read waits for memory
	largestShedBatch = 16                      // sessions that one search closes, at most
)

// assumedDescriptors is the number of descriptors of a process for NewBounds.
const assumedDescriptors = 1024

// Bounds limits the memory that all client sessions of a gateway use together. It is safe for concurrent use.
type Bounds struct {
	account       *memory.Account
	sessionBytes  int64     // what a session takes while it is open
	sendBuffer    int       // bytes that the system may hold unsent for a client
	receiveBuffer int       // bytes that the system may hold unread of a client
	chunks        sync.Pool // buffers for parts of streamed values (*[]byte)

	maxStreams int // number of streamed values that are not closed when connections to backends are short; each holds one

	mu       sync.Mutex // never held while the lock of a session is taken
	sessions map[*session]struct{}
	streams  int  // number of streamed values that sessions hold
	shedding bool // whether a goroutine searches for sessions to close
}

// NewBounds returns the bounds for a process with 1,024 descriptors that may use memoryBytes bytes and holds nothing else.
func NewBounds(memoryBytes int) *Bounds {
	plan := memory.NewPlan(memory.Machine{Bytes: int64(memoryBytes), Sockets: assumedDescriptors, Sessions: assumedDescriptors})
	return NewPlannedBounds(plan, memory.NewAccount(plan))
}

// NewPlannedBounds returns the bounds for a process whose memory is divided by a plan. The account has the capacities of the plan; other
// parts of the process may use it too.
func NewPlannedBounds(p memory.Plan, account *memory.Account) *Bounds {
	b := &Bounds{
		account:       account,
		sessionBytes:  p.SessionTotal(),
		sendBuffer:    p.SocketBuffer / 2,
		receiveBuffer: p.SocketBuffer / 2,
		maxStreams:    max(1, p.Connections/2),
		sessions:      map[*session]struct{}{},
	}
	b.chunks.New = func() any {
		chunk := make([]byte, p.ValueChunk)
		return &chunk
	}
	account.OnShortage(memory.Commands, b.shed)
	account.OnShortage(memory.Connections, b.shed)
	return b
}

// add counts a session. It may exceed the capacity: the server limits the number of sessions.
func (b *Bounds) add(s *session) {
	b.account.Add(memory.Sessions, b.sessionBytes)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sessions[s] = struct{}{}
}

// remove ends the count of a session that has ended.
func (b *Bounds) remove(s *session) {
	b.account.Release(memory.Sessions, b.sessionBytes)
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.sessions, s)
}

// shed starts to close the slowest sessions, until nobody waits for the memory of commands or for connections to backends any more.
func (b *Bounds) shed() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.shedding {
		return
	}
	b.shedding = true
	go func() {
		for b.shedOnce() {
			time.Sleep(shedInterval)
		}
	}()
}

// shedOnce closes the slowest sessions, as many as acquisitions wait. It returns false if none waits.
func (b *Bounds) shedOnce() bool {
	commands, connections := b.account.Waiting(memory.Commands), b.account.Waiting(memory.Connections)
	b.mu.Lock()
	if commands == 0 && connections == 0 {
		b.shedding = false
		b.mu.Unlock()
		return false
	}
	sessions := slices.Collect(maps.Keys(b.sessions))
	slowReaders := b.slowestReaders(connections, time.Now())
	b.mu.Unlock()
	for _, s := range slowReaders {
		s.shedReader()
	}
	shedOverdue(sessions, min(commands, largestShedBatch))
	return true
}

// shedOverdue closes the n sessions whose large commands have been arriving for the longest time beyond maxArrivalTime.
func shedOverdue(sessions []*session, n int) {
	if n == 0 {
		return
	}
	type slowWriter struct {
		session *session
		overdue time.Duration
	}
	var all []slowWriter
	now := time.Now()
	for _, s := range sessions {
		if overdue := s.commandOverdue(now); overdue > 0 {
			all = append(all, slowWriter{s, overdue})
		}
	}
	slices.SortFunc(all, func(a, b slowWriter) int { return cmp.Compare(b.overdue, a.overdue) })
	for _, w := range all[:min(n, len(all))] {
		w.session.shedCommand()
	}
}
