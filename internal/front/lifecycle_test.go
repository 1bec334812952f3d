package front

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"
)

// TestDrainTimesMeetTheTimeLimit checks that the times of a drain meet the operators' time limit, even if the gateway stalls.
func TestDrainTimesMeetTheTimeLimit(t *testing.T) {
	calledAt := time.Now()
	d := newDrainTimes(calledAt)
	// Operators allow a tolerance of 50 ms on the time limit of a drain; this test does not use it. 2 * stallMargin is allowed because
	// the gateway may stall twice: between reading its clock and reading the request, and once before that.
	if latest := d.readUntil.Add(2 * stallMargin); drainTimeLimit-latest.Sub(calledAt) < recentWindow {
		t.Errorf("a request that is read %v after the call is still recent at the time limit", latest.Sub(calledAt))
	}
	if latest := d.finishBy.Add(2*stallMargin + maxDiscardTime); latest.Sub(calledAt) >= drainTimeLimit {
		t.Errorf("a connection whose command is rejected last may stay open for %v", latest.Sub(calledAt))
	}
	if latest := d.closeAt.Add(stallMargin); latest.Sub(calledAt) >= drainTimeLimit {
		t.Errorf("a connection may stay open for %v", latest.Sub(calledAt))
	}
	// Steps of the wall clock must not move these times, so both need a reading of the monotonic clock.
	for _, at := range []time.Time{d.readUntil, d.closeAt} {
		if !strings.Contains(at.String(), "m=") {
			t.Errorf("%v has no reading of the monotonic clock", at)
		}
	}
}

// TestLifecycleInvariants applies random sequences of events to connections, and checks that the state of a connection never goes back,
// that the times of a draining connection never move later, that nothing is read after the time to read, and that a draining connection
// without pending answers is closed in time.
func TestLifecycleInvariants(t *testing.T) {
	const seed, runs, steps = 20261202, 20_000, 20
	t.Logf("seed %d", seed)
	rng := rand.New(rand.NewPCG(seed, 37))
	start := time.Now() // start of a clock that only the test advances
	for run := range runs {
		var l lifecycle
		var calledAt time.Time // time of the first drain; zero if there was none
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
				l.limitReading(now.Add(firstReadTime), now.Add(time.Duration(rng.Int64N(int64(4*time.Second)))))
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

// checkStep checks the invariants that hold for any event; before is the state before the event.
func checkStep(t *testing.T, run int, before, l lifecycle, now time.Time) {
	t.Helper()
	if l.state < before.state {
		t.Errorf("run %d: state went back from %d to %d", run, before.state, l.state)
	}
	if before.state == stateDraining && l.readUntil.After(before.readUntil) {
		t.Errorf("run %d: the end of the time to read moved from %v to %v", run, before.readUntil, l.readUntil)
	}
	if before.state == stateDraining && l.finishBy.After(before.finishBy) || l.finishBy.Before(l.readUntil) {
		t.Errorf("run %d: the end of the time for a command moved from %v to %v", run, before.finishBy, l.finishBy)
	}
	if l.mayFinishCommand(now) && (l.state >= stateClosing || l.state == stateDraining && !now.Before(l.finishBy)) {
		t.Errorf("run %d: a command may be read in state %d, %v after the end of its time", run, l.state, now.Sub(l.finishBy))
	}
	if reads := l.mayRead(now); reads && (l.state >= stateClosing || l.state == stateDraining && !now.Before(l.readUntil)) {
		t.Errorf("run %d: a connection in state %d may read", run, l.state)
	} else if !reads && l.state == stateOpen {
		t.Errorf("run %d: an open connection may not read", run)
	}
	if l.state == stateDraining && l.limitReadDeadline(now.Add(time.Hour)).After(l.readUntil) {
		t.Errorf("run %d: the deadline of a read is after the end of the time to read", run)
	}
}

// checkDrained checks that a connection meets the time limit of a drain that was called at calledAt.
func checkDrained(t *testing.T, run int, l lifecycle, calledAt, now time.Time) {
	t.Helper()
	if now.Sub(calledAt) >= drainReadTime+firstCommandTime && l.mayRead(now) {
		t.Errorf("run %d: the connection may read %v after the call", run, now.Sub(calledAt))
	}
	if readAt := calledAt.Add(drainReadTime); l.state == stateDraining && !l.mustReject(readAt) {
		t.Errorf("run %d: a request that is read %v after the call is not rejected", run, drainReadTime)
	}
	if l.state == stateClosed && !l.closeAt.Before(calledAt.Add(drainTimeLimit)) && now.Before(calledAt.Add(drainTimeLimit-maxDiscardTime)) {
		t.Errorf("run %d: in stateClosed %v after the call, but open until %v after it", run, now.Sub(calledAt), l.closeAt.Sub(calledAt))
	}
}

// TestRepeatedDrainDoesNotExtendDeadlines checks that another drain, or a stop during a drain, gives a connection no more time.
func TestRepeatedDrainDoesNotExtendDeadlines(t *testing.T) {
	start := time.Now()
	var l lifecycle
	l.drain(newDrainTimes(start), time.Time{})
	if l.drain(newDrainTimes(start.Add(time.Second)), time.Time{}) || l.readUntil != start.Add(drainReadTime) {
		t.Errorf("after a second drain: got %+v, expected the times of the first one", l)
	}
	l.limitReading(start.Add(time.Hour), start.Add(time.Hour))
	if l.readUntil != start.Add(drainReadTime) {
		t.Errorf("after a stop at a later time: got %+v, expected no change of readUntil", l)
	}
	l.limitReading(start.Add(time.Second), start.Add(time.Second))
	if l.readUntil != start.Add(time.Second) {
		t.Errorf("after a stop at an earlier time: got %+v, expected readUntil at that time", l)
	}
	l.stopReading()
	l.closeWrite(start.Add(drainCloseTime - time.Millisecond))
	if want := start.Add(drainCloseTime - time.Millisecond + minDiscardTime); l.closeAt != want {
		t.Errorf("after closeWrite just before closeAt: closed at %v, expected %v", l.closeAt.Sub(start), want.Sub(start))
	}
	l.closeWrite(start.Add(time.Hour))
	if l.closeAt.After(start.Add(drainTimeLimit)) {
		t.Errorf("after a second closeWrite: got %+v, expected no later closeAt", l)
	}
}
