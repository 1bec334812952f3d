package main

import (
	"fmt"
	"sort"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["ceiling"] = ceiling }

const (
	capRate   = 20.0 // as in the example of the wire page
	hardBurst = 34.0
	tolerance = 3.0
)

// ceiling: one haulier presses against its ceiling through all three gateways while their processes are replaced, one after another.
func ceiling(s *scene) (v verdict, err error) {
	d := s.d
	d.classes = []object{safeClass(), keyedClass()}
	d.plans = []object{widePlan(), {"BeyondEarns": 0.2, "CapRate": capRate, "Depth": 14.0, "HardBurst": hardBurst, "Name": "fleet", "Open": 0,
		"OverrunCost": 0.0, "Pays": 1.4, "QuotaRate": 9.2, "Tolerance": tolerance}}
	cnt, err := newCounter()
	if err != nil {
		return v, err
	}
	defer cnt.close()
	d.counter = cnt.addr()
	var servers []*server
	var members []member
	for i := range 4 {
		srv, err := newServer(s.rec, fmt.Sprintf("s-0000000%d", i+1), 20*time.Millisecond)
		if err != nil {
			return v, err
		}
		defer srv.close()
		servers = append(servers, srv)
		members = append(members, member{id: srv.id, addr: srv.addr(), phase: "up"})
	}
	disc, err := newDiscovery(s.rec, "A", members)
	if err != nil {
		return v, err
	}
	defer disc.close()
	procs := make([]*process, 3)
	for i := range procs {
		n, err := d.newNode(i, disc.addr(), true)
		if err != nil {
			return v, err
		}
		if procs[i], err = n.start(); err != nil {
			return v, err
		}
	}
	for _, p := range procs {
		if err := p.awaitYes(10 * time.Second); err != nil {
			return v, err
		}
	}
	time.Sleep(4 * time.Second) // in which the share of each gateway fills
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var served, refused, other atomic.Int64
	for g := range 3 {
		for k := range 4 { // connections to each gateway
			wg.Go(func() { press(s, d.nodes[g].listen, g, k, stop, &served, &refused, &other) })
		}
	}
	time.Sleep(6 * time.Second)
	if s.trouble {
		for i, n := range d.nodes {
			next, err := n.start()
			if err != nil {
				return v, err
			}
			if err := next.awaitYes(6 * time.Second); err != nil {
				return v, err
			}
			old := procs[i]
			old.terminate()
			kill := time.AfterFunc(3700*time.Millisecond, func() { old.cmd.Process.Kill() })
			<-old.done
			kill.Stop()
			procs[i] = next
			time.Sleep(time.Second)
		}
	} else {
		time.Sleep(6 * time.Second)
	}
	time.Sleep(2 * time.Second)
	close(stop)
	wg.Wait()
	s.rec.note("clients: served %d, refused %d, other %d", served.Load(), refused.Load(), other.Load())
	var runs []arrival
	for _, srv := range servers {
		runs = append(runs, srv.runs()...)
	}
	lowest, at := lowestStore(runs)
	s.rec.note("units sent on: %d; the ceiling's store fell to %.2f at %.3f s", len(runs), lowest, at.Sub(s.rec.start).Seconds())
	allowed := -(tolerance + 0.15*capRate)
	if lowest < allowed {
		v.add("the ceiling's store fell to %.2f; %.2f is the least allowed", lowest, allowed)
	}
	return v, nil
}

// lowestStore plays the ceiling's store over the first attempts of the requests, in the order in which they came whole to servers.
func lowestStore(runs []arrival) (lowest float64, at time.Time) {
	sort.Slice(runs, func(i, j int) bool { return runs[i].at.Before(runs[j].at) })
	seen := map[string]bool{}
	level, lowest := hardBurst, hardBurst
	var last time.Time
	for _, r := range runs {
		if seen[r.id] {
			continue
		}
		seen[r.id] = true
		if !last.IsZero() {
			level = min(hardBurst, level+capRate*r.at.Sub(last).Seconds())
		}
		last = r.at
		level--
		if level < lowest {
			lowest, at = level, r.at
		}
	}
	return lowest, at
}

// press sends requests of one haulier on a connection that it keeps, about 15 a second, and opens a new one when the gateway has closed it.
func press(s *scene, addr string, g, k int, stop chan struct{}, served, refused, other *atomic.Int64) {
	var c *client
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(60 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dialClient(addr); err != nil {
				other.Add(1)
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("%02x%02x%012x", g, k, i)
		line, _, err := c.do(5*time.Second, "SVC.QUERY", "00000000b4d65521", id, "c=space-query,t=fleet,d=4000,units=1,spread=3,first=0")
		switch {
		case err != nil:
			other.Add(1)
			c.Close()
			c = nil
		case line[0] == '$':
			served.Add(1)
		default:
			refused.Add(1)
		}
	}
}
