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

// testBed is pools before one backend, with connections that come up when the test says.
type testBed struct {
	*Pools
	t       *testing.T
	node    *standin.Backends
	backend core.Backend
	dialled chan struct{} // a connection is being opened
	connect chan struct{} // one more may come up
	next    int
}

func newBed(t *testing.T, script standin.Script) *testBed {
	node, err := standin.NewBackends(1, true, script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	b := &testBed{Pools: New(Names{Plans: []string{"basic"}}, Limits{MaxConns: 8, BackendIdleTimeout: time.Minute, ConnectTimeout: testTimeout}, noRecorder{}),
		t: t, node: node, backend: core.Backend{ID: 1, Addr: node.Nodes[0].Addr()}, dialled: make(chan struct{}, 8), connect: make(chan struct{}, 8)}
	b.dial = func(context.Context, string, time.Time) (net.Conn, error) {
		b.dialled <- struct{}{}
		<-b.connect // and it does come up, whatever has happened to who asked
		return net.Dial("tcp", b.backend.Addr)
	}
	return b
}

// start starts one and gives back its number, and where its end comes.
func (b *testBed) start(begin time.Time) (dw.RequestID, <-chan core.AttemptResult) {
	b.next++
	id := dw.RequestID(rune('a' + b.next))
	end := make(chan core.AttemptResult, 1)
	b.Start(core.Attempt{RequestID: id, Backend: b.backend, Deadline: time.Now().Add(testTimeout), StartBy: begin,
		Request: &core.Request{ClassName: "booking", Units: 1, Spread: 1, Message: core.Message{Name: string(id)}}},
		func(s core.Stream) { s.Close() }, func(e core.AttemptResult) { end <- e })
	return id, end
}

func (b *testBed) expectOutcome(end <-chan core.AttemptResult, want dw.Outcome) {
	b.t.Helper()
	select {
	case e := <-end:
		if e.Outcome != want {
			b.t.Errorf("outcome %d, want %d", e.Outcome, want)
		}
	case <-time.After(testTimeout):
		b.t.Fatal("no end came")
	}
}

// expectNothingLeft closes what rests and looks for descriptors that nobody has given back.
func (b *testBed) expectNothingLeft() {
	b.t.Helper()
	b.Forget(b.backend)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.openCount != 0 || len(b.attempts) != 0 || len(b.pools) != 0 {
		b.t.Errorf("%d connections, %d attempts, %d pools are left", b.openCount, len(b.attempts), len(b.pools))
	}
}

// A connection may come up when its attempt was withdrawn: nothing is written to it then.
func TestConnectionThatComesUpLate(t *testing.T) {
	for _, c := range []struct {
		name   string
		begin  time.Duration // 0: no bound
		happen func(b *testBed, id dw.RequestID)
		want   dw.Outcome
	}{
		{"its client has left", 0, func(b *testBed, id dw.RequestID) { b.Cancel(id, 0) }, dw.OutcomeNotSent},
		{"its backend drains", 0, func(b *testBed, _ dw.RequestID) { b.RetractAll(b.backend) }, dw.OutcomeNotSent},
		{"its backend is removed", 0, func(b *testBed, _ dw.RequestID) { b.Forget(b.backend) }, dw.OutcomeNotSent},
		{"the deduplication window has ended", time.Nanosecond, func(*testBed, dw.RequestID) {}, dw.OutcomeConnectFailed},
		{"another backend drains", 0, func(b *testBed, _ dw.RequestID) { b.RetractAll(core.Backend{ID: 2, Addr: b.backend.Addr}) }, dw.OutcomeOK},
		{"it is still wanted", time.Minute, func(*testBed, dw.RequestID) {}, dw.OutcomeOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t, standin.Always(standin.Step{}))
			begin := time.Time{}
			if c.begin > 0 {
				begin = time.Now().Add(c.begin)
			}
			id, end := b.start(begin)
			<-b.dialled
			c.happen(b, id)
			b.connect <- struct{}{}
			b.expectOutcome(end, c.want)
			sent := len(b.node.Commands())
			if want := map[bool]int{true: 1}[c.want == dw.OutcomeOK]; sent != want {
				t.Errorf("%d commands came to the backend, want %d", sent, want)
			}
			if c.want == dw.OutcomeNotSent { // a withdrawal does not apply to the next attempt
				close(b.connect)
				_, end := b.start(time.Time{})
				b.expectOutcome(end, dw.OutcomeOK)
			}
			b.expectNothingLeft()
		})
	}
}

// What has begun to be written is not withdrawn: it may run, and its answer counts.
func TestBackendDrainsDuringAnAttempt(t *testing.T) {
	came, answer := make(chan struct{}), make(chan struct{})
	b := newBed(t, func(*standin.Command) standin.Step {
		close(came)
		<-answer
		return standin.Step{}
	})
	close(b.connect)
	_, end := b.start(time.Time{})
	<-came
	b.RetractAll(b.backend)
	close(answer)
	b.expectOutcome(end, dw.OutcomeOK)
	b.expectNothingLeft()
}
