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
	drainGateways     = 4
	drainSeeds        = 10
	minRequestTimeout = 200 * time.Millisecond
	maxRequestTimeout = 2500 * time.Millisecond
	routedAfterDrain  = 200 * time.Millisecond // after the call, in which the front still sends new connections
	answerTolerance   = 500 * time.Millisecond // beyond a request's wait: a later answer is none
	schedulingSlack   = 300 * time.Millisecond // for the machine that the test runs on
)

// connection is what a client knows of one connection to a gateway.
type connection struct {
	net.Conn
	mu             sync.Mutex
	unanswered     []request // in the order written, not answered yet
	lastDeadline   time.Time // when the time of all of them is up
	lastSentAt     time.Time // when the last byte of the last request was written
	lastAnsweredAt time.Time
	closed         bool // the gateway, or its client, has closed it
	closedByClient bool // by its client
}

// request is one that a client has written whole.
type request struct {
	id       string
	sentAt   time.Time
	deadline time.Time // when its client's time is up, and that of all before it, behind which its answer waits
}

// gatewayRecord is a gateway of the test, with every connection that was made to it.
type gatewayRecord struct {
	env              *environment
	instance         int
	maxTimeout       time.Duration // that a client waits
	mu               sync.Mutex
	conns            []*connection
	endingSince      time.Time     // of the drain, or of SIGTERM; zero: none
	routedAfterDrain time.Duration // from then on, in which the front still sends new connections
	faults           []string
	clientsClosed    bool // no client connects any more
}

// closeClients ends all of its clients' connections, for good.
func (g *gatewayRecord) closeClients() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clientsClosed = true
	for _, c := range g.conns {
		c.closeByClient()
	}
}

// drainTest is one run.
type drainTest struct {
	t        *testing.T
	backends *standin.Backends
	gateways []*gatewayRecord
	done     chan struct{}
	clients  sync.WaitGroup
}

func (g *gatewayRecord) addFault(format string, a ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = append(g.faults, fmt.Sprintf(format, a...))
}

// receivesNewConnections tells whether the front still sends new connections here.
func (g *gatewayRecord) receivesNewConnections() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endingSince.IsZero() || time.Since(g.endingSince) < g.routedAfterDrain
}

// connect opens a connection; nil: the front sends none.
func (g *gatewayRecord) connect() *connection {
	if !g.receivesNewConnections() {
		return nil
	}
	conn, err := net.DialTimeout("tcp", g.env.listenAddr, waitLimit)
	if err != nil {
		return nil
	}
	c := &connection{Conn: conn}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clientsClosed {
		conn.Close()
		return nil
	}
	g.conns = append(g.conns, c)
	return c
}

// sendRequest writes a request.
func (c *connection) sendRequest(g *gatewayRecord, rng *rand.Rand) error {
	id := fmt.Sprintf("r%016x", rng.Uint64())
	timeout := minRequestTimeout + time.Duration(rng.Int64N(int64(g.maxTimeout-minRequestTimeout)))
	command := fmt.Sprintf("SVC.QUERY %016x %s c=lookup,t=wide,d=%d,units=1,spread=1,first=%d", rng.Uint64N(1<<32), id,
		timeout.Milliseconds(), g.instance)
	c.mu.Lock()
	now := time.Now()
	if deadline := now.Add(timeout); deadline.After(c.lastDeadline) {
		c.lastDeadline = deadline
	}
	c.unanswered, c.lastSentAt = append(c.unanswered, request{id, now, c.lastDeadline}), now
	c.mu.Unlock()
	_, err := c.Write(encode(command))
	return err
}

// readAnswers reads answers until the connection ends, and holds each to the request that it answers.
func (c *connection) readAnswers(g *gatewayRecord, onAnswer func()) {
	for r := bufio.NewReader(c.Conn); ; {
		reply, err := standin.ReadReply(r)
		c.mu.Lock()
		if err != nil {
			c.closed = true
			if !c.closedByClient && !errors.Is(err, io.EOF) && len(c.unanswered) == 0 {
				g.addFault("a connection that was owed nothing ended with %v", err)
			}
			c.mu.Unlock()
			return
		}
		if len(c.unanswered) > 0 {
			answered := c.unanswered[0]
			c.unanswered, c.lastAnsweredAt = c.unanswered[1:], time.Now()
			if late := time.Since(answered.deadline); late > answerTolerance+schedulingSlack {
				g.addFault("request %s was answered %v after its time", answered.id, late)
			}
			if reply.Kind == '$' && reply.Text != answered.id {
				g.addFault("request %s was served with %q", answered.id, reply.Text)
			}
		}
		c.mu.Unlock()
		onAnswer()
	}
}

