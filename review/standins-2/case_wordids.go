//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["wordids"] = wordIDs }

// drainBound is the time after which nothing new may begin at a server that counts as draining: 500 ms, and 50 ms on sockets.
const drainBound = 550 * time.Millisecond

// wordIDs: an operator excludes a server. The server is replaced: it is removed from the list, another one joins, and it comes back under its
// id. Without the disruption, it stays in the list.
func wordIDs(s *scene) (v verdict, err error) {
	w, err := s.openWorld(6, func(string) time.Duration { return 30 * time.Millisecond })
	if err != nil {
		return v, err
	}
	w.ids = []string{"pier-north", "pier-south", "pier-west", "quay-north", "quay-south", "quay-west"}
	const excluded, joining = 0, 5
	w.discovery.Set(w.list(map[int]string{joining: ""}))
	g := &gateway{name: "gateway0", config: w.config(0, 1)}
	if err := s.startGateway(g); err != nil {
		return v, err
	}
	stop := make(chan struct{})
	var usual sync.WaitGroup
	answered := w.usualTraffic(g.config.Listen, stop, &usual)
	time.Sleep(2 * time.Second)

	answer, err := call(g.config.Admin, "exclude "+w.ids[excluded])
	if err != nil || !strings.HasPrefix(answer, "YES") {
		return v, fmt.Errorf("exclude: %q, %v", answer, err)
	}
	excludedAt := time.Now()
	s.note("exclude %s: %s", w.ids[excluded], answer)
	time.Sleep(2 * time.Second)
	if s.trouble {
		w.discovery.SetCompleteUpdates(true)
		w.discovery.Set(w.list(map[int]string{excluded: "", joining: ""}))
		s.note("the list has no %s any more: its machine is restarted", w.ids[excluded])
		time.Sleep(time.Second)
	}
	w.discovery.SetCompleteUpdates(true)
	if s.trouble {
		w.discovery.Set(w.list(map[int]string{excluded: ""}))
	} else {
		w.discovery.Set(w.list(nil))
	}
	s.note("%s joins", w.ids[joining])
	time.Sleep(time.Second)
	w.discovery.Set(w.list(nil))
	s.note("%s is back in the list", w.ids[excluded])
	time.Sleep(3 * time.Second)
	close(stop)
	usual.Wait()
	s.note("usual requests: %s", answered())
	late := 0
	for _, a := range w.servers.seen() {
		if a.server == excluded && a.at.Sub(excludedAt) > drainBound {
			late++
			s.noteAt(a.at, "%s began %s, %.0f ms after the operators' YES", w.ids[excluded], a.id, a.at.Sub(excludedAt).Seconds()*1e3)
		}
	}
	if late > 0 {
		v.add("%d requests began at %s after it was excluded, the call answered YES, and no call put it back", late, w.ids[excluded])
	}
	return v, nil
}
