//go:build review2

package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// world is what a gateway needs: servers, discovery and the counter.
type world struct {
	scene     *scene
	servers   *servers
	discovery *standin.Discovery
	counter   *standin.Counter
	ids       []string // ids of the servers
	classes   []standin.Class
}

// openWorld starts n servers that are listed under ids of discovery's usual form.
func (s *scene) openWorld(n int, service func(id string) time.Duration) (*world, error) {
	w := &world{scene: s, classes: classes()}
	var err error
	if w.servers, err = s.openServers(n, service); err != nil {
		return nil, err
	}
	for i := range n {
		w.ids = append(w.ids, fmt.Sprintf("s-%08x", 0x5be20000+i))
	}
	if w.discovery, err = standin.NewDiscovery(w.list(nil), 41); err != nil {
		return nil, err
	}
	s.later(w.discovery.Close)
	if w.counter, err = standin.NewCounter(); err != nil {
		return nil, err
	}
	s.later(w.counter.Close)
	return w, nil
}

// list returns the entries of all servers, with phases other than up by index. A server whose phase is "" is left out.
func (w *world) list(phases map[int]string) string {
	var members []string
	for i, id := range w.ids {
		phase, other := phases[i]
		if !other {
			phase = "up"
		}
		if phase != "" {
			members = append(members, standin.Member(id, w.servers.listeners[i].Addr(), phase))
		}
	}
	return standin.Members(members...)
}

// config returns the configuration of gateway number i of n.
func (w *world) config(i, n int) standin.Config {
	return standin.Config{Name: fmt.Sprintf("n%d", i), Listen: freeAddr(), Admin: freeAddr(), Discovery: w.discovery.Addr(),
		Counter: w.counter.Addr(), Seed: uint64(1000 + i), Instances: n, Number: i, Zones: []string{"hall-a"}, Plans: plans(),
		Classes: w.classes}
}

// usualTraffic sends about 50 queries a second of ever new customers on 10 connections until stop is closed. It returns a function that
// describes the answers.
func (w *world) usualTraffic(addr string, stop chan struct{}, running *sync.WaitGroup) func() string {
	var mu sync.Mutex
	counts := map[byte]int{}
	lost := 0
	for i := range 10 {
		running.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(150 * time.Millisecond):
				}
				a, err := ask(addr, 2*time.Second, "SVC.QUERY", fmt.Sprintf("%016x", 1<<24+i<<16+n), fmt.Sprintf("%016x", 1<<40+i<<20+n),
					"c=space-query,t=basic,d=2000,units=1,spread=1,first=0")
				mu.Lock()
				if err != nil {
					lost++
				} else {
					counts[a.Kind]++
				}
				mu.Unlock()
			}
		})
	}
	return func() string {
		return fmt.Sprintf("%d served, %d refused or failed, %d without an answer", counts['$'], counts['-'], lost)
	}
}

// blackHole listens at an address and answers nothing, as a machine that has vanished: new connections never come up.
func (s *scene) blackHole(addr string) error {
	a, err := net.ResolveTCPAddr("tcp", addr)
	if err != nil {
		return err
	}
	l, err := listenWithoutBacklog(a)
	if err != nil {
		return err
	}
	s.later(func() { l.Close() })
	for range 16 { // fill the queue of connections
		c, err := net.DialTimeout("tcp", addr, 300*time.Millisecond)
		if err != nil {
			return nil
		}
		s.later(func() { c.Close() })
	}
	return fmt.Errorf("the queue of %s does not fill", addr)
}

// limitsFile writes a limits file and returns its path.
func (s *scene) limitsFile(name, text string) (string, error) {
	path := filepath.Join(s.temp, name+".toml")
	return path, os.WriteFile(path, []byte(text), 0o644)
}
