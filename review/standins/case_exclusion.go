package main

import (
	"strings"
	"time"
)

func init() { cases["exclusion"] = exclusion }

// outOfUse is how many of the servers the operators take out of use: those of a hall.
const outOfUse = 6

// drainGrace is the time from a yes to the last allowed send: StopSendingWithin, and 50 ms as the protocol page adds to every limit.
const drainGrace = 550 * time.Millisecond

// exclusion: while a gateway's process is being replaced, operators take the servers of a hall out of use at that gateway. The old process
// is the only one that serves; the platform has not yet seen the new one's yes.
func exclusion(s *scene) (v verdict, err error) {
	w, err := newWorld(s, 14, 20*time.Millisecond)
	if err != nil {
		return v, err
	}
	defer w.close()
	if err := w.startGateways(true); err != nil {
		return v, err
	}
	t := w.startTraffic(4, 20*time.Millisecond)
	time.Sleep(3 * time.Second)
	saidYes := map[string]time.Time{} // by server taken out
	old := w.procs[0]
	exclude := func() {
		for _, srv := range w.servers[:outOfUse] {
			line, err := adminCall(old.admin, "exclude "+srv.id)
			s.rec.note("operator: exclude %s at gateway n0: %s %v", srv.id, line, err)
			if err == nil && strings.HasPrefix(line, "YES") {
				saidYes[srv.id] = time.Now()
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	if s.trouble {
		err = w.replace(0, func(next *process) {
			if next.awaitUp(5*time.Second) == nil {
				exclude()
			}
		})
		if err != nil {
			return v, err
		}
	} else {
		exclude()
	}
	time.Sleep(5 * time.Second)
	t.end(w)
	for _, srv := range w.servers {
		at, excluded := saidYes[srv.id]
		if !excluded {
			continue
		}
		n := 0
		var last time.Time
		for _, r := range srv.runs() {
			if strings.HasPrefix(r.id, "00") && r.at.Sub(at) > drainGrace { // ids of requests at gateway n0 begin with 00
				n++
				last = r.at
			}
		}
		if n > 0 {
			v.add("server %s ran %d requests of gateway n0 later than 0.55 s after the yes to its exclusion, the last one %.2f s after it",
				srv.id, n, last.Sub(at).Seconds())
		}
	}
	return v, nil
}