// closeByClient closes the connection for the client's own reasons.
func (c *connection) closeByClient() {
	c.mu.Lock()
	c.closedByClient, c.closed = true, true
	c.mu.Unlock()
	c.Close()
}

// checkTerm tells why the rule forbids that the connection is open at that time, if it does.
func (c *connection) checkTerm(at time.Time) (reason string, violated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
	case len(c.unanswered) == 0 && at.Sub(c.lastAnsweredAt) > schedulingSlack:
		return "idle", true
	case len(c.unanswered) > 0 && at.Sub(c.lastSentAt) < recentRequestAge:
		return fmt.Sprintf("with a request of %v before", at.Sub(c.lastSentAt).Round(time.Millisecond)), true
	}
	return "", false
}

// behaviour is what one kind of client does with one connection, until that ends.
type behaviour func(d *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand)

// A client that asks again the moment it is answered.
func requestContinuously(_ *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	c.sendRequest(g, rng)
	c.readAnswers(g, func() { c.sendRequest(g, rng) })
}

// A client that writes many requests without waiting for answers, all the time.
func pipelineRequests(d *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	d.clients.Go(func() {
		tick := time.NewTicker(50 * time.Millisecond) // fewer are out at once than the gateway takes of one client
		defer tick.Stop()
		for {
			select {
			case <-d.done:
				return
			case <-tick.C:
			}
			if c.sendRequest(g, rng) != nil {
				return
			}
		}
	})
	c.readAnswers(g, func() {})
}

// A client that connects and says nothing.
func sendNothing(_ *drainTest, g *gatewayRecord, c *connection, _ *rand.Rand) {
	c.readAnswers(g, func() {})
}

// A client that asks once and keeps its connection.
func requestOnce(_ *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	c.sendRequest(g, rng)
	c.readAnswers(g, func() {})
}

// A client that writes a command a byte at a time, and never all of it.
func trickleCommand(d *drainTest, g *gatewayRecord, c *connection, _ *rand.Rand) {
	d.clients.Go(func() {
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		_, err := c.Write([]byte("*2\r\n$4\r\nPING\r\n$9000\r\n"))
		for err == nil {
			select {
			case <-d.done:
				return
			case <-tick.C:
				_, err = c.Write([]byte("x"))
			}
		}
	})
	// Its error is an answer to nothing that it wrote whole.
	c.readAnswers(g, func() {})
}

// A client that asks and does not wait for the answer.
func requestAndDisconnect(d *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	c.sendRequest(g, rng)
	d.clients.Go(func() { c.readAnswers(g, func() {}) })
	time.Sleep(time.Duration(rng.Int64N(int64(100 * time.Millisecond)))) // its patience
	c.closeByClient()
}

// runClient has a client behave so on one connection after another.
func (d *drainTest) runClient(g *gatewayRecord, behave behaviour, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 4))
	d.clients.Go(func() {
		for {
			select {
			case <-d.done:
				return
			default:
			}
			c := g.connect()
			if c == nil {
				return
			}
			behave(d, g, c, rng)
			c.Close()
		}
	})
}

// drain drains a gateway at its moment, and judges it at the end of its term.
func (d *drainTest) drain(g *gatewayRecord, drainAt time.Time) {
	waitUntil(drainAt)
	g.mu.Lock()
	g.endingSince = time.Now()
	drainedAt := g.endingSince
	g.mu.Unlock()
	if answer := adminCall(d.t, g.env.adminAddr, "evacuate"); answer != "YES" {
		g.addFault("evacuate: %q", answer)
	}
	end := drainedAt.Add(drainTerm)
	waitUntil(end)
	g.mu.Lock()
	conns := g.conns
	g.mu.Unlock()
	suspected := map[*connection]string{}
	for _, c := range conns {
		if reason, violated := c.checkTerm(end); violated {
			suspected[c] = reason
		}
	}
	// The test's own machine may be late to see an end that the gateway has made.
	waitUntil(end.Add(schedulingSlack))
	for c, reason := range suspected {
		c.mu.Lock()
		ended := c.closed
		c.mu.Unlock()
		if !ended {
			g.addFault("held %v after the call: %s", drainTerm, reason)
		}
	}
}

