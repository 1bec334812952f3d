package backend

import (
	"container/heap"
	"container/list"
)

// connectionShares divides the connections to all backends between the clients whose attempts need them. While there are too few, the next
// connection goes to the waiting client that holds the fewest, and of several to that whose attempt has waited longest: no client waits
// for another one that holds more. It has no clock and does no I/O. Pools.mu guards it.
type connectionShares struct {
	clients  map[uint64]*clientShare // clients that hold a connection or wait for one, by their number
	waiting  clientHeap              // clients of which an attempt waits
	arrivals uint64                  // number of attempts that have waited so far
}

// clientShare is what one client holds and waits for.
type clientShare struct {
	client  uint64
	held    int       // connections that its attempts use
	waiting list.List // attempts that wait (*connectionWait), the oldest first
	index   int       // position in connectionShares.waiting while an attempt waits
}

// connectionWait is the wait of one attempt for a connection.
type connectionWait struct {
	share   *clientShare
	element *list.Element // element in share.waiting
	arrival uint64        // position in the order of all waits
	granted chan struct{} // closed once the attempt may open a connection
}

// newConnectionShares returns the shares of no clients.
func newConnectionShares() *connectionShares {
	return &connectionShares{clients: map[uint64]*clientShare{}}
}

// take counts a connection that an attempt of a client uses.
func (s *connectionShares) take(client uint64) { s.change(s.share(client), 1) }

// giveBack ends what take or grant has counted.
func (s *connectionShares) giveBack(client uint64) { s.change(s.share(client), -1) }

// wait adds an attempt of a client to those that wait. It must be granted a connection, or leave.
func (s *connectionShares) wait(client uint64) *connectionWait {
	share := s.share(client)
	s.arrivals++
	w := &connectionWait{share: share, arrival: s.arrivals, granted: make(chan struct{})}
	w.element = share.waiting.PushBack(w)
	if share.waiting.Len() == 1 {
		heap.Push(&s.waiting, share)
	}
	return w
}

// leave ends the wait of an attempt that was not granted a connection.
func (s *connectionShares) leave(w *connectionWait) {
	share := w.share
	wasFirst := share.waiting.Front() == w.element
	share.waiting.Remove(w.element)
	switch {
	case share.waiting.Len() == 0:
		heap.Remove(&s.waiting, share.index)
	case wasFirst:
		heap.Fix(&s.waiting, share.index)
	}
	s.removeIfUnused(share)
}

// grant passes a connection to the next attempt, and counts it as used by its client. It returns false if no attempt waits.
func (s *connectionShares) grant() bool {
	if !s.anyWaiting() {
		return false
	}
	share := s.waiting[0]
	w := share.waiting.Front().Value.(*connectionWait)
	share.held++ // before leave, which restores the order
	s.leave(w)
	close(w.granted)
	return true
}

// anyWaiting reports whether an attempt waits.
func (s *connectionShares) anyWaiting() bool { return len(s.waiting) > 0 }

// share returns the share of a client, which is new if the client neither holds nor waits for a connection.
func (s *connectionShares) share(client uint64) *clientShare {
	share := s.clients[client]
	if share == nil {
		share = &clientShare{client: client}
		s.clients[client] = share
	}
	return share
}

// change changes the number of connections that a client uses.
func (s *connectionShares) change(share *clientShare, by int) {
	share.held += by
	if share.waiting.Len() > 0 {
		heap.Fix(&s.waiting, share.index)
	}
	s.removeIfUnused(share)
}

func (s *connectionShares) removeIfUnused(share *clientShare) {
	if share.held == 0 && share.waiting.Len() == 0 {
		delete(s.clients, share.client)
	}
}

// clientHeap orders clients of which an attempt waits: first the one that is granted the next connection. It implements heap.Interface.
type clientHeap []*clientShare

func (h clientHeap) Len() int { return len(h) }

func (h clientHeap) Less(i, j int) bool {
	if h[i].held != h[j].held {
		return h[i].held < h[j].held
	}
	return h[i].oldest() < h[j].oldest()
}

// oldest returns the arrival of the client's attempt that has waited longest.
func (c *clientShare) oldest() uint64 { return c.waiting.Front().Value.(*connectionWait).arrival }

func (h clientHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

func (h *clientHeap) Push(share any) {
	c := share.(*clientShare)
	c.index = len(*h)
	*h = append(*h, c)
}

func (h *clientHeap) Pop() any {
	last := len(*h) - 1
	share := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return share
}
