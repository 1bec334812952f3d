package core

import (
	"context"
	"errors"
	"time"
)

// The bounds of what waits for the planner, by queue. Whoever posts beyond them waits; a client's session reads no more
// meanwhile. A request with a body of 64 KiB takes as much, so that arrivals take 16 MB at most.
const (
	newsSize    = 16
	controlSize = 8
	outcomeSize = 512
	arrivalSize = 256
)

// arrivalPatience is how long a request waits for room in its queue before it is refused: a gateway that is asked for more
// than it can decide on says so early, and cheaply.
const arrivalPatience = 100 * time.Millisecond

// ErrStopped says that the planner takes nothing any more.
var ErrStopped = errors.New("core: the planner has stopped")

// ErrBusy says that the planner has more to decide on than it can in time.
var ErrBusy = errors.New("core: the planner is busy")

// message is something that happened, told to the planner.
type message interface {
	handle(*Planner)
	queue() Queue
}

// posted is a message that waits for the planner.
type posted struct {
	message
	at time.Time // since when
}

// inbox holds what waits for the planner. Its queues are taken from in their order: news and control before what clients
// asked for, and the ends of attempts before new requests, as they give an answer, and free what the attempt held.
type inbox struct {
	queues [QueueCount]chan posted
	stop   chan struct{} // closed when the planner ends: nobody may wait for it then
}

func newInbox() inbox {
	return inbox{stop: make(chan struct{}), queues: [QueueCount]chan posted{QueueEndpoints: make(chan posted, newsSize),
		QueueControl: make(chan posted, controlSize), QueueOutcome: make(chan posted, outcomeSize),
		QueueArrival: make(chan posted, arrivalSize)}}
}

// post hands over a message, and waits while its queue is full.
func (b *inbox) post(m message) error {
	select {
	case b.queues[m.queue()] <- posted{m, time.Now()}:
		return nil
	case <-b.stop:
		return ErrStopped
	}
}

// postWithin does the same, but waits for so long at most.
func (b *inbox) postWithin(m message, patience time.Duration) error {
	p := posted{m, time.Now()}
	select {
	case b.queues[m.queue()] <- p:
		return nil
	default:
	}
	late := time.NewTimer(patience)
	defer late.Stop()
	select {
	case b.queues[m.queue()] <- p:
		return nil
	case <-late.C:
		return ErrBusy
	case <-b.stop:
		return ErrStopped
	}
}

// ready takes the message that is to be handled next, if one waits.
func (b *inbox) ready() (posted, bool) {
	for _, q := range b.queues {
		select {
		case m := <-q:
			return m, true
		default:
		}
	}
	return posted{}, false
}

// next takes the message that is to be handled next, and waits for one until wake or the end of the context.
func (b *inbox) next(ctx context.Context, wake <-chan time.Time) (m posted, ok bool) {
	if m, ok = b.ready(); ok {
		return m, true
	}
	select {
	case <-ctx.Done():
	case <-wake:
	case m = <-b.queues[QueueEndpoints]:
		return m, true
	case m = <-b.queues[QueueControl]:
		return m, true
	case m = <-b.queues[QueueOutcome]:
		return m, true
	case m = <-b.queues[QueueArrival]:
		return m, true
	}
	return posted{}, false
}
