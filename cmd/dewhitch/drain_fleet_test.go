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

// The load of TestDrainsUnderLoad. A draining gateway accepts requests for 1.5 s. maxRequestTimeout is longer than recentRequestAge, and
// long enough that accepted requests can be in flight until drainTimeLimit, but no accepted request has a later deadline.
const (
	drainGateways     = 4
	drainSeeds        = 10
	minRequestTimeout = 200 * time.Millisecond
	maxRequestTimeout = 2500 * time.Millisecond
	routedAfterDrain  = 200 * time.Millisecond // time for which a drained gateway still gets new connections
	answerTolerance   = 500 * time.Millisecond // time after a request's deadline until an answer counts as missing
	schedulingSlack   = 300 * time.Millisecond // allowance for scheduling delays of the machine that runs the test
)

// connection is a client's connection to a gateway, with its unanswered requests. mu guards all fields below it.
type connection struct {
	openedAt time.Time // time after the connect
	net.Conn
	mu             sync.Mutex
	unanswered     []request // requests without an answer, in the order written
	lastDeadline   time.Time // latest deadline of the requests sent so far
	lastSentAt     time.Time // when the last byte of the last request was written
	lastAnsweredAt time.Time
	closed         bool // true once the gateway or the client has closed the connection
	closedByClient bool // true if the client closed the connection
}

// request is a request that a client has written completely.
type request struct {
	id       string
	sentAt   time.Time
	deadline time.Time // latest deadline of this request and of those before it on the connection, whose answers precede its own
}

// gatewayRecord is a gateway of the test, with every connection that was opened to it and the faults found. mu guards the fields
// below it.
type gatewayRecord struct {
	env              *environment
	instance         int
	maxTimeout       time.Duration // longest time that a client waits for an answer
	mu               sync.Mutex
	conns            []*connection
	endingSince      time.Time     // start of the drain, or time of SIGTERM; zero while the gateway is in service
	routedAfterDrain time.Duration // time after endingSince in which new connections are still routed to the gateway
	faults           []string
	clientsClosed    bool // true once no client may connect any more
}

// closeClients closes all client connections to the gateway and prevents new ones.
func (g *gatewayRecord) closeClients() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.clientsClosed = true
	for _, c := range g.conns {
		c.closeByClient()
	}
}

// drainTest is one run of TestDrainsUnderLoad or TestSoak: gateways before shared backends, and the clients' goroutines.
type drainTest struct {
	t        *testing.T
	backends *standin.Backends
	gateways []*gatewayRecord
	done     chan struct{} // closed when the clients must stop
	clients  sync.WaitGroup
}

func (g *gatewayRecord) addFault(format string, a ...any) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.faults = append(g.faults, fmt.Sprintf(format, a...))
}

// ending returns when the gateway's drain or shutdown began, relative to the time at which a connection was opened.
func (g *gatewayRecord) ending(c *connection) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.endingSince.IsZero() {
		return ""
	}
	return fmt.Sprintf("; the gateway was ending since %v after it was opened", g.endingSince.Sub(c.openedAt))
}

// receivesNewConnections returns true while the platform still routes new connections to the gateway.
func (g *gatewayRecord) receivesNewConnections() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.endingSince.IsZero() || time.Since(g.endingSince) < g.routedAfterDrain
}

// connect opens a client connection. It returns nil if the platform routes no new connections to the gateway, or if dialling
// fails.
func (g *gatewayRecord) connect() *connection {
	if !g.receivesNewConnections() {
		return nil
	}
	conn, err := net.DialTimeout("tcp", g.env.listenAddr, waitLimit)
	if err != nil {
		return nil
	}
	c := &connection{Conn: conn, openedAt: time.Now()}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.clientsClosed {
		conn.Close()
		return nil
	}
	g.conns = append(g.conns, c)
	return c
}

// sendRequest writes a request with a random customer, id and deadline, and records it as unanswered.
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

// readAnswers reads answers until the connection ends, checks each against the oldest unanswered request, and then calls
// onAnswer.
func (c *connection) readAnswers(g *gatewayRecord, onAnswer func()) {
	for r := bufio.NewReader(c.Conn); ; {
		reply, err := standin.ReadReply(r)
		c.mu.Lock()
		if err != nil {
			c.closed = true
			if !c.closedByClient && !errors.Is(err, io.EOF) && len(c.unanswered) == 0 {
				g.addFault("a connection without unanswered requests, opened %v earlier, ended with %v, expected EOF%s",
					time.Since(c.openedAt), err, g.ending(c))
			}
			c.mu.Unlock()
			return
		}
		if len(c.unanswered) > 0 {
			answered := c.unanswered[0]
			c.unanswered, c.lastAnsweredAt = c.unanswered[1:], time.Now()
			if late := time.Since(answered.deadline); late > answerTolerance+schedulingSlack {
				g.addFault("request %s, sent %v after its connection was opened and answered %v after that with %.9q, was answered %v after its deadline",
					answered.id, answered.sentAt.Sub(c.openedAt), time.Since(answered.sentAt), reply.Text, late)
			}
			if reply.Kind == '$' && reply.Text != answered.id {
				g.addFault("request %s was answered with the value %q", answered.id, reply.Text)
			}
		}
		c.mu.Unlock()
		onAnswer()
	}
}

// closeByClient closes the connection from the client's side.
func (c *connection) closeByClient() {
	c.mu.Lock()
	c.closedByClient, c.closed = true, true
	c.mu.Unlock()
	c.Close()
}

