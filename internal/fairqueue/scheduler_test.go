package fairqueue

import (
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

func newScheduler(t *testing.T, m Monitor) *Scheduler {
	t.Helper()
	s, err := New(m)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	return s
}

// worstLateness is a Monitor that keeps the longest delay.
type worstLateness struct{ atomic.Int64 }

func (w *worstLateness) Late(_ string, d time.Duration) {
	for old := w.Load(); int64(d) > old && !w.CompareAndSwap(old, int64(d)); old = w.Load() {
	}
}

// spin uses the processor for a time.
func spin(d time.Duration) {
	for until := time.Now().Add(d); time.Now().Before(until); {
	}
}

// saturate runs flows that never cease to work until the returned function is called.
func saturate(s *Scheduler, flows int) (turns []atomic.Int64, stop func()) {
	turns = make([]atomic.Int64, flows)
	var stopped atomic.Bool
	var running sync.WaitGroup
	for i := range flows {
		running.Go(func() {
			f := s.Open(Reading, "busy")
			defer f.Close()
			for !stopped.Load() {
				spin(Quantum)
				f.Use(Quantum)
				turns[i].Add(1)
			}
		})
	}
	return turns, func() {
		stopped.Store(true)
		running.Wait()
	}
}

// Guards against flows that work without limit while one that has just become ready waits: it must get its turn after one turn of each.
func TestBusyFlowsDoNotDelayAnother(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	const flows = 100
	s := newScheduler(t, nil)
	_, stop := saturate(s, flows)
	defer stop()
	other := s.Open(Reading, "other")
	defer other.Close()
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		startedAt := time.Now()
		other.AwaitFirst()
		if waited := time.Since(startedAt); waited > 20*flows*Quantum { // twenty times the bound, for a machine that is busy elsewhere
			t.Errorf("waited %v behind %d flows with a turn of %v each", waited, flows, Quantum)
		}
	}
}

// Guards against rounds that follow one another before the network is polled and timers run: what is not a flow must not wait for longer
// than a round takes, however many flows there are.
func TestRoundsLetOthersRun(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := newScheduler(t, nil)
	_, stop := saturate(s, 400)
	defer stop()
	time.Sleep(50 * time.Millisecond)
	within := 0
	const sleeps = 40
	for range sleeps {
		startedAt := time.Now()
		time.Sleep(time.Millisecond)
		if time.Since(startedAt) < time.Millisecond+4*roundTime {
			within++
		}
	}
	if within < sleeps/2 {
		t.Errorf("%d of %d sleeps ended within four rounds", within, sleeps)
	}
}

// Guards against a flow that has used little and waits behind all others: beside a hundred busy flows it must get its turn within a few
// rounds, however often it asks.
func TestLightFlowGoesFirst(t *testing.T) {
	var l line
	light := &Flow{label: "light"}
	var busy []*Flow
	for range 100 {
		busy = append(busy, &Flow{})
		l.join(busy[len(busy)-1], Quantum)
	}
	for range 1000 { // after each turn the flow joins again, as it is busy
		l.beginRound()
		l.join(l.next().flow, Quantum)
	}
	l.join(light, Quantum)
	if got := l.next().flow; got != light {
		t.Error("a flow that has used nothing waits behind those that have used much")
	}
	l.join(light, Quantum)
	behind := 0
	for l.next().flow != light {
		behind++
	}
	if behind == 0 || behind > len(busy) {
		t.Errorf("a flow that has used its turn waits behind %d turns of %d flows", behind, len(busy))
	}
}

// Guards against flows that get more turns than others.
func TestTurnsAreShared(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	s := newScheduler(t, nil)
	turns, stop := saturate(s, 10)
	time.Sleep(500 * time.Millisecond)
	stop()
	fewest, most := turns[0].Load(), turns[0].Load()
	for i := range turns {
		fewest, most = min(fewest, turns[i].Load()), max(most, turns[i].Load())
	}
	if fewest == 0 || most > 2*fewest {
		t.Errorf("flows had from %d to %d turns", fewest, most)
	}
}

// Guards against a flow that does not pay for time that others used for it, and one that waits although its turn is not used up.
func TestChargedTime(t *testing.T) {
	s := newScheduler(t, nil)
	f := s.Open(Writing, "charged")
	defer f.Close()
	if f.Use(Quantum / 2) {
		t.Error("waited with half of the turn left")
	}
	f.Charge(Quantum)
	if !f.Use(0) {
		t.Error("did not wait although others had used a whole turn")
	}
	if f.Use(Quantum / 4) {
		t.Error("waited with a quarter of the turn left")
	}
}

// Guards against flows that wait for ever once the scheduler is closed, and against a report of delays that is missing.
func TestTurnsAfterClose(t *testing.T) {
	var worst worstLateness
	s, err := New(&worst)
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
	f := s.Open(Accepting, "late")
	defer f.Close()
	for range 3 * int(s.roundTime()/Quantum) {
		f.AwaitFirst()
	}
	if worst.Load() == 0 {
		t.Error("no delay was reported")
	}
}

// Guards against a log that does not name who used the time.
func TestBusiest(t *testing.T) {
	s := newScheduler(t, nil)
	busy, idle := s.Open(Reading, "busy"), s.Open(Reading, "idle")
	busy.Charge(30 * time.Millisecond)
	busy.Use(0)
	idle.Use(Quantum)
	if got := s.Busiest(4); len(got) != 1 || got[0] != (Usage{"reader", "busy", 30}) {
		t.Errorf("got %v", got)
	}
	if got := s.Busiest(4); len(got) != 0 {
		t.Errorf("got %v after another call", got)
	}
}
