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

// recorder stands in for the backends, the counter, the books and the monitor of a planner, and keeps what it is told.
type recorder struct {
	mu     sync.Mutex
	starts []Backend
	events []string
}

func (r *recorder) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.events = append(r.events, fmt.Sprintf(format, a...))
}

func (r *recorder) Start(f Attempt, _ func(Stream), _ func(AttemptResult)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.starts = append(r.starts, f.Backend)
}
func (r *recorder) Cancel(dw.RequestID, int)                   {}
func (r *recorder) Retract(dw.RequestID, int)                  {}
func (r *recorder) Withdraw(Backend)                           {}
func (r *recorder) Forget(Backend)                             {}
func (r *recorder) Add(CounterCall, func(dw.Outcome, float64)) {}
func (r *recorder) Ref() uint64                                { return 0 }
func (r *recorder) Post(ledger.Posting)                        {}
func (r *recorder) Waited(q Queue, _ time.Duration)            { r.note("%v", q) }
func (r *recorder) ListApplied(v int64, _ time.Duration)       { r.note("list %d", v) }
func (r *recorder) Answered(ledger.Event)                      {}
func (r *recorder) Retried(dw.Outcome)                         {}

// busyPlanner is a planner that stands still in the answer to a first request until it is released.
type busyPlanner struct {
	*Planner
	*recorder
	release func()
}

func testSettings() dw.Settings {
	return dw.Settings{Instances: 1, Classes: []dw.Class{{Objective: dw.Span(time.Minute), Deadline: dw.Span(time.Minute), Weight: 1}},
		Plans: []dw.Plan{{Rate: 1e6, Burst: 1e6, WeightFactor: 1}}, MaxAttempts: 3, Tick: dw.Span(4 * time.Millisecond),
		SlowStartSpan: dw.Span(13 * time.Second), StartCapacity: 0.22, OverloadSpan: dw.Span(3 * time.Second), OverloadMultiple: 3}
}

func newBusyPlanner(t *testing.T, servers int) *busyPlanner {
	t.Helper()
	r := &recorder{}
	p, err := NewPlanner(testSettings(), 1, NewClock(), r, r, r, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	p.SetMonitor(r)
	listing(1, servers, func(int) dw.EndpointState { return dw.Ready }).handle(p)
	ctx, cancel := context.WithCancel(t.Context())
	var running sync.WaitGroup
	running.Go(func() { p.Run(ctx) })
	standing, released := make(chan struct{}), make(chan struct{})
	if _, err := p.Submit(&Request{Kind: KindForward, Class: -1, ReceivedAt: time.Now(), Timeout: time.Minute, Units: 1, Spread: 1, Message: Message{Name: "first"},
		Answer: func(Answer) {
			close(standing)
			<-released
		}}); err != nil {
		t.Fatal(err)
	}
	<-standing
	var once sync.Once
	b := &busyPlanner{p, r, func() { once.Do(func() { close(released) }) }}
	t.Cleanup(func() {
		b.release()
		cancel()
		running.Wait()
	})
	return b
}

// listing is a whole list of servers in the states given.
func listing(version int64, servers int, state func(int) dw.EndpointState) EndpointUpdate {
	l := EndpointUpdate{List: dw.EndpointList{Kind: dw.ListFull, Version: version}, ReadAt: time.Now()}
	for i := range servers {
		l.List.Servers = append(l.List.Servers, dw.Endpoint{ID: dw.ServerID(i + 1), Rating: 1, State: state(i)})
		l.Addrs = append(l.Addrs, fmt.Sprintf("127.0.0.1:%d", i+1))
	}
	return l
}

// request is one that any server may serve.
func request(name string, answer func(Answer)) *Request {
	return &Request{Kind: KindForward, ReceivedAt: time.Now(), Timeout: time.Minute, Units: 1, Spread: 1, Message: Message{Name: name}, Answer: answer}
}

// The planner is held up while clients ask for more than its inbox holds, and servers begin to drain: it hears of that before
// it decides on any of the requests, and none goes to a server that drains.
func TestNewsGoesBeforeClientWork(t *testing.T) {
	const servers, asked = 40, arrivalSize + 50
	p := newBusyPlanner(t, servers)
	var clients sync.WaitGroup
	for i := range asked {
		clients.Go(func() { p.Submit(request(fmt.Sprint("r", i), func(Answer) {})) })
	}
	for p.waiting() < arrivalSize { // the rest waits for room
		time.Sleep(time.Millisecond)
	}
	draining := func(i int) dw.EndpointState {
		if i < servers-1 {
			return dw.Draining
		}
		return dw.Ready
	}
	if err := p.UpdateEndpoints(listing(2, servers, draining)); err != nil {
		t.Fatal(err)
	}
	p.release()
	clients.Wait()
	for p.waiting() > 0 {
		time.Sleep(time.Millisecond)
	}
	p.recorder.mu.Lock()
	defer p.recorder.mu.Unlock()
	for _, b := range p.recorder.starts {
		if b.ID != servers {
			t.Fatalf("%d attempts, one of them at server %d, which drains; order of events: %.300q", len(p.recorder.starts), b.ID, p.events)
		}
	}
}

// waiting is how many requests wait for the planner.
func (b *busyPlanner) waiting() int { return len(b.queues[QueueArrival]) }
