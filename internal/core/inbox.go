package core

import (
	"context"
	"errors"
	"time"
)

// Capacities of the inbox's queues, in messages. A goroutine that posts to a full queue waits; while a client's session
// waits, it reads no further requests.
const (
	endpointsQueueSize = 16
	controlQueueSize   = 8
	outcomeQueueSize   = 512
	arrivalQueueSize   = 256 // at most 16 MiB with bodies of 64 KiB
)

// arrivalTimeout is how long a request waits for space in its queue before it is rejected, so that an overloaded gateway
// rejects requests early and at little cost.
const arrivalTimeout = 100 * time.Millisecond

// ErrStopped reports that Run has returned and the planner handles no more messages.
var ErrStopped = errors.New("core: the planner has stopped")

// ErrBusy reports that a request was not submitted because its queue stayed full for arrivalTimeout.
var ErrBusy = errors.New("core: the planner is busy")

// inboxMessage is an event for the planner. Any goroutine may post it, unless its type says otherwise; the planner's
// goroutine handles it. Messages of one queue are handled in the order in which they were posted.
type inboxMessage interface {
	handle(*Planner)
	queue() Queue
}

// queuedMessage is a message that waits for the planner.
type queuedMessage struct {
	inboxMessage
	postedAt time.Time
}

// chargeable is a message whose handling costs somebody who is not the planner.
type chargeable interface{ charge(time.Duration) }

// charge counts the time that the planner has used to handle the message.
func (m queuedMessage) charge(d time.Duration) {
	if c, ok := m.inboxMessage.(chargeable); ok {
		c.charge(d)
	}
}

// inbox holds the messages that wait for the planner, in queues by priority, highest first. Endpoint updates and control
// messages go before client work. Ends of attempts go before new requests because they answer a client and release the
// resources of the attempt.
type inbox struct {
	queues  [QueueCount]chan queuedMessage
	held    [QueueCount]*queuedMessage // messages that were taken from their queues and wait for others; used by next only
	stopped chan struct{}              // closed when Run returns, so that no goroutine waits for the planner any longer
}

func newInbox() inbox {
	return inbox{
		queues: [QueueCount]chan queuedMessage{
			QueueEndpoints: make(chan queuedMessage, endpointsQueueSize),
			QueueControl:   make(chan queuedMessage, controlQueueSize),
			QueueOutcome:   make(chan queuedMessage, outcomeQueueSize),
			QueueArrival:   make(chan queuedMessage, arrivalQueueSize),
		},
		stopped: make(chan struct{}),
	}
}

// post adds a message to its queue, and waits while the queue is full. It fails only with ErrStopped. It must not be called
// on the planner's goroutine, which would wait for itself.
func (b *inbox) post(m inboxMessage) error {
	select {
	case b.queues[m.queue()] <- queuedMessage{m, time.Now()}:
		return nil
	case <-b.stopped:
		return ErrStopped
	}
}

// postWithin is like post, but fails with ErrBusy if the queue stays full for the given time.
func (b *inbox) postWithin(m inboxMessage, timeout time.Duration) error {
	p := queuedMessage{m, time.Now()}
	select {
	case b.queues[m.queue()] <- p:
		return nil
	default:
	}
	expired := time.NewTimer(timeout)
	defer expired.Stop()
	select {
	case b.queues[m.queue()] <- p:
		return nil
	case <-expired.C:
		return ErrBusy
	case <-b.stopped:
		return ErrStopped
	}
}

// postAndWait posts a message and waits until its handler sends on done, which must have a buffer of one. It returns the
// handler's error, or ErrStopped.
func (b *inbox) postAndWait(m inboxMessage, done <-chan error) error {
	if err := b.post(m); err != nil {
		return err
	}
	select {
	case err := <-done:
		return err
	case <-b.stopped:
		return ErrStopped
	}
}

// poll takes the first message of the highest-priority queue that is not empty, of those above the queue limit. It returns false if
// they are all empty.
func (b *inbox) poll(limit Queue) (queuedMessage, bool) {
	for q := range limit {
		if held := b.held[q]; held != nil {
			b.held[q] = nil
			return *held, true
		}
		select {
		case m := <-b.queues[q]:
			return m, true
		default:
		}
	}
	return queuedMessage{}, false
}

// next takes the message to be handled next. If there is none, it waits for one until wake fires or the context ends, and
// then returns false.
func (b *inbox) next(ctx context.Context, wake <-chan time.Time) (queuedMessage, bool) {
	m, found := b.poll(QueueCount)
	if !found {
		select {
		case <-ctx.Done():
			return queuedMessage{}, false
		case <-wake:
			return queuedMessage{}, false
		case m = <-b.queues[QueueEndpoints]:
		case m = <-b.queues[QueueControl]:
		case m = <-b.queues[QueueOutcome]:
		case m = <-b.queues[QueueArrival]:
		}
	}
	return b.firstBefore(m), true
}

// firstBefore returns m, or the message that goes before it. Messages of a higher priority that were posted before m may have arrived
// after their queues were searched. m is held if another one goes first.
func (b *inbox) firstBefore(m queuedMessage) queuedMessage {
	for {
		first, found := b.poll(m.queue())
		if !found {
			return m
		}
		later := m
		b.held[m.queue()] = &later
		m = first
	}
}
