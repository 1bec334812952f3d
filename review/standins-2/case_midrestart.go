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

func init() { cases["midrestart"] = midRestart }

// The clients that write slowly around SIGTERM, and the platform.
const (
	restartClients = 6
	beginAfter     = 300 * time.Millisecond // from SIGTERM to the first byte of a client's command
	headTime       = 380 * time.Millisecond // from its first byte to its last; clients may spend 2 s on a head
	headPieces     = 20                     // pieces in which it is written
)

// midRestart: the gateway gets SIGTERM. On connections that they already use, clients write a command soon after, in pieces.
func midRestart(s *scene) (v verdict, err error) {
	w, err := s.openWorld(6, func(string) time.Duration { return 30 * time.Millisecond })
	if err != nil {
		return v, err
	}
	g := &gateway{name: "gateway0", config: w.config(0, 1)}
	if err := s.startGateway(g); err != nil {
		return v, err
	}
	time.Sleep(time.Second)
	var clients []*standin.Client
	for i := range restartClients {
		c, err := standin.Dial(g.config.Listen, time.Second)
		if err != nil {
			return v, err
		}
		defer c.Close()
		c.SetDeadline(time.Now().Add(20 * time.Second))
		c.Write(slowCommand("booking", i, 0))
		if a, err := c.Reply(); err != nil || a.Kind != '$' {
			return v, fmt.Errorf("the first booking of client %d was answered %q, %v", i, a.Text, err)
		}
		clients = append(clients, c)
	}
	time.Sleep(500 * time.Millisecond)
	terminated := time.Now()
	if s.trouble {
		g.expected.Store(true)
		g.Cmd.Process.Signal(syscall.SIGTERM)
		s.note("SIGTERM")
	}
	var mu sync.Mutex
	var running sync.WaitGroup
	for i, c := range clients {
		running.Go(func() {
			time.Sleep(time.Until(terminated.Add(beginAfter)))
			outcome := s.writeSlowly(c, slowCommand("booking", i, 1), fmt.Sprintf("client %d", i))
			mu.Lock()
			defer mu.Unlock()
			if outcome != "" {
				v.add("client %d: %s", i, outcome)
			}
		})
	}
	running.Wait()
	if s.trouble {
		if g.Wait(time.Until(terminated.Add(killAfter))) == nil {
			s.note("the gateway has ended by itself")
		}
	}
	return v, nil
}

// slowCommand returns an encoded command.
func slowCommand(class string, client, n int) []byte {
	id := fmt.Sprintf("51%014x", client*16+n)
	name, key := "SVC.QUERY", ""
	if class == "booking" {
		name, key = "SVC.SUBMIT", "k="+id+","
	}
	return standin.AppendCommand(nil, name, fmt.Sprintf("%016x", 1<<20+client), id, "c="+class+",t=regular,d=4000,"+key+"units=1,spread=1,first=0",
		strings.Repeat("x", 200))
}

// writeSlowly writes a command in pieces and reads the answer. It returns what is wrong if all of it was written and there is none.
func (s *scene) writeSlowly(c *standin.Client, command []byte, name string) string {
	begun := time.Now()
	for i := range headPieces {
		from, to := i*len(command)/headPieces, (i+1)*len(command)/headPieces
		time.Sleep(time.Until(begun.Add(time.Duration(i) * headTime / (headPieces - 1))))
		if _, err := c.Write(command[from:to]); err != nil {
			s.note("%s: piece %d could not be written: %v", name, i, err)
			return ""
		}
		if i == 0 {
			s.note("%s has written the first piece", name)
		}
	}
	s.note("%s has written the last piece", name)
	a, err := c.Reply()
	if err != nil {
		s.note("%s: %v", name, err)
		return "no answer to a request that was written whole: " + err.Error()
	}
	s.note("%s got %c%s", name, a.Kind, a.Text)
	return ""
}
