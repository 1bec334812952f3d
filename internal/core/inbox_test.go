package core

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// fakeEnvironment implements Backends, Counter, Recorder and Monitor for a planner. It records started attempts and monitor reports.
type fakeEnvironment struct {
	mu     sync.Mutex
	starts []Backend
	events []string
}

func (e *fakeEnvironment) record(format string, a ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.events = append(e.events, fmt.Sprintf(format, a...))
}

func (e *fakeEnvironment) Start(a Attempt, _ func(Stream), _ func(AttemptResult)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.starts = append(e.starts, a.Backend)
}
func (e *fakeEnvironment) Cancel(dw.RequestID, int)                   {}
func (e *fakeEnvironment) Retract(dw.RequestID, int)                  {}
func (e *fakeEnvironment) RetractAll(Backend)                         {}
func (e *fakeEnvironment) Forget(Backend)                             {}
func (e *fakeEnvironment) Add(CounterCall, func(dw.Outcome, float64)) {}
func (e *fakeEnvironment) Ref() uint64                                { return 0 }
func (e *fakeEnvironment) Post(ledger.Posting)                        {}
func (e *fakeEnvironment) TimerLate(time.Duration)                    {}
func (e *fakeEnvironment) Waited(q Queue, _ time.Duration)            { e.record("%v", q) }
func (e *fakeEnvironment) ListApplied(v int64, _ time.Duration)       { e.record("list %d", v) }
func (e *fakeEnvironment) Answered(ledger.Event)                      {}
func (e *fakeEnvironment) Retried(dw.Outcome)                         {}

// busyPlanner is a planner whose goroutine is blocked in the answer to a first request until release is called.
type busyPlanner struct {
	*Planner
	*fakeEnvironment
	release func()
}

func testSettings() dw.Settings {
	return dw.Settings{Instances: 1, Classes: []dw.Class{{Objective: dw.Span(time.Minute), Deadline: dw.Span(time.Minute), Weight: 1}},
		Plans: []dw.Plan{{Rate: 1e6, Burst: 1e6, WeightFactor: 1}}, MaxAttempts: 3, Tick: dw.Span(4 * time.Millisecond),
		SlowStartSpan: dw.Span(13 * time.Second), StartCapacity: 0.22, OverloadSpan: dw.Span(3 * time.Second), OverloadMultiple: 3}
}

func newBusyPlanner(t *testing.T, servers int) *busyPlanner {
	t.Helper()
	w := &fakeEnvironment{}
	p, err := NewPlanner(testSettings(), 1, NewClock(), w, w, w, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	p.SetMonitor(w)
	fullList(1, servers, func(int) dw.EndpointState { return dw.Ready }).handle(p)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx) })
	blocked := make(chan struct{})
	released := make(chan struct{})
	if _, err := p.Submit(&Request{Kind: KindForward, Class: -1, ReceivedAt: time.Now(), Timeout: time.Minute, Units: 1, Spread: 1, Message: Message{Name: "first"},
		Answer: func(Answer) {
			close(blocked)
			<-released
		}}); err != nil {
		t.Fatal(err)
	}
	<-blocked
	var once sync.Once
	b := &busyPlanner{p, w, func() { once.Do(func() { close(released) }) }}
	t.Cleanup(func() {
		b.release()
		cancel()
		running.Wait()
	})
	return b
}

// fullList returns a full list of servers in the given states.
func fullList(version int64, servers int, state func(int) dw.EndpointState) EndpointUpdate {
	l := EndpointUpdate{List: dw.EndpointList{Kind: dw.ListFull, Version: version}, ReadAt: time.Now()}
	for i := range servers {
		l.List.Servers = append(l.List.Servers, dw.Endpoint{ID: dw.ServerID(i + 1), Rating: 1, State: state(i)})
		l.Addrs = append(l.Addrs, fmt.Sprintf("127.0.0.1:%d", i+1))
	}
	return l
}

// newRequest returns a request that any server may serve.
func newRequest(name string, answer func(Answer)) *Request {
	return &Request{Kind: KindForward, ReceivedAt: time.Now(), Timeout: time.Minute, Units: 1, Spread: 1, Message: Message{Name: name}, Answer: answer}
}

// Guards against attempts at draining servers while the planner is behind. The planner is blocked, clients submit more requests
// than its inbox holds, and all servers but one start to drain. It must handle the endpoint update before any of the requests.
func TestEndpointUpdatesPrecedeArrivals(t *testing.T) {
	const servers, requests = 40, arrivalQueueSize + 50
	p := newBusyPlanner(t, servers)
	var clients sync.WaitGroup
	for i := range requests {
		clients.Go(func() { p.Submit(newRequest(fmt.Sprint("r", i), func(Answer) {})) })
	}
	for p.queuedArrivals() < arrivalQueueSize { // the other requests wait for space in the queue
		time.Sleep(time.Millisecond)
	}
	draining := func(i int) dw.EndpointState {
		if i < servers-1 {
			return dw.Draining
		}
		return dw.Ready
	}
	if err := p.UpdateEndpoints(fullList(2, servers, draining)); err != nil {
		t.Fatal(err)
	}
	p.release()
	clients.Wait()
	for p.queuedArrivals() > 0 {
		time.Sleep(time.Millisecond)
	}
	p.fakeEnvironment.mu.Lock()
	defer p.fakeEnvironment.mu.Unlock()
	for _, b := range p.fakeEnvironment.starts {
		if b.ID != servers {
			t.Fatalf("one of %d attempts went to server %d, which is draining; order of events: %.300q", len(p.fakeEnvironment.starts), b.ID, p.events)
		}
	}
}

// queuedArrivals returns the number of requests in the arrival queue.
func (b *busyPlanner) queuedArrivals() int { return len(b.queues[QueueArrival]) }

// newsMessage and arrivalMessage are messages that do nothing.
type (
	newsMessage    struct{}
	arrivalMessage struct{}
)

func (newsMessage) handle(*Planner)    {}
func (newsMessage) queue() Queue       { return QueueEndpoints }
func (arrivalMessage) handle(*Planner) {}
func (arrivalMessage) queue() Queue    { return QueueArrival }

// TestPriorityOfMessagesThatArriveDuringTheWait guards against a request that is handled before the endpoint list that was posted before
// it, because both arrived after the queues were searched and before the wait for a message began.
func TestPriorityOfMessagesThatArriveDuringTheWait(t *testing.T) {
	const rounds = 20000
	for range rounds {
		b := newInbox()
		taken := make(chan queuedMessage, 2)
		go func() {
			for range 2 {
				m, _ := b.next(t.Context(), nil)
				taken <- m
			}
		}()
		if b.post(newsMessage{}) != nil || b.post(arrivalMessage{}) != nil {
			t.Fatal("the inbox is stopped")
		}
		if first, second := <-taken, <-taken; first.queue() != QueueEndpoints || second.queue() != QueueArrival {
			t.Fatalf("got a message of queue %v first, and then of %v", first.queue(), second.queue())
		}
	}
}
