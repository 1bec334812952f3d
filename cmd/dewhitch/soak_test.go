package main_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dewhitch/internal/standin"
	"dewhitch/internal/standin/hostile"
)

// Flags for more seeds than a usual run has: go test ./cmd/dewhitch -run TestSoak -soak.seeds 60 -soak.from 1000 -timeout 40m
var (
	soakSeeds = flag.Int("soak.seeds", 9, "runs of TestSoak")
	soakFrom  = flag.Uint64("soak.from", 42, "the first seed")
)

// The sizes and times of a run of the soak.
const (
	soakGateways        = 2
	soakNodes           = 8
	soakDuration        = 7 * time.Second        // time in which signals are sent and servers start to drain
	soakClients         = 8                      // number of clients of each gateway that send one request after another
	crowdSize           = 60                     // number of idle connections to each gateway in runs with a crowd
	drainGrace          = 550 * time.Millisecond // time after the announcement in which a draining server may get requests
	stallDuration       = 150 * time.Millisecond // length of a stop, which may fall between reading the clock and acting
	answerRequiredAfter = 700 * time.Millisecond // requests sent later than this after SIGTERM are lost if unanswered at SIGKILL
	soakSlack           = 250 * time.Millisecond // allowance for scheduling delays of the machine that runs the test
)

// soakRun is one run of TestSoak: gateways that receive one signal after another, and servers that drain.
type soakRun struct {
	*drainTest
	seed         uint64
	rng          *rand.Rand // source of the run's parameters
	servers      int
	idleCrowd    bool
	throttled    bool          // true if the gateways run for only a part of the time
	maxDeadline  time.Duration // deadline of the requests' class, and the longest time that a client waits
	fullLists    bool          // true if discovery sends changes as full lists
	hostile      hostile.Kind  // kind of the hostile clients that each gateway has; zero if there are none
	flood        hostile.Flood // kind of the flooding clients of each gateway
	memoryMB     int           // memory of each gateway in MiB; 0 if it is not limited further
	floodClients int           // number of these

	mu           sync.Mutex
	drainedNodes map[int]time.Time // time at which all gateways had been notified, by draining node
}

// newSoakRun draws the parameters of a run from its seed, and starts its backends.
func newSoakRun(t *testing.T, seed uint64) *soakRun {
	s := &soakRun{seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), servers: soakNodes, drainedNodes: map[int]time.Time{}}
	s.idleCrowd = seed%2 == 1
	if seed%4 >= 2 {
		s.servers = maxServers
	}
	s.fullLists, s.throttled = s.rng.IntN(2) == 0, s.rng.IntN(3) == 0
	s.maxDeadline = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}[s.rng.IntN(4)]
	backends, err := standin.NewBackends(soakNodes, true, randomHangs(seed))
	s.drainTest = &drainTest{t: t, backends: closeAtCleanup(t, backends, err), done: make(chan struct{})}
	return s
}

// String returns the parameters of the run, which name the subtest.
func (s *soakRun) String() string {
	return fmt.Sprintf("seed %d: %d servers, crowd %v, longest deadline %v, full lists %v, a part of a core %v", s.seed, s.servers,
		s.idleCrowd, s.maxDeadline, s.fullLists, s.throttled)
}

// members returns the endpoint list, in which the servers of the draining nodes are in the phase draining.
func (s *soakRun) members() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := make([]string, s.servers)
	for i := range members {
		phase := "up"
		if _, draining := s.drainedNodes[i%soakNodes]; draining {
			phase = "draining"
		}
		members[i] = standin.Member(fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), s.backends.Nodes[i%soakNodes].Addr(), phase)
	}
	return "[\n  " + strings.Join(members, ",\n  ") + "\n]"
}

// start starts a gateway's process, or the one that replaces it.
func (s *soakRun) start(g *gatewayRecord) *process {
	p := g.env.start("serve")
	if s.memoryMB > 0 {
		s.watchMemory(g, p)
	}
	if s.throttled {
		s.clients.Go(func() { s.throttle(p) })
	}
	return p
}

// The lengths of the slices in which a throttled process alternately runs and is stopped.
const (
	runSlice  = 8 * time.Millisecond
	stopSlice = 12 * time.Millisecond
)

// throttle stops and continues a process in turn until the process ends or the run is done.
func (s *soakRun) throttle(p *process) {
	for {
		for _, step := range []struct {
			signal syscall.Signal
			length time.Duration
		}{{syscall.SIGSTOP, stopSlice}, {syscall.SIGCONT, runSlice}} {
			if p.cmd.Process.Signal(step.signal) != nil {
				return
			}
			time.Sleep(step.length)
		}
		select {
		case <-s.done:
			return
		default:
		}
	}
}

// newGateway returns a gateway with its environment. It starts no process.
func (s *soakRun) newGateway(number int) *gatewayRecord {
	env := newEnvironment(s.t)
	env.instance = number
	env.overrides = append(env.overrides, s.settings(s.maxDeadline))
	if s.memoryMB > 0 {
		env.overrides = append(env.overrides, fmt.Sprintf(`{"limits": {"memory_mb": %d}}`, s.memoryMB))
		env.withoutLedger = true
	}
	env.discovery.SetCompleteUpdates(s.fullLists)
	env.discovery.Set(s.members())
	return &gatewayRecord{env: env, instance: number, maxTimeout: s.maxDeadline, routedAfterDrain: 400 * time.Millisecond}
}