// deliveredRequests are the requests that have come to a server.
func (d *drainTest) deliveredRequests() map[string]bool {
	delivered := map[string]bool{}
	for _, c := range d.backends.Commands() {
		delivered[c.ID] = true
	}
	return delivered
}

// checkLostRequests tells of requests that a server has had and whose connection was ended without their answer.
func (d *drainTest) checkLostRequests() {
	delivered := d.deliveredRequests()
	for _, g := range d.gateways {
		g.mu.Lock()
		conns := g.conns
		g.mu.Unlock()
		for _, c := range conns {
			c.mu.Lock()
			for _, r := range c.unanswered {
				if c.closed && !c.closedByClient && delivered[r.id] {
					g.addFault("request %s was sent on, and its connection ended without an answer", r.id)
				}
				if !c.closed && time.Since(r.deadline) > answerTolerance+schedulingSlack {
					g.addFault("request %s has no answer %v after its time", r.id, time.Since(r.deadline))
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
			backends, err := standin.NewBackends(6, true, randomHangs(seed))
			d := &drainTest{t: t, backends: closeAtCleanup(t, backends, err), done: make(chan struct{})}
			d.start(seed)
			var drains sync.WaitGroup
			begin := time.Now()
			for _, instance := range rng.Perm(drainGateways)[:2+rng.IntN(2)] {
				drainAt := begin.Add(300*time.Millisecond + time.Duration(rng.Int64N(int64(time.Second))))
				drains.Go(func() { d.drain(d.gateways[instance], drainAt) })
			}
			drains.Wait()
			d.checkLostRequests()
			close(d.done)
			for _, g := range d.gateways {
				g.closeClients()
			}
			d.clients.Wait()
			for _, g := range d.gateways {
				if len(g.faults) > 0 {
					t.Errorf("gateway %d, drained: %v, %d connections: %d faults:\n%s", g.instance, !g.endingSince.IsZero(), len(g.conns),
						len(g.faults), strings.Join(g.faults[:min(len(g.faults), 8)], "\n"))
				}
			}
		})
	}
}

// randomHangs is a script by which some requests hang, and some are slow.
func randomHangs(seed uint64) standin.Script {
	type step = struct {
		Weight float64
		Delay  time.Duration
	}
	fast := standin.Weighted(seed, map[standin.Behaviour]step{standin.Serve: {5, 40 * time.Millisecond}, standin.Stall: {1, 0},
		standin.Fail: {0.3, 20 * time.Millisecond}})
	rng := rand.New(rand.NewPCG(seed, 3))
	return func(c *standin.Command) standin.Step {
		if rng.IntN(8) == 0 {
			return standin.Step{Behaviour: standin.Serve, Delay: time.Duration(rng.Int64N(int64(maxRequestTimeout)))}
		}
		return fast(c)
	}
}

// start starts the gateways, and the clients of each.
func (d *drainTest) start(seed uint64) {
	for instance := range drainGateways {
		env := newEnvironment(d.t)
		env.instance = instance
		env.overrides = append(env.overrides, fmt.Sprintf(`{"settings":{"NInstances":%d}}`, drainGateways))
		var members []string
		for n, l := range d.backends.Nodes {
			members = append(members, standin.Member(fmt.Sprintf("s-%08x", n+1), l.Addr(), "up"))
		}
		env.discovery.Set(standin.Members(members...))
		env.start("serve")
		d.gateways = append(d.gateways, &gatewayRecord{env: env, instance: instance, maxTimeout: maxRequestTimeout, routedAfterDrain: routedAfterDrain})
	}
	for i, g := range d.gateways {
		for k, behave := range []behaviour{requestContinuously, requestContinuously, requestContinuously, requestContinuously, requestContinuously, requestContinuously, pipelineRequests, sendNothing, requestOnce, trickleCommand,
			requestAndDisconnect} {
			d.runClient(g, behave, seed<<16+uint64(i<<8+k))
		}
	}
}
