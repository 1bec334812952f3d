package memory

import (
	"container/list"
	"context"
	"sync"
)

// Use is what memory is used for.
type Use int

// The uses of memory that grows. Each has a capacity of its own, so that none takes what another needs to make progress: commands
// that wait for their answers must leave room for these.
const (
	Sessions Use = iota
	Connections
	Requests
	Commands
	Answers
	useCount
)

var useNames = [useCount]string{"sessions", "connections", "requests", "commands", "answers"}

// String returns the name of the use in metrics and logs.
func (u Use) String() string { return useNames[u] }

// Account is the account of the memory that grows. Bytes are acquired before they are used. It is safe for concurrent use.
type Account struct {
	mu   sync.Mutex
	uses [useCount]use
}

// use is the account of one use.
type use struct {
	capacity, used, peak int64
	waits                int64      // number of acquisitions that had to wait
	shed                 int64      // number of holders that were made to release their bytes
	waitingElsewhere     int        // number of waits of BeginWait
	waiting              *list.List // acquisitions that wait (*waiter), the oldest first
	onShortage           func()     // called when an acquisition starts to wait; nil if nothing can be freed
}

// waiter is an acquisition that waits.
type waiter struct {
	bytes    int64
	acquired chan struct{} // closed once the bytes are acquired
}

// NewAccount returns an account with the capacities of a plan. Client and backend connections are counted with their buffers in the
// system.
func NewAccount(p Plan) *Account {
	a := &Account{}
	for u := range useCount {
		a.uses[u].waiting = list.New()
	}
	a.SetCapacities(p)
	return a
}

// SetCapacities changes the capacities to those of a plan. What is acquired beyond them stays acquired; nothing more is until enough is
// released.
func (a *Account) SetCapacities(p Plan) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for u, capacity := range [useCount]int64{
		Sessions:    int64(p.Sessions) * p.SessionTotal(),
		Connections: int64(p.Connections) * p.ConnectionTotal(),
		Requests:    p.Requests,
		Commands:    p.Commands,
		Answers:     p.Answers,
	} {
		a.uses[u].capacity = capacity
		a.uses[u].wake()
	}
}

// OnShortage sets a function that is called, without a lock, each time an acquisition for a use starts to wait. It should make others
// release bytes. It must be set before the account is used.
func (a *Account) OnShortage(u Use, f func()) { a.uses[u].onShortage = f }

// TryAcquire acquires bytes if they are available and nobody waits for the use.
func (a *Account) TryAcquire(u Use, bytes int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.uses[u].waiting.Len() == 0 && a.uses[u].take(bytes)
}

// TryAcquireShare is like TryAcquire for a holder that holds some bytes already. It acquires more only while all that the holder has is at
// most one in share of the bytes that are free: so some are left for others, however many holders try to get all.
func (a *Account) TryAcquireShare(u Use, bytes, held, share int64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := &a.uses[u]
	if (held+bytes)*share > state.capacity-state.used {
		return false
	}
	return state.waiting.Len() == 0 && state.take(bytes)
}

// Acquire waits until bytes are available and acquires them, in the order of the calls. It returns the context's error if that ends
// before. More bytes than the capacity are acquired once everything else is released.
func (a *Account) Acquire(ctx context.Context, u Use, bytes int64) error {
	a.mu.Lock()
	state := &a.uses[u]
	if state.waiting.Len() == 0 && state.take(bytes) {
		a.mu.Unlock()
		return nil
	}
	w := &waiter{bytes, make(chan struct{})}
	element := state.waiting.PushBack(w)
	state.waits++
	onShortage := state.onShortage
	a.mu.Unlock()
	if onShortage != nil {
		onShortage()
	}
	select {
	case <-w.acquired:
		return nil
	case <-ctx.Done():
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	select {
	case <-w.acquired:
		return nil
	default:
	}
	state.waiting.Remove(element)
	state.wake() // a smaller acquisition behind this one may fit
	return ctx.Err()
}

// Add counts bytes that are used in any case, even beyond the capacity.
func (a *Account) Add(u Use, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	state := &a.uses[u]
	state.used += bytes
	state.peak = max(state.peak, state.used)
}

// Release returns bytes that were acquired.
func (a *Account) Release(u Use, bytes int64) {
	if bytes == 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.uses[u].used -= bytes
	a.uses[u].wake()
}

// BeginWait counts a holder-to-be that waits for bytes outside the account, until EndWait, and calls the function of OnShortage.
func (a *Account) BeginWait(u Use) {
	a.mu.Lock()
	state := &a.uses[u]
	state.waitingElsewhere++
	state.waits++
	onShortage := state.onShortage
	a.mu.Unlock()
	if onShortage != nil {
		onShortage()
	}
}

// EndWait ends a wait that BeginWait began.
func (a *Account) EndWait(u Use) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.uses[u].waitingElsewhere--
}

// CountShed counts a holder that was made to release its bytes because others waited for them.
func (a *Account) CountShed(u Use) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.uses[u].shed++
}

// Waiting returns the number of acquisitions that wait for a use, with the waits of BeginWait.
func (a *Account) Waiting(u Use) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.uses[u].waiting.Len() + a.uses[u].waitingElsewhere
}

// Used returns the bytes that are acquired for a use, and its capacity.
func (a *Account) Used(u Use) (used, capacity int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.uses[u].used, a.uses[u].capacity
}

// take acquires bytes if they are available.
func (s *use) take(bytes int64) bool {
	if s.used > 0 && s.used+bytes > s.capacity {
		return false
	}
	s.used += bytes
	s.peak = max(s.peak, s.used)
	return true
}

// wake passes free bytes to the acquisitions that wait, the oldest first.
func (s *use) wake() {
	for e := s.waiting.Front(); e != nil && s.take(e.Value.(*waiter).bytes); e = s.waiting.Front() {
		close(e.Value.(*waiter).acquired)
		s.waiting.Remove(e)
	}
}

// Figures are the figures of one use.
type Figures struct {
	Use                  Use
	Used, Peak, Capacity int64 // bytes
	Waits                int64 // acquisitions that had to wait
	Shed                 int64 // holders that were made to release their bytes
}

// Figures returns the figures of all uses.
func (a *Account) Figures() (all [useCount]Figures) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for u := range useCount {
		s := &a.uses[u]
		all[u] = Figures{u, s.used, s.peak, s.capacity, s.waits, s.shed}
	}
	return all
}