// settings returns overrides of the configuration, whose only class has the given deadline.
func (s *soakRun) settings(deadline time.Duration) string {
	return fmt.Sprintf(`{"limits":{"sockets":384},"settings":{"NInstances":%d,"Caps":{"ConnectTimeout":250000000},"RequestClasses":[
		{"Name":"lookup","Aim":%d,"Deadline":%d,"Effect":"safe","Points":1}]}}`, soakGateways, deadline/2, deadline)
}

// drainNode sets the servers of a node to drain in the lists of all gateways.
func (s *soakRun) drainNode(node int) {
	s.mu.Lock()
	s.drainedNodes[node] = time.Now().Add(time.Hour) // not notified yet
	s.mu.Unlock()
	list := s.members()
	for _, g := range s.gateways {
		g.env.discovery.Set(list)
	}
	s.mu.Lock()
	s.drainedNodes[node] = time.Now()
	s.mu.Unlock()
}

// drainNodes sets three nodes to drain, each at a random time in its part of the run.
func (s *soakRun) drainNodes(startedAt time.Time, rng *rand.Rand) {
	for n, node := range rng.Perm(soakNodes)[:3] {
		waitUntil(startedAt.Add(time.Duration(n+1)*soakDuration/5 + time.Duration(rng.Int64N(int64(soakDuration/10)))))
		s.drainNode(node)
	}
}

// sendSignals sends a gateway one signal after another: reloads, stops of stallDuration and drains, and finally SIGTERM, followed
// by SIGKILL as early as the platform may send it. Then it starts a new process in its place.
func (s *soakRun) sendSignals(g *gatewayRecord, p *process, startedAt time.Time, rng *rand.Rand) {
	send := func(signal syscall.Signal) { p.cmd.Process.Signal(signal) }
	if rng.IntN(3) == 0 {
		s.drainUntilTimeLimit(g)
	}
	for range 2 + rng.IntN(4) {
		time.Sleep(time.Duration(rng.Int64N(int64(soakDuration / 8))))
		switch rng.IntN(3) {
		case 0:
			send(syscall.SIGHUP)
		case 1:
			send(syscall.SIGSTOP)
			time.Sleep(stallDuration)
			send(syscall.SIGCONT)
		case 2:
			adminCall(s.t, g.env.adminAddr, "evacuate")
			time.Sleep(time.Duration(rng.Int64N(int64(300 * time.Millisecond))))
			adminCall(s.t, g.env.adminAddr, "activate")
		}
	}
	waitUntil(startedAt.Add(soakDuration/2 + time.Duration(rng.Int64N(int64(soakDuration/4)))))
	s.terminate(g, p, rng)
	s.start(g)
	g.mu.Lock()
	g.endingSince = time.Time{}
	g.mu.Unlock()
	s.startClients(g, 1)
}

// drainUntilTimeLimit drains a gateway, checks its connections at the time limit, and puts it into service again.
func (s *soakRun) drainUntilTimeLimit(g *gatewayRecord) {
	s.drain(g, time.Now().Add(drainTimeLimit/20))
	adminCall(s.t, g.env.adminAddr, "activate")
	g.mu.Lock()
	g.endingSince = time.Time{}
	g.mu.Unlock()
	s.startClients(g, 2)
}

// terminate sends SIGTERM, in some runs with a drain before it or a stop after it, and SIGKILL as early as the platform may send
// it. It reports the connections that are open at SIGKILL.
func (s *soakRun) terminate(g *gatewayRecord, p *process, rng *rand.Rand) {
	if rng.IntN(3) == 0 {
		adminCall(s.t, g.env.adminAddr, "evacuate")
	}
	g.mu.Lock()
	g.endingSince = time.Now()
	signalledAt := g.endingSince
	g.mu.Unlock()
	p.cmd.Process.Signal(syscall.SIGTERM)
	kill := signalledAt.Add(min(s.maxDeadline, maxCountedDeadline) + killMargin)
	if rng.IntN(2) == 0 { // the process is stopped for a while at a random time before the kill
		stallAt := time.Duration(rng.Int64N(int64(kill.Sub(signalledAt) - stallDuration)))
		waitUntil(signalledAt.Add(stallAt))
		p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(stallDuration)
		p.cmd.Process.Signal(syscall.SIGCONT)
	}
	waitUntil(kill)
	open := openPorts(g.env.listenAddr)
	p.cmd.Process.Kill()
	if err := p.wait(); err != nil && !strings.Contains(err.Error(), "killed") {
		g.addFault("the process ended with %v\n%s", err, p.log())
	}
	g.mu.Lock()
	conns := g.conns
	g.mu.Unlock()
	for _, c := range conns {
		s.checkAtKill(g, c, signalledAt, open)
	}
}

