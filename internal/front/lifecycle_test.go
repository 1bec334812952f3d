package front

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// The times of a drain hold the operators' term with the margins that they ask for.
func TestDrainTimesMeetTheTerm(t *testing.T) {
	calledAt := time.Now()
	d := newDrainTimes(calledAt)
	// The rule allows sockets 50 ms; the gateway may be held up between its clock and the read, and again before.
	if latest := d.readUntil.Add(2 * stallMargin); drainTerm-latest.Sub(calledAt) < recentWindow {
		t.Errorf("a request that is read %v after the call would be recent at the end of the term", latest.Sub(calledAt))
	}
	if latest := d.closeAt.Add(stallMargin); latest.Sub(calledAt) >= drainTerm {
		t.Errorf("a connection may be held for %v", latest.Sub(calledAt))
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
func TestLifecycleInvariants(t *testing.T) {
	const seed, runs, steps = 20261202, 20_000, 20
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 37))
	start := time.Now() // of a clock that only the test moves
	for run := range runs {
		var l lifecycle
		var calledAt time.Time // of the first drain; zero: none
		now, acceptedAt := start, start
		for range steps {
			now = now.Add(time.Duration(rng.Int64N(int64(400 * time.Millisecond))))
			before := l
			switch rng.IntN(6) {
			case 0:
				var firstCommandBy time.Time
				if rng.IntN(2) == 0 {
					firstCommandBy = acceptedAt.Add(firstCommandTime)
				}
				if l.drain(newDrainTimes(now), firstCommandBy) {
					calledAt = now
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
			checkStep(t, run, before, l, now)
			if t.Failed() {
				return
			}
			if !calledAt.IsZero() {
				checkDrained(t, run, l, calledAt, now)
			}
		}
	}
}

func checkStep(t *testing.T, run int, before, l lifecycle, now time.Time) {
	t.Helper()
	if l.state < before.state {
		t.Errorf("world %d: from state %d back to %d", run, before.state, l.state)
	}
	if before.state == stateDraining && l.readUntil.After(before.readUntil) {
		t.Errorf("world %d: the time to take requests went from %v to %v", run, before.readUntil, l.readUntil)
	}
	if reads := l.mayRead(now); reads && (l.state >= stateClosing || l.state == stateDraining && !now.Before(l.readUntil)) {
		t.Errorf("world %d: state %d reads", run, l.state)
	} else if !reads && l.state == stateOpen {
		t.Errorf("world %d: an open connection does not read", run)
	}
	if l.state == stateDraining && l.limitReadDeadline(now.Add(time.Hour)).After(l.readUntil) {
		t.Errorf("world %d: a read goes on beyond the time to take requests", run)
	}
}

// checkDrained holds a connection to the term: called is when the gateway was drained.
func checkDrained(t *testing.T, run int, l lifecycle, calledAt, now time.Time) {
	t.Helper()
	if now.Sub(calledAt) >= drainReadTime+firstCommandTime && l.mayRead(now) {
		t.Errorf("world %d: it reads %v after the call", run, now.Sub(calledAt))
	}
	if readAt := calledAt.Add(drainReadTime); l.state == stateDraining && !l.mustReject(readAt) {
		t.Errorf("world %d: a request that is read %v after the call is not refused", run, drainReadTime)
	}
	if l.state == stateClosed && !l.closeAt.Before(calledAt.Add(drainTerm)) && now.Before(calledAt.Add(drainTerm-discardTime)) {
		t.Errorf("world %d: closed %v after the call, and held for %v", run, now.Sub(calledAt), l.closeAt.Sub(calledAt))
	}
}

// A drain that comes again, ends and begins anew, or meets the gateway's end, gives nobody more time.
func TestRepeatedDrainDoesNotExtendDeadlines(t *testing.T) {
	start := time.Now()
	var l lifecycle
	l.drain(newDrainTimes(start), time.Time{})
	if l.drain(newDrainTimes(start.Add(time.Second)), time.Time{}) || l.readUntil != start.Add(drainReadTime) {
		t.Errorf("after a second drain: %+v", l)
	}
	l.limitReading(start.Add(time.Hour))
	if l.readUntil != start.Add(drainReadTime) {
		t.Errorf("after a stop that is later: %+v", l)
	}
	l.limitReading(start.Add(time.Second))
	if l.readUntil != start.Add(time.Second) {
		t.Errorf("after a stop that is earlier: %+v", l)
	}
	l.stopReading()
	l.closeWrite(start.Add(drainCloseTime - time.Millisecond))
	if want := start.Add(drainCloseTime - time.Millisecond + minDiscardTime); l.closeAt != want {
		t.Errorf("shut just before its end, it goes at %v, not %v", l.closeAt.Sub(start), want.Sub(start))
	}
	l.closeWrite(start.Add(time.Hour))
	if l.closeAt.After(start.Add(drainTerm)) {
		t.Errorf("shut again: %+v", l)
	}
}
