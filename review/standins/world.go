package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// world is a small deployment: three gateways, some servers, discovery and the counter.
type world struct {
	*scene
	servers []*server
	disc    *discovery
	cnt     *counter
	procs   []*process
}

// newWorld starts the stand-ins, but no gateway.
func newWorld(s *scene, servers int, work time.Duration) (*world, error) {
	w := &world{scene: s}
	d := s.d
	if d.classes == nil {
		d.classes = []object{safeClass(), keyedClass()}
	}
	if d.plans == nil {
		d.plans = []object{widePlan()}
	}
	var err error
	if w.cnt, err = newCounter(); err != nil {
		return nil, err
	}
	d.counter = w.cnt.addr()
	var members []member
	for i := range servers {
		srv, err := newServer(s.rec, fmt.Sprintf("s-%08x", 0x5be2a07c+i*0x01010101), work)
		if err != nil {
			return nil, err
		}
		w.servers = append(w.servers, srv)
		members = append(members, member{id: srv.id, addr: srv.addr(), phase: "up"})
	}
	w.disc, err = newDiscovery(s.rec, "A", members)
	return w, err
}

// startGateways starts all gateways and waits until they are ready.
func (w *world) startGateways(inherit bool) error {
	for i := range w.d.instances {
		n, err := w.d.newNode(i, w.disc.addr(), inherit)
		if err != nil {
			return err
		}
		p, err := n.start()
		if err != nil {
			return err
		}
		w.procs = append(w.procs, p)
	}
	for _, p := range w.procs {
		if err := p.awaitYes(10 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) close() {
	for _, srv := range w.servers {
		srv.close()
	}
	w.disc.close()
	w.cnt.close()
}

// traffic sends requests through gateways until it is stopped. Its ids begin with the gateway's number.
type traffic struct {
	stop                   chan struct{}
	wg                     sync.WaitGroup
	served, refused, other atomic.Int64
}

// startTraffic sends requests of many customers to each gateway over some connections that clients keep; every is the pause after an answer.
func (w *world) startTraffic(connections int, every time.Duration) *traffic {
	t := &traffic{stop: make(chan struct{})}
	for g, n := range w.d.nodes {
		for k := range connections {
			t.wg.Go(func() { t.client(w, n.listen, g, k, every) })
		}
	}
	return t
}

func (t *traffic) end(w *world) {
	close(t.stop)
	t.wg.Wait()
	w.rec.note("clients: served %d, refused %d, failed or closed %d", t.served.Load(), t.refused.Load(), t.other.Load())
}

func (t *traffic) client(w *world, addr string, g, k int, every time.Duration) {
	var c *client
	defer func() {
		if c != nil {
			c.Close()
		}
	}()
	for i := 0; ; i++ {
		select {
		case <-t.stop:
			return
		case <-time.After(every):
		}
		if c == nil {
			var err error
			if c, err = dialClient(addr); err != nil {
				t.other.Add(1)
				c = nil
				continue
			}
		}
		id := fmt.Sprintf("%02x%02x%012x", g, k, i)
		customer := fmt.Sprintf("%016x", 0xb4d65500+g*16+k)
		line, _, err := c.do(6*time.Second, "SVC.QUERY", customer, id, fmt.Sprintf("c=space-query,t=basic,d=4000,units=1,spread=1,first=%d", g))
		switch {
		case err != nil:
			t.other.Add(1)
			c.Close()
			c = nil
		case line[0] == '$':
			t.served.Add(1)
		default:
			t.refused.Add(1)
			w.rec.note("client: %s got %s", id, line)
		}
	}
}

// replace replaces the process of a gateway as the operations page says: it starts a new one beside the old one, and sends SIGTERM to the
// old one once the new one says yes. The platform asks for the yes after whileStarting.
func (w *world) replace(i int, whileStarting func(next *process)) error {
	next, err := w.d.nodes[i].start()
	if err != nil {
		return err
	}
	if whileStarting != nil {
		whileStarting(next)
	}
	if err := next.awaitYes(6 * time.Second); err != nil {
		return err
	}
	w.endOld(i)
	w.procs[i] = next
	return nil
}

// endOld sends SIGTERM to a gateway's process, and SIGKILL once the page allows it, and waits for its end.
func (w *world) endOld(i int) {
	old := w.procs[i]
	old.terminate()
	kill := time.AfterFunc(3700*time.Millisecond, func() { old.cmd.Process.Kill() })
	<-old.done
	kill.Stop()
}