// checkAtKill reports a fault if the gateway had the connection open at SIGKILL, with the number of requests that were lost with
// it.
func (s *soakRun) checkAtKill(g *gatewayRecord, c *connection, signalledAt time.Time, open map[int]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !open[c.LocalAddr().(*net.TCPAddr).Port] || c.closedByClient {
		return
	}
	lost := 0
	for _, r := range c.unanswered {
		if r.sentAt.Sub(signalledAt) > answerRequiredAfter {
			lost++
		}
	}
	g.addFault("a connection was open at SIGKILL, %v after SIGTERM, with %d requests unanswered, %d of them lost",
		min(s.maxDeadline, maxCountedDeadline)+killMargin,
		len(c.unanswered), lost)
}

// openPorts returns the client-side ports of the connections to addr that the gateway has not closed, read from /proc/net/tcp.
func openPorts(addr string) map[int]bool {
	const localField, remoteField, stateField = 1, 2, 3
	const established, closeWait = "01", "08"
	host, port, _ := net.SplitHostPort(addr)
	n, _ := strconv.Atoi(port)
	ip := net.ParseIP(host).To4()
	local := fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], n)
	table, _ := os.ReadFile("/proc/net/tcp")
	open := map[int]bool{}
	for line := range strings.SplitSeq(string(table), "\n") {
		f := strings.Fields(line)
		if len(f) <= stateField || f[localField] != local || f[stateField] != established && f[stateField] != closeWait {
			continue
		}
		_, remote, _ := strings.Cut(f[remoteField], ":")
		p, _ := strconv.ParseInt(remote, 16, 32)
		open[int(p)] = true
	}
	return open
}

// startClients starts the clients of one incarnation of a gateway.
func (s *soakRun) startClients(g *gatewayRecord, incarnation uint64) {
	behaviours := []behaviour{pipelineRequests, pipelineRequests, sendNothing, requestOnce, trickleCommand, requestAndDisconnect}
	for range soakClients {
		behaviours = append(behaviours, requestWithPauses)
	}
	if s.idleCrowd {
		for range crowdSize {
			behaviours = append(behaviours, requestOnce)
		}
	}
	for k, behave := range behaviours {
		s.runClient(g, behave, s.seed<<20+incarnation<<16+uint64(g.instance<<8+k))
	}
}

// requestWithPauses sends the next request up to 8 ms after the previous one is answered.
func requestWithPauses(_ *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	c.sendRequest(g, rng)
	c.readAnswers(g, func() {
		time.Sleep(time.Duration(rng.Int64N(int64(8 * time.Millisecond))))
		c.sendRequest(g, rng)
	})
}

// checkDrainedNodes reports requests that reached a server more than drainGrace after every gateway was notified that it drains.
func (s *soakRun) checkDrainedNodes() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.backends.Commands() {
		if notifiedAt, draining := s.drainedNodes[c.Backend]; draining && c.At.Sub(notifiedAt) > drainGrace+soakSlack {
			s.gateways[0].addFault("request %s reached a server of node %d %v after the watch event that the server drains", c.ID, c.Backend,
				c.At.Sub(notifiedAt))
		}
	}
}

// TestSoak guards against requests that are lost, answered late or sent to a draining server. Gateways are drained, stopped,
// reloaded, terminated and killed as early as the platform may do so, one signal after another. Clients of every behaviour are
// connected meanwhile, some servers hang and some drain.
func TestSoak(t *testing.T) {
	for seed := range uint64(*soakSeeds) {
		s := newSoakRun(t, *soakFrom+seed)
		t.Run(s.String(), func(t *testing.T) {
			s.t = t
			s.execute()
			s.reportFaults()
		})
	}
}

// reportFaults fails the test with the first faults of each gateway.
func (s *soakRun) reportFaults() {
	for _, g := range s.gateways {
		if len(g.faults) > 0 {
			s.t.Errorf("gateway %d, %d connections: %d faults:\n%s", g.instance, len(g.conns), len(g.faults),
				strings.Join(g.faults[:min(len(g.faults), 8)], "\n"))
		}
	}
}

// execute carries out the run: it starts the gateways and clients, sends the signals, and checks the requests at the end.
func (s *soakRun) execute() {
	var running []*process
	for i := range soakGateways {
		g := s.newGateway(i)
		s.gateways = append(s.gateways, g)
		running = append(running, s.start(g))
	}
	for _, g := range s.gateways {
		s.startClients(g, 0)
		s.startHostileClients(g)
	}
	startedAt := time.Now()
	var events sync.WaitGroup
	for i, g := range s.gateways {
		rng := rand.New(rand.NewPCG(s.seed, uint64(20+i)))
		events.Go(func() { s.sendSignals(g, running[i], startedAt, rng) })
	}
	events.Go(func() { s.drainNodes(startedAt, rand.New(rand.NewPCG(s.seed, 19))) })
	events.Wait()
	waitUntil(startedAt.Add(soakDuration))
	s.checkLostRequests()
	s.checkDrainedNodes()
	close(s.done)
	for _, g := range s.gateways {
		g.closeClients()
	}
	s.clients.Wait()
}
