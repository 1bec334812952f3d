package main

import (
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

func init() { cases["partition"] = partition }

// partition: a hall is cut off for 6 s while its servers are sending long values. They go on sending when it is over.
func partition(s *scene) (v verdict, err error) {
	const (
		valueSize = 1 << 20 // up to 4 MiB are allowed
		chunks    = 20
		cut       = 6 * time.Second
	)
	w, err := newWorld(s, 6, 0)
	if err != nil {
		return v, err
	}
	defer w.close()
	var mu sync.Mutex
	var cutUntil time.Time
	broken := map[string]int{} // bytes of the value that the server could not send, by request
	for i, srv := range w.servers {
		inHall := i < 2 // one hall of three
		srv.handle = func(c net.Conn, args []string) bool {
			full := answer(strings.Repeat("v", valueSize))
			size := len(full)/chunks + 1
			for at := 0; at < len(full); at += size {
				mu.Lock()
				until := cutUntil
				mu.Unlock()
				if inHall {
					time.Sleep(time.Until(until))
				}
				if _, err := fmt.Fprint(c, full[at:min(at+size, len(full))]); err != nil {
					s.rec.note("server %s: %s: can't send the bytes from %d on: %v", srv.id, args[2], at, err)
					mu.Lock()
					broken[args[2]] = len(full) - at
					mu.Unlock()
					return false
				}
				time.Sleep(50 * time.Millisecond)
			}
			s.rec.note("server %s: %s: all sent", srv.id, args[2])
			return true
		}
	}
	if err := w.startGateways(false); err != nil {
		return v, err
	}
	time.Sleep(time.Second)
	var wg sync.WaitGroup
	for i := range 24 {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", i)
			c, err := dialClient(w.d.nodes[i%3].listen)
			if err != nil {
				return
			}
			defer c.Close()
			at := time.Now()
			line, text, err := c.do(20*time.Second, "SVC.SUBMIT", fmt.Sprintf("%016x", 0xb4d65000+i), id,
				fmt.Sprintf("c=booking,t=basic,d=5000,k=%016x,units=1,spread=1,first=%d", i, i%3), "BODY")
			s.rec.note("client %s: %s, %d bytes, %v, after %.3f s", id, line, len(text), err, time.Since(at).Seconds())
			if err != nil {
				mu.Lock()
				rest := broken[id]
				mu.Unlock()
				v.add("request %s: the value was cut off after %.2f s (%v); %d bytes were left", id, time.Since(at).Seconds(), err, rest)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	if s.trouble {
		mu.Lock()
		cutUntil = time.Now().Add(cut)
		mu.Unlock()
		s.rec.note("network: two servers of six are cut off for %v", cut)
	}
	wg.Wait()
	time.Sleep(time.Second)
	return v, nil
}
