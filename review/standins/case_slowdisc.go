package main

import (
	"time"
)

func init() { cases["slowdisc"] = slowDiscovery }

// slowDiscovery: discovery answers each call 1.5 s late. The gateways start with the list as last known; two servers drain since.
func slowDiscovery(s *scene) (v verdict, err error) {
	w, err := newWorld(s, 6, 20*time.Millisecond)
	if err != nil {
		return v, err
	}
	defer w.close()
	if err := w.startGateways(false); err != nil {
		return v, err
	}
	t := w.startTraffic(4, 20*time.Millisecond)
	time.Sleep(2 * time.Second)
	if s.trouble {
		w.disc.setDelay(1500 * time.Millisecond)
	}
	w.disc.resetConns()
	s.rec.note("discovery: watches reset")
	time.Sleep(3 * time.Second)
	drained := w.servers[0]
	w.disc.setPhase(drained.id, "draining")
	at := time.Now()
	time.Sleep(12 * time.Second)
	t.end(w)
	const grace = 6*time.Second + 550*time.Millisecond
	n := 0
	var last time.Time
	for _, r := range drained.runs() {
		if r.at.Sub(at) > grace {
			n++
			last = r.at
		}
	}
	if n > 0 {
		v.add("server %s got %d requests later than 6.55 s after its drain, the last at %.2f s", drained.id, n, last.Sub(at).Seconds())
	}
	return v, nil
}
