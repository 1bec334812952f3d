package evacuation

import (
	"testing"
	"time"
)

// runSelfMonitor plays one gateway's view of itself, five evaluations a second.
func runSelfMonitor(o *SelfMonitor, now *time.Duration, d time.Duration, served, failed uint64, evacuated, fresh bool, turn int) (drained bool) {
	for end := *now + d; *now < end; {
		*now += 200 * time.Millisecond
		if !drained {
			o.Observe(*now, served, failed)
		}
		drained = o.Update(*now, evacuated, fresh, turn)
	}
	return drained
}

func TestSelfMonitorDrains(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		what             string
		served, failed   uint64
		evacuated, fresh bool
		want             bool
	}{
		{"healthy, in an evacuated zone", 20, 1, true, true, false},
		{"isolated, in an evacuated zone", 0, 3, true, true, true},
		{"isolated from servers and fleet", 0, 3, false, false, true},
		{"a fault that all zones share", 0, 3, false, true, false},
		{"isolated from the fleet alone", 20, 0, false, false, false},
		{"half of its attempts fail", 3, 3, true, true, false},
		{"no attempts", 0, 0, true, true, false},
	} {
		o, now := &SelfMonitor{}, 10*s
		if got := runSelfMonitor(o, &now, 4*s, c.served, c.failed, c.evacuated, c.fresh, 0); got != c.want {
			t.Errorf("%s: drained %v", c.what, got)
		}
	}
	// They come back one after the other, and not for a moment's view.
	for turn := range 3 {
		o, now := &SelfMonitor{}, 10*s
		if !runSelfMonitor(o, &now, 4*s, 0, 3, true, true, turn) {
			t.Fatal("not drained")
		}
		runSelfMonitor(o, &now, 4*s, 0, 0, true, true, turn)
		began := now
		for o.Update(now, false, true, turn) {
			now += 200 * time.Millisecond
		}
		if elapsed := now - began; elapsed < time.Duration(turn)*selfReturnDelay || elapsed > time.Duration(turn)*selfReturnDelay+2*s {
			t.Errorf("the %d. came back after %v", turn, elapsed)
		}
	}
	o, now := &SelfMonitor{}, 10*s
	runSelfMonitor(o, &now, 4*s, 0, 3, false, false, 0)
	if runSelfMonitor(o, &now, selfMaxDrain, 0, 0, false, false, 0) {
		t.Error("it stays away for good without a quorum")
	}
}
