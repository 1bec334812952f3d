package backend

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/standin"
)

type noCounter struct{}

func (noCounter) Add(core.CounterCall, func(dw.Outcome, float64)) {}

type noRefs struct{ noRecorder }

func (noRefs) Ref() uint64 { return 0 }

// planner starts a planner that uses the pools and has their backend on its list.
func (b *testBed) planner(s dw.Settings) *core.Planner {
	b.t.Helper()
	p, err := core.NewPlanner(s, 1, core.NewClock(), b.Pools, noCounter{}, noRefs{}, zap.NewNop())
	if err != nil {
		b.t.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		p.Run(ctx)
	}()
	b.t.Cleanup(func() {
		stop()
		<-done
	})
	list := core.EndpointUpdate{List: dw.EndpointList{Kind: dw.ListFull, Version: 1, Servers: []dw.Endpoint{{ID: b.backend.ID}}}, Addrs: []string{b.backend.Addr}}
	if err := p.UpdateEndpoints(list); err != nil {
		b.t.Fatal(err)
	}
	return p
}

func settings(cancel bool, idempotency dw.Idempotency) dw.Settings {
	return dw.Settings{Instances: 1, Zones: 1, Tick: 1e6, MaxAttempts: 3, MayCancel: cancel,
		Classes: []dw.Class{{Objective: 10e9, Deadline: 20e9, Weight: 1, Idempotency: idempotency, DedupWindow: 10e9}}, Plans: []dw.Plan{{Rate: 100, Burst: 100, WeightFactor: 1}}}
}

func (b *testBed) request(answer func(core.Answer)) *core.Request {
	return &core.Request{ReceivedAt: time.Now(), ClassName: "booking", Customer: 7, Timeout: testTimeout, Units: 1, Spread: 1,
		Message: core.Message{Name: "n", Key: "k"}, Answer: answer}
}

// Guards against a command that is sent for a disconnected client. The client disconnects while its request waits for a
// connection; once that is established, nothing may be sent, whether or not the settings allow attempts to be cancelled.
func TestClientDisconnectsDuringDial(t *testing.T) {
	for _, cancel := range []bool{true, false} {
		b := newBed(t, standin.Always(standin.Step{}))
		p := b.planner(settings(cancel, dw.Idempotent))
		pending, err := p.Submit(b.request(func(a core.Answer) { t.Errorf("got an answer for a disconnected client: %+v", a) }))
		if err != nil {
			t.Fatal(err)
		}
		<-b.dialled
		p.Cancel(pending)
		handled := make(chan struct{})
		p.ReadTallies(func(func(uint64) (float64, bool)) { close(handled) }) // the planner has then handled the cancellation
		<-handled
		b.connect <- struct{}{}
		b.waitUntilEnded()
		if n := len(b.server.Commands()); n != 0 {
			t.Errorf("cancelling allowed: %v: %d commands were sent for a disconnected client, expected none", cancel, n)
		}
		b.expectNoLeaks()
	}
}

// waitUntilEnded waits until no attempt is in flight.
func (b *testBed) waitUntilEnded() {
	b.t.Helper()
	for deadline := time.Now().Add(testTimeout); ; time.Sleep(time.Millisecond) {
		b.mu.Lock()
		n := len(b.attempts)
		b.mu.Unlock()
		if n == 0 {
			return
		}
		if time.Now().After(deadline) {
			b.t.Fatalf("%d attempts did not end in time", n)
		}
	}
}

// Guards against a command that is sent because the planner has not handled its client's disconnection yet. The cancellation waits
// in the planner's inbox like any other message. If only the planner withdraws attempts, a connection that is established meanwhile
// is used: with a planner that does not run, 1 command was sent. Pools.begin therefore checks the request itself.
func TestCancelBeforePlannerHandlesIt(t *testing.T) {
	b := newBed(t, standin.Always(standin.Step{}))
	p, err := core.NewPlanner(settings(true, dw.Idempotent), 1, core.NewClock(), b.Pools, noCounter{}, noRefs{}, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	r := b.request(func(core.Answer) {})
	pending, err := p.Submit(r) // the planner does not run
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan core.AttemptResult, 1)
	b.Start(core.Attempt{RequestID: "a", Backend: b.backend, Deadline: time.Now().Add(testTimeout), Request: r}, nil, func(e core.AttemptResult) { ended <- e })
	<-b.dialled
	p.Cancel(pending)
	b.connect <- struct{}{}
	b.expectOutcome(ended, dw.OutcomeNotSent)
	if n := len(b.server.Commands()); n != 0 {
		t.Errorf("%d commands were sent for a disconnected client, expected none", n)
	}
	b.expectNoLeaks()
}
