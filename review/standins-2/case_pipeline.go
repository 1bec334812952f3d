//go:build review2

package main

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

func init() { cases["pipeline"] = pipeline }

// The client that leaves.
const (
	leavers        = 4                      // clients that leave, one after another
	commandsAtOnce = 200                    // commands that such a client sends at once
	leaverBody     = 300                    // bytes of the body of each
	slowService    = 300 * time.Millisecond // time that a server takes for the first command of such a client
)

// pipeline: clients send many commands at once on one connection and close it at once. Without the disruption they read all answers first.
func pipeline(s *scene) (v verdict, err error) {
	w, err := s.openWorld(10, func(id string) time.Duration {
		if strings.HasPrefix(id, "1eaf") {
			return slowService
		}
		return 30 * time.Millisecond
	})
	if err != nil {
		return v, err
	}
	w.servers.resets = func(id string) bool { return strings.HasPrefix(id, "1eaf") }
	g := &gateway{name: "gateway0", config: w.config(0, 3)}
	if err := s.startGateway(g); err != nil {
		return v, err
	}
	stop := make(chan struct{})
	var usual sync.WaitGroup
	answered := w.usualTraffic(g.config.Listen, stop, &usual)
	time.Sleep(6 * time.Second)

	closedAt := map[string]time.Time{} // by the beginning of the ids of a client's commands
	for i := range leavers {
		prefix := fmt.Sprintf("1eaf%04x", i)
		c, err := standin.Dial(g.config.Listen, time.Second)
		if err != nil {
			return v, err
		}
		var commands [][]string
		for k := range commandsAtOnce {
			commands = append(commands, []string{"SVC.QUERY", fmt.Sprintf("%016x", 1<<20+i*1000+k), fmt.Sprintf("%s%08x", prefix, k),
				"c=space-query,t=basic,d=4000,units=1,spread=1,first=0", string(bytes.Repeat([]byte("x"), leaverBody))})
		}
		c.SetDeadline(time.Now().Add(20 * time.Second))
		if err := c.Send(commands...); err != nil {
			return v, err
		}
		if !s.trouble {
			for range commands {
				if _, err := c.Reply(); err != nil {
					return v, err
				}
			}
		}
		closedAt[prefix] = time.Now()
		c.Close()
		s.noteAt(closedAt[prefix], "client %s has sent %d commands and closed its connection", prefix, commandsAtOnce)
		time.Sleep(1500 * time.Millisecond)
	}
	time.Sleep(time.Second)
	close(stop)
	usual.Wait()
	s.note("usual requests: %s", answered())
	figures, _ := call(g.config.Admin, "telemetry")
	s.note("figures: %s", figures)

	for _, c := range w.servers.seen() {
		if !strings.HasPrefix(c.id, "1eaf") {
			continue
		}
		after := c.at.Sub(closedAt[c.id[:8]])
		s.noteAt(c.at, "server %d began %s, %.1f ms after its client closed", c.server, c.id, after.Seconds()*1e3)
		if after > leftBound {
			v.add("an attempt of %s began %.0f ms after its client closed its connection", c.id, after.Seconds()*1e3)
		}
	}
	return v, nil
}
