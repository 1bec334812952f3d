package main_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"dewhitch/internal/standin"
)

// The load of TestDrainsUnderLoad. The longest wait is above the recent past, so that requests are out through all of a
// drain, and below what would let one that is taken in time be out for long after its term.
const (
	drainGateways = 4
	drainSeeds    = 10
	shortestWait  = 200 * time.Millisecond
	longestWait   = 2500 * time.Millisecond
	newFor        = 200 * time.Millisecond // after the call, in which the front still sends new connections
	lateAnswer    = 500 * time.Millisecond // beyond a request's wait: a later answer is none
	checkerSlack  = 300 * time.Millisecond // for the machine that the test runs on
)

// connection is what a client knows of one connection to a gateway.
type connection struct {
	net.Conn
	mu       sync.Mutex
	waiting  []request // in the order written, not answered yet
	until    time.Time // when the time of all of them is up
	last     time.Time // when the last byte of the last request was written
	answered time.Time
	ended    bool // the gateway, or its client, has closed it
	left     bool // by its client
}

// request is one that a client has written whole.
type request struct {
	id    string
	sent  time.Time
	until time.Time // when its client's time is up, and that of all before it, behind which its answer waits
}

// gatewayRecord is a gateway of the test, with every connection that was made to it.
type gatewayRecord struct {
	world   *environment
	number  int
	longest time.Duration // that a client waits
	mu      sync.Mutex
	conns   []*connection
	called  time.Time     // of the drain, or of SIGTERM; zero: none
	newFor  time.Duration // from then on, in which the front still sends new connections
	faults  []string
	over    bool // no client connects any more
}

// leave ends all of its clients' connections, for good.
func (g *gatewayRecord) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.over = true
	for _, c := range g.conns {
		c.leave()
	}
}

// drainTest is one run.
type drainTest struct {
	t        *testing.T
	backends *standin.Backends
	gateways []*gatewayRecord
	over     chan struct{}
	clients  sync.WaitGroup
}

func (g *gatewayRecord) fault(format string, a ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = append(g.faults, fmt.Sprintf(format, a...))
}

// accepts tells whether the front still sends new connections here.
func (g *gatewayRecord) accepts() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.called.IsZero() || time.Since(g.called) < g.newFor
}

// connect opens a connection; nil: the front sends none.
func (g *gatewayRecord) connect() *connection {
	if !g.accepts() {
		return nil
	}
	conn, err := net.DialTimeout("tcp", g.world.listen, patience)
	if err != nil {
		return nil
	}
	c := &connection{Conn: conn}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.over {
		conn.Close()
		return nil
	}
	g.conns = append(g.conns, c)
	return c
}

// send writes a request.
func (c *connection) send(g *gatewayRecord, rng *rand.Rand) error {
	id := fmt.Sprintf("r%016x", rng.Uint64())
	wait := shortestWait + time.Duration(rng.Int64N(int64(g.longest-shortestWait)))
	words := fmt.Sprintf("SVC.QUERY %016x %s c=lookup,t=wide,d=%d,units=1,spread=1,first=%d", rng.Uint64N(1<<32), id,
		wait.Milliseconds(), g.number)
	c.mu.Lock()
	now := time.Now()
	if at := now.Add(wait); at.After(c.until) {
		c.until = at
	}
	c.waiting, c.last = append(c.waiting, request{id, now, c.until}), now
	c.mu.Unlock()
	_, err := c.Write(encode(words))
	return err
}

// receive reads answers until the connection ends, and holds each to the request that it answers.
func (c *connection) receive(g *gatewayRecord, each func()) {
	for r := bufio.NewReader(c.Conn); ; {
		reply, err := standin.ReadReply(r)
		c.mu.Lock()
		if err != nil {
			c.ended = true
			if !c.left && !errors.Is(err, io.EOF) && len(c.waiting) == 0 {
				g.fault("a connection that was owed nothing ended with %v", err)
			}
			c.mu.Unlock()
			return
		}
		if len(c.waiting) > 0 {
			asked := c.waiting[0]
			c.waiting, c.answered = c.waiting[1:], time.Now()
			if late := time.Since(asked.until); late > lateAnswer+checkerSlack {
				g.fault("request %s was answered %v after its time", asked.id, late)
			}
			if reply.Kind == '$' && reply.Text != asked.id {
				g.fault("request %s was served with %q", asked.id, reply.Text)
			}
		}
		c.mu.Unlock()
		each()
	}
}

