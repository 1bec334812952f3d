package backend

import (
	"context"
	"net"
	"testing"
	"time"

	"go.uber.org/goleak"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/ledger"
	"dewhitch/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testTimeout = 20 * time.Second

type noRecorder struct{}

func (noRecorder) Post(ledger.Posting) {}

// testBed is a Pools with one backend, whose connections are established when the test allows it.
type testBed struct {
	*Pools
	t          *testing.T
	server     *standin.Backends
	backend    core.Backend
	dialled    chan struct{} // receives a value for each dial
	connect    chan struct{} // each value allows one dial to succeed
	startCount int           // number of attempts started
}

func newBed(t *testing.T, script standin.Script) *testBed {
	server, err := standin.NewBackends(1, true, script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	b := &testBed{Pools: New(Names{Plans: []string{"basic"}}, Limits{MaxConns: 8, BackendIdleTimeout: time.Minute, ConnectTimeout: testTimeout}, noRecorder{}),
		t: t, server: server, backend: core.Backend{ID: 1, Addr: server.Nodes[0].Addr()}, dialled: make(chan struct{}, 8), connect: make(chan struct{}, 8)}
	b.dial = func(context.Context, string, time.Time) (net.Conn, error) {
		b.dialled <- struct{}{}
		<-b.connect // then the dial succeeds, even if the attempt has ended
		return net.Dial("tcp", b.backend.Addr)
	}
	return b
}

// start starts an attempt at a new request. It returns the request's id and a channel that receives the result.
func (b *testBed) start(startBy time.Time) (dw.RequestID, <-chan core.AttemptResult) {
	b.startCount++
	id := dw.RequestID(rune('a' + b.startCount))
	ended := make(chan core.AttemptResult, 1)
	b.Start(core.Attempt{RequestID: id, Backend: b.backend, Deadline: time.Now().Add(testTimeout), StartBy: startBy,
		Request: &core.Request{ClassName: "booking", Units: 1, Spread: 1, Message: core.Message{Name: string(id)}}},
		func(s core.Stream) { s.Close() }, func(e core.AttemptResult) { ended <- e })
	return id, ended
}

func (b *testBed) expectOutcome(ended <-chan core.AttemptResult, want dw.Outcome) {
	b.t.Helper()
	select {
	case result := <-ended:
		if result.Outcome != want {
			b.t.Errorf("got outcome %d, expected %d", result.Outcome, want)
		}
	case <-time.After(testTimeout):
		b.t.Fatal("the attempt did not end in time")
	}
}

// expectNoLeaks closes the idle connections and checks that no connection, attempt or pool remains.
func (b *testBed) expectNoLeaks() {
	b.t.Helper()
	b.Forget(b.backend)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openCount != 0 || len(b.attempts) != 0 || len(b.pools) != 0 {
		b.t.Errorf("%d connections, %d attempts and %d pools remain, expected none", b.openCount, len(b.attempts), len(b.pools))
	}
}

// Guards against a command that is written for an attempt that is no longer wanted, because the attempt was withdrawn or its time
// to start has passed while its connection was being established.
func TestConnectionEstablishedTooLate(t *testing.T) {
	for _, c := range []struct {
		name        string
		startWithin time.Duration // time within which the attempt must begin; 0 if there is no limit
		event       func(b *testBed, id dw.RequestID)
		want        dw.Outcome
	}{
		{"the client disconnects", 0, func(b *testBed, id dw.RequestID) { b.Cancel(id, 0) }, dw.OutcomeNotSent},
		{"the backend drains", 0, func(b *testBed, _ dw.RequestID) { b.RetractAll(b.backend) }, dw.OutcomeNotSent},
		{"the backend is removed", 0, func(b *testBed, _ dw.RequestID) { b.Forget(b.backend) }, dw.OutcomeNotSent},
		{"the deduplication window has ended", time.Nanosecond, func(*testBed, dw.RequestID) {}, dw.OutcomeConnectFailed},
		{"another backend drains", 0, func(b *testBed, _ dw.RequestID) { b.RetractAll(core.Backend{ID: 2, Addr: b.backend.Addr}) }, dw.OutcomeOK},
		{"nothing happens", time.Minute, func(*testBed, dw.RequestID) {}, dw.OutcomeOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t, standin.Always(standin.Step{}))
			startBy := time.Time{}
			if c.startWithin > 0 {
				startBy = time.Now().Add(c.startWithin)
			}
			id, ended := b.start(startBy)
			<-b.dialled
			c.event(b, id)
			b.connect <- struct{}{}
			b.expectOutcome(ended, c.want)
			sent := len(b.server.Commands())
			if want := map[bool]int{true: 1}[c.want == dw.OutcomeOK]; sent != want {
				t.Errorf("the backend received %d commands, expected %d", sent, want)
			}
			if c.want == dw.OutcomeNotSent { // a withdrawal must not affect the next attempt
				close(b.connect)
				_, ended := b.start(time.Time{})
				b.expectOutcome(ended, dw.OutcomeOK)
			}
			b.expectNoLeaks()
		})
	}
}

// Guards against the withdrawal of an attempt whose command is already written. The backend may execute it, so its answer counts.
func TestBackendDrainsDuringAnAttempt(t *testing.T) {
	received, answer := make(chan struct{}), make(chan struct{})
	b := newBed(t, func(*standin.Command) standin.Step {
		close(received)
		<-answer
		return standin.Step{}
	})
	close(b.connect)
	_, ended := b.start(time.Time{})
	<-received
	b.RetractAll(b.backend)
	close(answer)
	b.expectOutcome(ended, dw.OutcomeOK)
	b.expectNoLeaks()
}