// violatesDrainLimits returns true, with the reason, if the connection is open at that time although the limits of a drain do not
// allow it: it has been idle for longer than schedulingSlack, or it has an unanswered request that is younger than
// recentRequestAge.
func (c *connection) violatesDrainLimits(at time.Time) (reason string, violated bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
	case len(c.unanswered) == 0 && at.Sub(c.lastAnsweredAt) > schedulingSlack:
		return "idle", true
	case len(c.unanswered) > 0 && at.Sub(c.lastSentAt) < recentRequestAge:
		return fmt.Sprintf("with a request sent %v earlier", at.Sub(c.lastSentAt).Round(time.Millisecond)), true
	}
	return "", false
}

// behaviour is what one kind of client does with a connection until the connection ends.
type behaviour func(d *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand)

// requestContinuously sends the next request as soon as the previous one is answered.
func requestContinuously(_ *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	c.sendRequest(g, rng)
	c.readAnswers(g, func() { c.sendRequest(g, rng) })
}

// pipelineRequests sends a request every 50 ms without waiting for answers.
func pipelineRequests(d *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	d.clients.Go(func() {
		tick := time.NewTicker(50 * time.Millisecond) // keeps fewer requests in flight than the gateway takes from one client
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

// sendNothing keeps a connection open without writing to it.
func sendNothing(_ *drainTest, g *gatewayRecord, c *connection, _ *rand.Rand) {
	c.readAnswers(g, func() {})
}

// requestOnce sends one request and keeps the connection open.
func requestOnce(_ *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	c.sendRequest(g, rng)
	c.readAnswers(g, func() {})
}

// trickleCommand writes a command byte by byte and never completes it.
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
	// The only possible answer is an error, as no complete command was written.
	c.readAnswers(g, func() {})
}

// requestAndDisconnect sends a request and closes the connection within 100 ms.
func requestAndDisconnect(d *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	c.sendRequest(g, rng)
	d.clients.Go(func() { c.readAnswers(g, func() {}) })
	time.Sleep(time.Duration(rng.Int64N(int64(100 * time.Millisecond)))) // how long the client waits for the answer
	c.closeByClient()
}

// runClient starts a client that opens one connection after another and calls behave for each. It stops at the end of the run,
// or when connect returns nil.
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

// drain drains a gateway at a given time, and checks its connections drainTimeLimit later.
func (d *drainTest) drain(g *gatewayRecord, drainAt time.Time) {
	waitUntil(drainAt)
	g.mu.Lock()
	g.endingSince = time.Now()
	drainedAt := g.endingSince
	g.mu.Unlock()
	if answer := adminCall(d.t, g.env.adminAddr, "evacuate"); answer != "YES" {
		g.addFault("evacuate is answered %q, expected YES", answer)
	}
	end := drainedAt.Add(drainTimeLimit)
	waitUntil(end)
	g.mu.Lock()
	conns := g.conns
	g.mu.Unlock()
	suspected := map[*connection]string{}
	for _, c := range conns {
		if reason, violated := c.violatesDrainLimits(end); violated {
			suspected[c] = reason
		}
	}
	// The test may see the end of a connection later than the gateway closed it.
	waitUntil(end.Add(schedulingSlack))
	for c, reason := range suspected {
		c.mu.Lock()
		ended := c.closed
		c.mu.Unlock()
		if !ended {
			g.addFault("a connection is open %v after the start of the drain: %s", drainTimeLimit, reason)
		}
	}
}

// deliveredRequests returns the ids of the requests that reached a server.
func (d *drainTest) deliveredRequests() map[string]bool {
	delivered := map[string]bool{}
	for _, c := range d.backends.Commands() {
		delivered[c.ID] = true
	}
	return delivered
}

// checkLostRequests reports requests that reached a server and whose connection the gateway closed without an answer, and
// requests that are unanswered after their deadline.
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
					g.addFault("request %s reached a server, but its connection ended without an answer", r.id)
				}
				if !c.closed && time.Since(r.deadline) > answerTolerance+schedulingSlack {
					g.addFault("request %s has no answer %v after its deadline", r.id, time.Since(r.deadline))
				}
			}
			c.mu.Unlock()
		}
	}
}

// TestDrainsUnderLoad guards against client connections that outlast the time limit of a drain, and against lost requests. Several
// gateways are under load, servers hang, and some gateways are drained at random times.
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
					t.Errorf("gateway %d (drained: %v), %d connections: %d faults:\n%s", g.instance, !g.endingSince.IsZero(), len(g.conns),
						len(g.faults), strings.Join(g.faults[:min(len(g.faults), 8)], "\n"))
				}
			}
		})
	}
}

// randomHangs returns a script by which one request in 8 is answered after a delay of up to maxRequestTimeout. Of the others,
// some hang, some fail and most are served within 40 ms.
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

// start starts the gateways and the clients of each.
func (d *drainTest) start(seed uint64) {
	for instance := range drainGateways {
		env := newEnvironment(d.t)
		env.instance = instance
		env.overrides = append(env.overrides, fmt.Sprintf(`{"settings":{"NInstances":%d}}`, drainGateways))
		var members []string
		for n, listener := range d.backends.Nodes {
			members = append(members, standin.Member(fmt.Sprintf("s-%08x", n+1), listener.Addr(), "up"))
		}
		env.discovery.Set(standin.Members(members...))
		env.start("serve")
		d.gateways = append(d.gateways, &gatewayRecord{env: env, instance: instance, maxTimeout: maxRequestTimeout,
			routedAfterDrain: routedAfterDrain})
	}
	for i, g := range d.gateways {
		for k, behave := range []behaviour{requestContinuously, requestContinuously, requestContinuously, requestContinuously, requestContinuously,
			requestContinuously, pipelineRequests, sendNothing, requestOnce, trickleCommand, requestAndDisconnect} {
			d.runClient(g, behave, seed<<16+uint64(i<<8+k))
		}
	}
}