// leave closes the connection for the client's own reasons.
func (c *connection) leave() {
	c.mu.Lock()
	c.left, c.ended = true, true
	c.mu.Unlock()
	c.Close()
}

// held tells why the rule forbids that the connection is open at that time, if it does.
func (c *connection) held(at time.Time) (why string, broken bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ended:
	case len(c.waiting) == 0 && at.Sub(c.answered) > checkerSlack:
		return "idle", true
	case len(c.waiting) > 0 && at.Sub(c.last) < recentRequest:
		return fmt.Sprintf("with a request of %v before", at.Sub(c.last).Round(time.Millisecond)), true
	}
	return "", false
}

// behaviour is what one kind of client does with one connection, until that ends.
type behaviour func(d *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand)

// A client that asks again the moment it is answered.
func steady(_ *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	c.send(g, rng)
	c.receive(g, func() { c.send(g, rng) })
}

// A client that writes many requests without waiting for answers, all the time.
func pipelining(d *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	d.clients.Go(func() {
		tick := time.NewTicker(50 * time.Millisecond) // fewer are out at once than the gateway takes of one client
		defer tick.Stop()
		for {
			select {
			case <-d.over:
				return
			case <-tick.C:
			}
			if c.send(g, rng) != nil {
				return
			}
		}
	})
	c.receive(g, func() {})
}

// A client that connects and says nothing.
func silent(_ *drainTest, g *gatewayRecord, c *connection, _ *rand.Rand) { c.receive(g, func() {}) }

// A client that asks once and keeps its connection.
func resting(_ *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	c.send(g, rng)
	c.receive(g, func() {})
}

// A client that writes a command a byte at a time, and never all of it.
func trickling(d *drainTest, g *gatewayRecord, c *connection, _ *rand.Rand) {
	d.clients.Go(func() {
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		_, err := c.Write([]byte("*2\r\n$4\r\nPING\r\n$9000\r\n"))
		for err == nil {
			select {
			case <-d.over:
				return
			case <-tick.C:
				_, err = c.Write([]byte("x"))
			}
		}
	})
	// Its error is an answer to nothing that it wrote whole.
	c.receive(g, func() {})
}

// A client that asks and does not wait for the answer.
func leaving(d *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	c.send(g, rng)
	d.clients.Go(func() { c.receive(g, func() {}) })
	time.Sleep(time.Duration(rng.Int64N(int64(100 * time.Millisecond)))) // its patience
	c.leave()
}

// run has a client behave so on one connection after another.
func (d *drainTest) run(g *gatewayRecord, does behaviour, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	d.clients.Go(func() {
		for {
			select {
			case <-d.over:
				return
			default:
			}
			c := g.connect()
			if c == nil {
				return
			}
			does(d, g, c, rng)
			c.Close()
		}
	})
}

// drain drains a gateway at its moment, and judges it at the end of its term.
func (d *drainTest) drain(g *gatewayRecord, at time.Time) {
	waitUntil(at)
	g.mu.Lock()
	g.called = time.Now()
	called := g.called
	g.mu.Unlock()
	if answer := adminCall(d.t, g.world.admin, "evacuate"); answer != "YES" {
		g.fault("evacuate: %q", answer)
	}
	end := called.Add(drainTerm)
	waitUntil(end)
	g.mu.Lock()
	conns := g.conns
	g.mu.Unlock()
	suspects := map[*connection]string{}
	for _, c := range conns {
		if why, broken := c.held(end); broken {
			suspects[c] = why
		}
	}
	// The test's own machine may be late to see an end that the gateway has made.
	waitUntil(end.Add(checkerSlack))
	for c, why := range suspects {
		c.mu.Lock()
		ended := c.ended
		c.mu.Unlock()
		if !ended {
			g.fault("held %v after the call: %s", drainTerm, why)
		}
	}
}

