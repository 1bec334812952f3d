package core

import (
	"context"
	"errors"
	"time"
)

// Capacities of the inbox's queues, in messages. Whoever posts to a full queue waits; a client's session reads nothing
// meanwhile.
const (
	endpointsQueueSize = 16
	controlQueueSize   = 8
	outcomeQueueSize   = 512
	arrivalQueueSize   = 256 // 16 MiB at most, with bodies of 64 KiB
)

// arrivalPatience is how long a request waits for capacity in its queue before it is rejected: an overloaded gateway
// rejects early, at little cost.
const arrivalPatience = 100 * time.Millisecond

// ErrStopped says that Run has returned: the planner handles no message any more.
var ErrStopped = errors.New("core: the planner has stopped")

// ErrBusy says that a request was not submitted, as its queue stayed full for arrivalPatience.
var ErrBusy = errors.New("core: the planner is busy")

// inboxMessage is an event for the planner. It is posted by any goroutine, unless its type says otherwise, and handled on
// the planner's; messages of one queue are handled in the order in which they were posted.
type inboxMessage interface {
	handle(*Planner)
	queue() Queue
}

// posted is a message that waits for the planner.
type posted struct {
	inboxMessage
	postedAt time.Time
}

// inbox holds the messages that wait for the planner, in queues of strict priority, highest first: endpoint updates and
// control go before clients' work; ends of attempts go before new requests, as they answer a client and release what the
// attempt held.
type inbox struct {
	queues [QueueCount]chan posted
	stop   chan struct{} // closed when Run returns: nobody may wait for the planner then
}

func newInbox() inbox {
	return inbox{
		queues: [QueueCount]chan posted{
			QueueEndpoints: make(chan posted, endpointsQueueSize),
			QueueControl:   make(chan posted, controlQueueSize),
			QueueOutcome:   make(chan posted, outcomeQueueSize),
			QueueArrival:   make(chan posted, arrivalQueueSize),
		},
		stop: make(chan struct{}),
	}
}

// post hands over a message, and waits while its queue is full. It fails with ErrStopped only. It is never called on the
// planner's goroutine, which would wait for itself.
func (b *inbox) post(m inboxMessage) error {
	select {
	case b.queues[m.queue()] <- posted{m, time.Now()}:
		return nil
	case <-b.stop:
		return ErrStopped
	}
}

// postWithin is post that fails with ErrBusy if the queue stays full for so long.
func (b *inbox) postWithin(m inboxMessage, patience time.Duration) error {
	p := posted{m, time.Now()}
	select {
	case b.queues[m.queue()] <- p:
		return nil
	default:
	}
	expired := time.NewTimer(patience)
	defer expired.Stop()
	select {
	case b.queues[m.queue()] <- p:
		return nil
	case <-expired.C:
		return ErrBusy
	case <-b.stop:
		return ErrStopped
	}
}

// call posts a message and waits until its handler sends on done, which must have a buffer of one. It fails with the
// handler's error, or with ErrStopped.
func (b *inbox) call(m inboxMessage, done <-chan error) error {
	if err := b.post(m); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-b.stop:
		return ErrStopped
	}
}

// poll takes the first message of the highest queue that has one.
func (b *inbox) poll() (posted, bool) {
	for _, q := range b.queues {
		select {
		case m := <-q:
			return m, true
		default:
		}
	}
	return posted{}, false
}

// next takes the message that is to be handled next. If there is none it waits for one, until wake or the end of the
// context, which give false.
func (b *inbox) next(ctx context.Context, wake <-chan time.Time) (m posted, ok bool) {
	if m, ok = b.poll(); ok {
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
