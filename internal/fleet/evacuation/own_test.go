package evacuation

import (
	"testing"
	"time"
)

// ownWorld plays one gateway's view of itself, five looks a second.
func ownWorld(o *SelfMonitor, now *time.Duration, d time.Duration, good, bad uint64, left, fresh bool, turn int) (drained bool) {
	for end := *now + d; *now < end; {
		*now += 200 * time.Millisecond
		if !drained {
			o.Observe(*now, good, bad)
		}
		drained = o.ShouldDrain(*now, left, fresh, turn)
	}
	return drained
}

func TestOwnDrain(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		what        string
		good, bad   uint64
		left, fresh bool
		want        bool
	}{
		{"well, and its zone is left", 20, 1, true, true, false},
		{"cut off, and its zone is left", 0, 3, true, true, true},
		{"cut off from all, the fleet among them", 0, 3, false, false, true},
		{"all are ill by something shared", 0, 3, false, true, false},
		{"cut from the fleet alone", 20, 0, false, false, false},
		{"half of its fetches", 3, 3, true, true, false},
		{"a few fetches", 0, 0, true, true, false},
	} {
		o, now := &SelfMonitor{}, 10*s
		if got := ownWorld(o, &now, 4*s, c.good, c.bad, c.left, c.fresh, 0); got != c.want {
			t.Errorf("%s: drained %v", c.what, got)
		}
	}
	// They come back one after the other, and not for a moment's view.
	for turn := range 3 {
		o, now := &SelfMonitor{}, 10*s
		if !ownWorld(o, &now, 4*s, 0, 3, true, true, turn) {
			t.Fatal("not drained")
		}
		ownWorld(o, &now, 4*s, 0, 0, true, true, turn)
		began := now
		for o.ShouldDrain(now, false, true, turn) {
			now += 200 * time.Millisecond
		}
		if took := now - began; took < time.Duration(turn)*ownTurn || took > time.Duration(turn)*ownTurn+2*s {
			t.Errorf("the %d. came back after %v", turn, took)
		}
	}
	o, now := &SelfMonitor{}, 10*s
	ownWorld(o, &now, 4*s, 0, 3, false, false, 0)
	if ownWorld(o, &now, ownMost, 0, 0, false, false, 0) {
		t.Error("it stays away for good without a quorum")
	}
}
