//go:build review2

package main

import (
	"fmt"
	"net"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

func init() { cases["midcommand"] = midCommand }

// The client that writes slowly, and the crowd.
const (
	slowClients  = 4
	slowRest     = 2 * time.Second        // between its first answer and its second command
	slowPause    = 450 * time.Millisecond // between the two halves of that command; clients may spend 2 s on a head
	crowdAfter   = 150 * time.Millisecond // after the first half
	crowdClients = 400                    // connections that come at once and say nothing
)

// midCommand: clients that are served write their next command slowly, while hundreds of others connect at once and say nothing.
func midCommand(s *scene) (v verdict, err error) {
	w, err := s.openWorld(6, func(string) time.Duration { return 30 * time.Millisecond })
	if err != nil {
		return v, err
	}
	g := &gateway{name: "gateway0", config: w.config(0, 1)}
	if err := s.startGateway(g); err != nil {
		return v, err
	}
	time.Sleep(time.Second)
	var mu sync.Mutex
	var running sync.WaitGroup
	halfWritten := make(chan struct{}, slowClients)
	for i := range slowClients {
		running.Go(func() {
			outcome, fault := s.slowClient(g.config.Listen, i, halfWritten)
			mu.Lock()
			defer mu.Unlock()
			if fault != nil {
				err = fault
			}
			if outcome != "" {
				s.note("slow client %d: %s", i, outcome)
				v.add("slow client %d: %s", i, outcome)
			}
		})
	}
	for range slowClients {
		<-halfWritten
	}
	time.Sleep(crowdAfter)
	if s.trouble {
		var crowd sync.WaitGroup
		for range crowdClients {
			crowd.Go(func() {
				if c, err := net.DialTimeout("tcp", g.config.Listen, time.Second); err == nil {
					time.Sleep(2 * time.Second)
					c.Close()
				}
			})
		}
		s.note("%d clients connect and say nothing", crowdClients)
		defer crowd.Wait()
	}
	running.Wait()
	return v, err
}

// slowClient sends a query, rests, and writes a second one in two halves. It returns what is wrong if all of that was written and has no
// answer, and an error if the client did not come so far.
func (s *scene) slowClient(addr string, i int, halfWritten chan<- struct{}) (string, error) {
	signalled := false
	signal := func() {
		if !signalled {
			signalled = true
			halfWritten <- struct{}{}
		}
	}
	defer signal()
	c, err := standin.Dial(addr, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	query := func(n int) []byte {
		return standin.AppendCommand(nil, "SVC.QUERY", fmt.Sprintf("%016x", 1<<20+i*10+n), fmt.Sprintf("51%014x", i*10+n),
			"c=space-query,t=basic,d=4000,units=1,spread=1,first=0")
	}
	c.Write(query(0))
	if a, err := c.Reply(); err != nil || a.Kind != '$' {
		return "", fmt.Errorf("the first query of client %d was answered %q, %w", i, a.Text, err)
	}
	time.Sleep(slowRest)
	command := query(1)
	half := len(command) / 2
	if _, err := c.Write(command[:half]); err != nil {
		return "", fmt.Errorf("the first half of client %d: %w", i, err)
	}
	s.note("slow client %d has written half of its second command", i)
	signal()
	time.Sleep(slowPause)
	_, err = c.Write(command[half:])
	s.note("slow client %d has written the rest: %v", i, err)
	if err != nil {
		return "", nil // not written whole
	}
	a, err := c.Reply()
	if err != nil {
		return "no answer to a request that was written whole: " + err.Error(), nil
	}
	s.note("slow client %d got %c%s", i, a.Kind, a.Text)
	return "", nil
}