// sent are the requests that have come to a server.
func (d *drainTest) sent() map[string]bool {
	sent := map[string]bool{}
	for _, c := range d.backends.Commands() {
		sent[c.ID] = true
	}
	return sent
}

// lost tells of requests that a server has had and whose connection was ended without their answer.
func (d *drainTest) lost() {
	sent := d.sent()
	for _, g := range d.gateways {
		g.mu.Lock()
		conns := g.conns
		g.mu.Unlock()
		for _, c := range conns {
			c.mu.Lock()
			for _, r := range c.waiting {
				if c.ended && !c.left && sent[r.id] {
					g.fault("request %s was sent on, and its connection ended without an answer", r.id)
				}
				if !c.ended && time.Since(r.until) > lateAnswer+checkerSlack {
					g.fault("request %s has no answer %v after its time", r.id, time.Since(r.until))
				}
			}
			c.mu.Unlock()
		}
	}
}

// Several gateways under load, of which some are drained at random moments, while servers hang. No client connection may be
// held beyond the term, and no request may be lost, by any of them.
func TestDrainsUnderLoad(t *testing.T) {
	for seed := range uint64(drainSeeds) {
		seed += 370
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			rng := rand.New(rand.NewPCG(seed, 1))
			backends, err := standin.NewBackends(6, true, hangingSome(seed))
			d := &drainTest{t: t, backends: kept(t, backends, err), over: make(chan struct{})}
			d.start(seed)
			var drains sync.WaitGroup
			begin := time.Now()
			for _, i := range rng.Perm(drainGateways)[:2+rng.IntN(2)] {
				at := begin.Add(300*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second))))
				drains.Go(func() { d.drain(d.gateways[i], at) })
			}
			drains.Wait()
			d.lost()
			close(d.over)
			for _, g := range d.gateways {
				g.leave()
			}
			d.clients.Wait()
			for _, g := range d.gateways {
				if len(g.faults) > 0 {
					t.Errorf("gateway %d, drained: %v, %d connections: %d faults:\n%s", g.number, !g.called.IsZero(), len(g.conns),
						len(g.faults), strings.Join(g.faults[:min(len(g.faults), 8)], "\n"))
				}
			}
		})
	}
}

// hangingSome is a script by which some requests hang, and some are slow.
func hangingSome(seed uint64) standin.Script {
	type step = struct {
		Weight float64
		Delay  time.Duration
	}
	fast := standin.Weighted(seed, map[standin.Behaviour]step{standin.Serve: {5, 40 * time.Millisecond}, standin.Stall: {1, 0},
		standin.Fail: {0.3, 20 * time.Millisecond}})
	rng := rand.New(rand.NewPCG(seed, 3))
	return func(c *standin.Command) standin.Step {
		if rng.IntN(8) == 0 {
			return standin.Step{Behaviour: standin.Serve, Delay: time.Duration(rng.Int64N(int64(longestWait)))}
		}
		return fast(c)
	}
}

// start starts the gateways, and the clients of each.
func (d *drainTest) start(seed uint64) {
	for i := range drainGateways {
		w := newEnvironment(d.t)
		w.self = i
		w.override = append(w.override, fmt.Sprintf(`{"settings":{"NInstances":%d}}`, drainGateways))
		var members []string
		for n, l := range d.backends.Nodes {
			members = append(members, standin.Member(fmt.Sprintf("s-%08x", n+1), l.Addr(), "up"))
		}
		w.discovery.Set(standin.Members(members...))
		w.start("serve")
		d.gateways = append(d.gateways, &gatewayRecord{world: w, number: i, longest: longestWait, newFor: newFor})
	}
	for i, g := range d.gateways {
		for k, does := range []behaviour{steady, steady, steady, steady, steady, steady, pipelining, silent, resting, trickling,
			leaving} {
			d.run(g, does, seed<<16+uint64(i<<8+k))
		}
	}
}
