//go:build review2

package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"

	"dewhitch/internal/standin"
)

func init() { cases["forwarder"] = forwarder }

// The clients that leave, and the session of a planner at the registry.
const (
	forwarderLeavers  = 6
	forwarderCommands = 40   // bookings that such a client sends at once
	forwarderBody     = 3000 // bytes of the body of each
)

// forwarder: a forwarder passes bookings on to three planners. The machine of one vanishes, and for the time of its session it is still
// registered. Clients whose bookings go to that planner first leave soon. Without the disruption all three planners serve.
func forwarder(s *scene) (v verdict, err error) {
	w, err := s.openWorld(8, func(string) time.Duration { return 50 * time.Millisecond })
	if err != nil {
		return v, err
	}
	f, err := s.openForwarder(w)
	if err != nil {
		return v, err
	}
	registry, planners, listen := f.registry, f.planners, f.listen

	vanished := time.Now()
	if s.trouble {
		planners[0].expected.Store(true)
		planners[0].Cmd.Process.Signal(syscall.SIGKILL)
		planners[0].Wait(5 * time.Second)
		if err := s.blackHole(planners[0].limitsAddr); err != nil {
			return v, err
		}
		vanished = time.Now()
		s.note("the machine of planner 0 has vanished; its session at the registry lasts %v", sessionTime)
	}
	closedAt := map[string]time.Time{}
	var mu sync.Mutex
	var leaving sync.WaitGroup
	for i := range forwarderLeavers {
		leaving.Go(func() {
			time.Sleep(time.Duration(i) * 500 * time.Millisecond)
			prefix := fmt.Sprintf("1eaf%04x", i)
			c, err := standin.Dial(listen, time.Second)
			if err != nil {
				return
			}
			var commands [][]string
			for k := range forwarderCommands {
				id := fmt.Sprintf("%s%08x", prefix, k)
				// Of this customer's set, gateways 0 and 1, the forwarder tries 0 first: the customer's number is even.
				commands = append(commands, []string{"SVC.SUBMIT", fmt.Sprintf("%016x", 1<<16+2*(i*1000+k)), id,
					"c=booking,t=basic,d=5000,k=" + id + ",units=1,spread=2,first=0", strings.Repeat("x", forwarderBody)})
			}
			c.Send(commands...)
			mu.Lock()
			defer mu.Unlock()
			closedAt[prefix] = time.Now()
			c.Close()
			s.noteAt(closedAt[prefix], "client %s has sent %d bookings and closed its connection", prefix, forwarderCommands)
		})
	}
	leaving.Wait()
	s.note("the last client has left, %.1f s after the planner's machine vanished", time.Since(vanished).Seconds())
	if s.trouble {
		registry.Expire(registry.Owner("/dewhitch/planners/gateway-0"))
	}
	time.Sleep(2 * time.Second)
	for _, a := range w.servers.seen() {
		left, isLeaver := closedAt[a.id[:8]]
		if !isLeaver {
			continue
		}
		after := a.at.Sub(left)
		s.noteAt(a.at, "server %d began %s, %.1f ms after its client closed: %s", a.server, a.id, after.Seconds()*1e3, a.args)
		if after > leftBound {
			v.add("an attempt of %s began %.0f ms after its client closed its connection", a.id, after.Seconds()*1e3)
		}
	}
	return v, nil
}
