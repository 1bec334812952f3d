package main

import (
	"syscall"
	"time"
)

func init() { cases["brokenkey"] = brokenKey }

// brokenKey: a new configuration moves discovery; a later one is broken: the key discovery is missing.
func brokenKey(s *scene) (v verdict, err error) {
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
	second, err := newDiscovery(s.rec, "B", append([]member(nil), w.disc.members...))
	if err != nil {
		return v, err
	}
	defer second.close()
	for i, n := range w.d.nodes {
		n.discovery = second.addr()
		n.writeConfig(n.config())
		w.procs[i].signal(syscall.SIGHUP)
	}
	w.disc.leave()
	time.Sleep(5 * time.Second)
	if s.trouble {
		for i, n := range w.d.nodes {
			c := n.config()
			delete(c, "discovery")
			n.writeConfig(c)
			w.procs[i].signal(syscall.SIGHUP)
		}
	}
	time.Sleep(2 * time.Second)
	drained := w.servers[0]
	second.setPhase(drained.id, "draining")
	at := time.Now()
	time.Sleep(12 * time.Second)
	t.end(w)
	n := 0
	var last time.Time
	for _, r := range drained.runs() {
		if r.at.Sub(at) > 6550*time.Millisecond {
			n++
			last = r.at
		}
	}
	if n > 0 {
		v.add("server %s got %d requests later than 6.55 s after its drain, the last at %.2f s", drained.id, n, last.Sub(at).Seconds())
	}
	return v, nil
}
