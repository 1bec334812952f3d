package evacuation

import (
	"testing"
	"time"
)

// runSelfMonitor runs a SelfMonitor for the duration d with five updates a second, each with the given numbers of served and failed
// attempts, and returns the last result of Update. A drained gateway observes no attempts.
func runSelfMonitor(monitor *SelfMonitor, now *time.Duration, d time.Duration, served, failed uint64, zoneEvacuated, viewFresh bool, returnIndex int) (drained bool) {
	for end := *now + d; *now < end; {
		*now += 200 * time.Millisecond
		if !drained {
			monitor.Observe(*now, served, failed)
		}
		drained = monitor.Update(*now, zoneEvacuated, viewFresh, returnIndex)
	}
	return drained
}

// A gateway drains only if it is isolated from the servers while its zone is evacuated or its view of the fleet is out of date. Drained
// gateways of a zone return selfReturnDelay apart. Without a quorum a gateway does not stay drained, but returns after selfMaxDrain.
func TestSelfMonitorDrains(t *testing.T) {
	const s = time.Second
	for _, c := range []struct {
		name                     string
		served, failed           uint64
		zoneEvacuated, viewFresh bool
		want                     bool
	}{
		{"healthy, in an evacuated zone", 20, 1, true, true, false},
		{"isolated, in an evacuated zone", 0, 3, true, true, true},
		{"isolated from servers and fleet", 0, 3, false, false, true},
		{"a fault that all zones share", 0, 3, false, true, false},
		{"isolated from the fleet alone", 20, 0, false, false, false},
		{"half of its attempts fail", 3, 3, true, true, false},
		{"no attempts", 0, 0, true, true, false},
	} {
		monitor, now := &SelfMonitor{}, 10*s
		if got := runSelfMonitor(monitor, &now, 4*s, c.served, c.failed, c.zoneEvacuated, c.viewFresh, 0); got != c.want {
			t.Errorf("%s: drained is %v, expected the opposite", c.name, got)
		}
	}
	// Gateways return one after the other, in the order of their indexes, when their zone is back in service.
	for returnIndex := range 3 {
		monitor, now := &SelfMonitor{}, 10*s
		if !runSelfMonitor(monitor, &now, 4*s, 0, 3, true, true, returnIndex) {
			t.Fatal("not drained while isolated in an evacuated zone")
		}
		runSelfMonitor(monitor, &now, 4*s, 0, 0, true, true, returnIndex)
		recoveredAt := now
		for monitor.Update(now, false, true, returnIndex) {
			now += 200 * time.Millisecond
		}
		if elapsed := now - recoveredAt; elapsed < time.Duration(returnIndex)*selfReturnDelay || elapsed > time.Duration(returnIndex)*selfReturnDelay+2*s {
			t.Errorf("return index %d: returned after %v, expected selfReturnDelay times the index, or up to 2 s more", returnIndex, elapsed)
		}
	}
	monitor, now := &SelfMonitor{}, 10*s
	runSelfMonitor(monitor, &now, 4*s, 0, 3, false, false, 0)
	if runSelfMonitor(monitor, &now, selfMaxDrain, 0, 0, false, false, 0) {
		t.Error("still drained after selfMaxDrain without a quorum")
	}
}
