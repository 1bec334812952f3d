package main

import (
	"fmt"
	"io"
	"math/rand"
	"sync"
	"time"
)

// ask is one request of a usual client, as the front sent it.
type ask struct {
	id       string
	deadline time.Duration // d
	sentAt   time.Time     // when its last byte was written for the last time
	tries    int           // 2 if the gateway closed the connection and the front sent it once more
	answer   string        // first line of the answer; empty if there is none
	took     time.Duration // from sentAt to the answer's last byte, or to when the front stopped waiting
	err      error
}

// front stands in for the usual clients of one gateway. It keeps connections, and opens more when all are busy. A request on a
// connection that the gateway closes without an answer is sent once more, on a new connection.
type front struct {
	w     *world
	addr  string
	name  string
	plan  string
	wait  time.Duration // how long it waits beyond the deadline
	mu    sync.Mutex
	idle  []*client
	open  int // connections, with those that wait to be served
	most  int // the most connections so far
	asks  []*ask
	wg    sync.WaitGroup
	stop  chan struct{}
	ended sync.WaitGroup
}

// startFront sends requests at random times, so many a second in the mean, until end is called.
func (w *world) startFront(gateway int, perSecond float64, deadline time.Duration) *front {
	f := &front{w: w, addr: w.d.nodes[gateway].listen, name: fmt.Sprintf("%02x", gateway), wait: 600 * time.Millisecond, stop: make(chan struct{})}
	rng := rand.New(rand.NewSource(int64(gateway) + 1))
	f.ended.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-f.stop:
				return
			case <-time.After(time.Duration(rng.ExpFloat64() / perSecond * float64(time.Second))):
			}
			a := &ask{id: fmt.Sprintf("%s%014x", f.name, i), deadline: deadline}
			customer := fmt.Sprintf("%016x", 0xb4d65000+i%40)
			f.mu.Lock()
			f.asks = append(f.asks, a)
			f.mu.Unlock()
			f.wg.Go(func() { f.send(a, customer, gateway) })
		}
	})
	return f
}

// end stops new requests and waits until the open ones are answered or given up.
func (f *front) end() []*ask {
	close(f.stop)
	f.ended.Wait()
	f.wg.Wait()
	for _, c := range f.idle {
		c.Close()
	}
	f.w.rec.note("front of gateway %s: %d requests, %d connections at most", f.name, len(f.asks), f.most)
	return f.asks
}

func (f *front) take() *client {
	f.mu.Lock()
	defer f.mu.Unlock()
	if n := len(f.idle); n > 0 {
		c := f.idle[n-1]
		f.idle = f.idle[:n-1]
		return c
	}
	return nil
}

func (f *front) countConnection(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open += n
	f.most = max(f.most, f.open)
}

func (f *front) send(a *ask, customer string, gateway int) {
	text := command("SVC.QUERY", customer, a.id, fmt.Sprintf("c=space-query,t=basic,d=%d,units=1,spread=1,first=%d", a.deadline.Milliseconds(), gateway))
	for c := f.take(); a.tries < 2; c = nil {
		a.tries++
		if c == nil {
			if c, a.err = dialClient(f.addr); a.err != nil {
				continue
			}
			f.countConnection(1)
		}
		_, a.err = io.WriteString(c, text)
		a.sentAt = time.Now()
		c.SetReadDeadline(a.sentAt.Add(a.deadline + f.wait))
		if a.err == nil {
			a.answer, _, a.err = c.reply()
		}
		a.took = time.Since(a.sentAt)
		if a.err == nil {
			f.w.rec.note("client %s: answered %s after %.3f s", a.id, a.answer, a.took.Seconds())
			f.mu.Lock()
			f.idle = append(f.idle, c)
			f.mu.Unlock()
			return
		}
		f.w.rec.note("client %s: no answer on try %d after %.3f s: %v", a.id, a.tries, a.took.Seconds(), a.err)
		a.answer = ""
		c.Close()
		f.countConnection(-1)
		if a.took >= a.deadline+f.wait {
			return
		}
	}
}
