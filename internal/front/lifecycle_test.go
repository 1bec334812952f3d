package front

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// The times of a drain hold the operators' term with the margins that they ask for.
func TestDrainTimesHoldTheTerm(t *testing.T) {
	called := time.Now()
	d := newDrainTimes(called)
	// The rule allows sockets 50 ms; the gateway may be held up between its clock and the read, and again before.
	if last := d.readUntil.Add(2 * stallMargin); drainTerm-last.Sub(called) < recentWindow {
		t.Errorf("a request that is read %v after the call would be recent at the end of the term", last.Sub(called))
	}
	if last := d.closeAt.Add(stallMargin); last.Sub(called) >= drainTerm {
		t.Errorf("a connection may be held for %v", last.Sub(called))
	}
	// A wall clock that is stepped moves neither: both carry the monotonic clock's reading.
	for _, at := range []time.Time{d.readUntil, d.closeAt} {
		if !strings.Contains(at.String(), "m=") {
			t.Errorf("%v is a time of the wall clock alone", at)
		}
	}
}

// Whatever happens to a connection, in whatever order: its state never goes back, its times never move later once it
// drains, nothing is read after its time, and a draining connection that is owed nothing is closed in time.
func TestLifecycleHoldsItsTimes(t *testing.T) {
	const seed, worlds, steps = 20261202, 20_000, 20
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 37))
	begin := time.Now() // of a clock that only the test moves
	for world := range worlds {
		var l lifecycle
		var called time.Time // of the first drain; zero: none
		now, born := begin, begin
		for range steps {
			now = now.Add(time.Duration(rng.Int64N(int64(400 * time.Millisecond))))
			before := l
			switch rng.IntN(6) {
			case 0:
				var first time.Time
				if rng.IntN(2) == 0 {
					first = born.Add(firstCommandTime)
				}
				if l.drain(newDrainTimes(now), first) {
					called = now
				}
			case 1:
				l.limitReading(now.Add(stopReadTime))
			case 2:
				l.stopReading()
			case 3:
				l.closeWrite(now)
			case 4:
				if rng.IntN(4) == 0 {
					l.abandon(now)
				}
			}
			checkStep(t, world, before, l, now)
			if t.Failed() {
				return
			}
			if !called.IsZero() {
				checkDrained(t, world, l, called, now)
			}
		}
	}
}

func checkStep(t *testing.T, world int, before, l lifecycle, now time.Time) {
	t.Helper()
	if l.state < before.state {
		t.Errorf("world %d: from state %d back to %d", world, before.state, l.state)
	}
	if before.state == stateDraining && l.readUntil.After(before.readUntil) {
		t.Errorf("world %d: the time to take requests went from %v to %v", world, before.readUntil, l.readUntil)
	}
	if reads := l.mayRead(now); reads && (l.state >= stateClosing || l.state == stateDraining && !now.Before(l.readUntil)) {
		t.Errorf("world %d: state %d reads", world, l.state)
	} else if !reads && l.state == stateOpen {
		t.Errorf("world %d: an open connection does not read", world)
	}
	if l.state == stateDraining && l.limitReadDeadline(now.Add(time.Hour)).After(l.readUntil) {
		t.Errorf("world %d: a read goes on beyond the time to take requests", world)
	}
}

// checkDrained holds a connection to the term: called is when the gateway was drained.
func checkDrained(t *testing.T, world int, l lifecycle, called, now time.Time) {
	t.Helper()
	if now.Sub(called) >= drainReadTime+firstCommandTime && l.mayRead(now) {
		t.Errorf("world %d: it reads %v after the call", world, now.Sub(called))
	}
	if read := called.Add(drainReadTime); l.state == stateDraining && !l.mustReject(read) {
		t.Errorf("world %d: a request that is read %v after the call is not refused", world, drainReadTime)
	}
	if l.state == stateClosed && !l.closeAt.Before(called.Add(drainTerm)) && now.Before(called.Add(drainTerm-discardTime)) {
		t.Errorf("world %d: closed %v after the call, and held for %v", world, now.Sub(called), l.closeAt.Sub(called))
	}
}

// A drain that comes again, ends and begins anew, or meets the gateway's end, gives nobody more time.
func TestDrainAgainGivesNoMoreTime(t *testing.T) {
	begin := time.Now()
	var l lifecycle
	l.drain(newDrainTimes(begin), time.Time{})
	if l.drain(newDrainTimes(begin.Add(time.Second)), time.Time{}) || l.readUntil != begin.Add(drainReadTime) {
		t.Errorf("after a second drain: %+v", l)
	}
	l.limitReading(begin.Add(time.Hour))
	if l.readUntil != begin.Add(drainReadTime) {
		t.Errorf("after a stop that is later: %+v", l)
	}
	l.limitReading(begin.Add(time.Second))
	if l.readUntil != begin.Add(time.Second) {
		t.Errorf("after a stop that is earlier: %+v", l)
	}
	l.stopReading()
	l.closeWrite(begin.Add(drainCloseTime - time.Millisecond))
	if want := begin.Add(drainCloseTime - time.Millisecond + minDiscardTime); l.closeAt != want {
		t.Errorf("shut just before its end, it goes at %v, not %v", l.closeAt.Sub(begin), want.Sub(begin))
	}
	l.closeWrite(begin.Add(time.Hour))
	if l.closeAt.After(begin.Add(drainTerm)) {
		t.Errorf("shut again: %+v", l)
	}
}
