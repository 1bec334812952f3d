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

const patience = 20 * time.Second

type noBooks struct{}

func (noBooks) Post(ledger.Posting) {}

// bed is pools before one backend, with connections that come up when the test says.
type bed struct {
	*Pools
	t       *testing.T
	node    *standin.Backends
	to      core.Backend
	dialled chan struct{} // a connection is being opened
	up      chan struct{} // one more may come up
	next    int
}

func newBed(t *testing.T, script standin.Script) *bed {
	node, err := standin.NewBackends(1, true, script)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(node.Close)
	b := &bed{Pools: New(Names{Plans: []string{"basic"}}, Limits{Conns: 8, Idle: time.Minute, Connect: patience}, noBooks{}),
		t: t, node: node, to: core.Backend{ID: 1, Addr: node.Nodes[0].Addr()}, dialled: make(chan struct{}, 8), up: make(chan struct{}, 8)}
	b.dial = func(context.Context, string, time.Time) (net.Conn, error) {
		b.dialled <- struct{}{}
		<-b.up // and it does come up, whatever has happened to who asked
		return net.Dial("tcp", b.to.Addr)
	}
	return b
}

// fetch starts one and gives back its number, and where its end comes.
func (b *bed) fetch(begin time.Time) (dw.RequestID, <-chan core.AttemptResult) {
	b.next++
	id := dw.RequestID(rune('a' + b.next))
	end := make(chan core.AttemptResult, 1)
	b.Start(core.Attempt{RequestID: id, Backend: b.to, Deadline: time.Now().Add(patience), StartBy: begin,
		Request: &core.Request{ClassName: "booking", Units: 1, Spread: 1, Message: core.Message{Name: string(id)}}},
		func(s core.Stream) { s.Close() }, func(e core.AttemptResult) { end <- e })
	return id, end
}

func (b *bed) ended(end <-chan core.AttemptResult, want dw.Outcome) {
	b.t.Helper()
	select {
	case e := <-end:
		if e.Outcome != want {
			b.t.Errorf("outcome %d, want %d", e.Outcome, want)
		}
	case <-time.After(patience):
		b.t.Fatal("no end came")
	}
}

// given closes what rests and looks for descriptors that nobody has given back.
func (b *bed) given() {
	b.t.Helper()
	b.Forget(b.to)
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.open != 0 || len(b.fetches) != 0 || len(b.pools) != 0 {
		b.t.Errorf("%d connections, %d fetches, %d pools are left", b.open, len(b.fetches), len(b.pools))
	}
}

// A connection may come up when its fetch is wanted no longer: nothing is written to it then.
func TestConnectionThatComesUpLate(t *testing.T) {
	for _, c := range []struct {
		name   string
		begin  time.Duration // 0: no bound
		happen func(b *bed, id dw.RequestID)
		want   dw.Outcome
	}{
		{"its client has left", 0, func(b *bed, id dw.RequestID) { b.Cancel(id, 0) }, dw.OutcomeNotSent},
		{"its backend drains", 0, func(b *bed, _ dw.RequestID) { b.Withdraw(b.to) }, dw.OutcomeNotSent},
		{"its backend has gone", 0, func(b *bed, _ dw.RequestID) { b.Forget(b.to) }, dw.OutcomeNotSent},
		{"the window for repeats has ended", time.Nanosecond, func(*bed, dw.RequestID) {}, dw.OutcomeConnectFailed},
		{"another backend drains", 0, func(b *bed, _ dw.RequestID) { b.Withdraw(core.Backend{ID: 2, Addr: b.to.Addr}) }, dw.OutcomeOK},
		{"it is still wanted", time.Minute, func(*bed, dw.RequestID) {}, dw.OutcomeOK},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBed(t, standin.Always(standin.Step{}))
			begin := time.Time{}
			if c.begin > 0 {
				begin = time.Now().Add(c.begin)
			}
			id, end := b.fetch(begin)
			<-b.dialled
			c.happen(b, id)
			b.up <- struct{}{}
			b.ended(end, c.want)
			sent := len(b.node.Seen())
			if want := map[bool]int{true: 1}[c.want == dw.OutcomeOK]; sent != want {
				t.Errorf("%d commands came to the backend, want %d", sent, want)
			}
			if c.want == dw.OutcomeNotSent { // who withdrew one has not given up the next
				close(b.up)
				_, end := b.fetch(time.Time{})
				b.ended(end, dw.OutcomeOK)
			}
			b.given()
		})
	}
}

// What has begun to be written is not withdrawn: it may run, and its answer counts.
func TestBackendDrainsUnderAnOpenFetch(t *testing.T) {
	came, answer := make(chan struct{}), make(chan struct{})
	b := newBed(t, func(*standin.Command) standin.Step {
		close(came)
		<-answer
		return standin.Step{}
	})
	close(b.up)
	_, end := b.fetch(time.Time{})
	<-came
	b.Withdraw(b.to)
	close(answer)
	b.ended(end, dw.OutcomeOK)
	b.given()
}
