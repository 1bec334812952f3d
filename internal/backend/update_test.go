package backend

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/standin"
)

// update returns a full list with the bed's backend in the given state.
func (b *testBed) update(version int64, state dw.EndpointState, addr string) core.EndpointUpdate {
	return core.EndpointUpdate{List: dw.EndpointList{Kind: dw.ListFull, Version: version,
		Servers: []dw.Endpoint{{ID: b.backend.ID, Rating: 1, State: state}}}, Addrs: []string{addr}, ReadAt: time.Now()}
}

// Guards against a command that is sent to a backend although an endpoint update forbids it, because the planner has not handled the
// update yet, as on a loaded machine. The planner does not run here, so it withdraws no attempt. An attempt that waits for its
// connection must not be written if the backend is draining, removed, or listed at another address.
func TestUpdateBeforePlannerHandlesIt(t *testing.T) {
	for name, c := range map[string]struct {
		update func(b *testBed) core.EndpointUpdate
		want   dw.Outcome
	}{
		"draining": {func(b *testBed) core.EndpointUpdate { return b.update(2, dw.Draining, b.backend.Addr) }, dw.OutcomeNotSent},
		"removed":  {func(b *testBed) core.EndpointUpdate { return b.update(2, dw.Removed, b.backend.Addr) }, dw.OutcomeNotSent},
		"left out": {func(*testBed) core.EndpointUpdate {
			return core.EndpointUpdate{List: dw.EndpointList{Kind: dw.ListFull, Version: 2}}
		}, dw.OutcomeNotSent},
		"another address": {func(b *testBed) core.EndpointUpdate { return b.update(2, dw.Ready, "127.0.0.1:1") }, dw.OutcomeNotSent},
		"unchanged":       {func(b *testBed) core.EndpointUpdate { return b.update(2, dw.Ready, b.backend.Addr) }, dw.OutcomeOK},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBed(t, standin.Always(standin.Step{}))
			p, err := core.NewPlanner(settings(true, dw.Idempotent), 1, core.NewClock(), b.Pools, noCounter{}, noRefs{}, zap.NewNop())
			if err != nil {
				t.Fatal(err)
			}
			b.Allowed = p.ReadySet().Allows // the planner does not run
			if err := p.UpdateEndpoints(b.update(1, dw.Ready, b.backend.Addr)); err != nil {
				t.Fatal(err)
			}
			_, ended := b.start(time.Time{})
			<-b.dialled
			if err := p.UpdateEndpoints(c.update(b)); err != nil {
				t.Fatal(err)
			}
			b.connect <- struct{}{}
			b.expectOutcome(ended, c.want)
			if sent, want := len(b.server.Commands()), map[bool]int{true: 1}[c.want == dw.OutcomeOK]; sent != want {
				t.Errorf("the backend received %d commands, expected %d", sent, want)
			}
			b.expectNoLeaks()
		})
	}
}

// Guards against a planner that handles endpoint updates only. Updates of 100 servers are posted continuously, ahead of client work
// by priority, and a request must still be answered.
func TestUpdatesDoNotStarveClients(t *testing.T) {
	b := newBed(t, standin.Always(standin.Step{}))
	close(b.connect)
	p := b.planner(settings(true, dw.Idempotent))
	ctx, stop := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for v := int64(2); ctx.Err() == nil; v++ {
			l := core.EndpointUpdate{List: dw.EndpointList{Kind: dw.ListDelta, Version: v}, ReadAt: time.Now()}
			for i := range 100 {
				l.List.Servers = append(l.List.Servers, dw.Endpoint{ID: dw.ServerID(1000 + i), State: dw.Draining, Rating: 1})
				l.Addrs = append(l.Addrs, fmt.Sprintf("127.0.0.1:%d", i+1))
			}
			if p.UpdateEndpoints(l) != nil {
				return
			}
		}
	}()
	answered := make(chan core.Answer, 1)
	if _, err := p.Submit(b.request(func(a core.Answer) { answered <- a })); err != nil {
		t.Fatal(err)
	}
	select {
	case <-answered:
	case <-time.After(testTimeout):
		t.Error("the request was not answered in time")
	}
	stop()
	<-done
}
