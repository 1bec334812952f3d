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
)

// More seeds, by hand: go test ./cmd/dewhitch -run TestSoak -soak.seeds 60 -soak.from 1000 -timeout 40m
var (
	soakSeeds = flag.Int("soak.seeds", 9, "runs of TestSoak")
	soakFrom  = flag.Uint64("soak.from", 42, "the first seed")
)

// The measures of a run of the soak.
const (
	soakGateways = 2
	soakNodes    = 8
	soakTime     = 7 * time.Second // in which signals come and servers drain
	soakClients  = 8               // of each gateway, that ask all the time
	crowdSize    = 60              // idle connections, where there is a crowd
	drainGrace   = 550 * time.Millisecond
	stallTime    = 150 * time.Millisecond // that a process stands still between reading its clock and acting
	countsAfter  = 700 * time.Millisecond // SIGTERM: a request that comes later must have its answer at SIGKILL
	soakSlack    = 250 * time.Millisecond // for the machine that the test runs on
)

// soakRun is one run: gateways, servers that drain, and signals in series.
type soakRun struct {
	*drainTest
	seed      uint64
	rng       *rand.Rand // of the schedule
	servers   int
	crowd     bool
	slow      bool          // the gateways have a part of a core
	longest   time.Duration // deadline
	fullLists bool          // changes come as full lists

	mu      sync.Mutex
	drained map[int]time.Time // by node: when every gateway was notified
}

func newSoakRun(t *testing.T, seed uint64) *soakRun {
	s := &soakRun{seed: seed, rng: rand.New(rand.NewPCG(seed, 7)), servers: soakNodes, drained: map[int]time.Time{}}
	s.crowd = seed%2 == 1
	if seed%4 >= 2 {
		s.servers = maxServers
	}
	s.fullLists, s.slow = s.rng.IntN(2) == 0, s.rng.IntN(3) == 0
	s.longest = []time.Duration{500 * time.Millisecond, time.Second, 2 * time.Second, 5 * time.Second}[s.rng.IntN(4)]
	backends, err := standin.NewBackends(soakNodes, true, hangingSome(seed))
	s.drainTest = &drainTest{t: t, backends: kept(t, backends, err), over: make(chan struct{})}
	return s
}

func (s *soakRun) String() string {
	return fmt.Sprintf("seed %d: %d servers, crowd %v, longest deadline %v, full lists %v, a part of a core %v", s.seed, s.servers,
		s.crowd, s.longest, s.fullLists, s.slow)
}

// members is the list; the servers of the nodes that drain are in that phase.
func (s *soakRun) members() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	members := make([]string, s.servers)
	for i := range members {
		phase := "up"
		if _, drains := s.drained[i%soakNodes]; drains {
			phase = "draining"
		}
		members[i] = standin.Member(fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), s.backends.Nodes[i%soakNodes].Addr(), phase)
	}
	return "[\n  " + strings.Join(members, ",\n  ") + "\n]"
}

// start starts a gateway, or one that replaces it.
func (s *soakRun) start(g *gatewayRecord) *process {
	p := g.world.start("serve")
	if s.slow {
		s.clients.Go(func() { s.throttle(p) })
	}
	return p
}

// The slices in which a process that has a part of a core runs, and does not.
const (
	runSlice  = 8 * time.Millisecond
	stopSlice = 12 * time.Millisecond
)

// throttle has a process run for a part of the time, until it ends or the run is over.
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
		case <-s.over:
			return
		default:
		}
	}
}

func (s *soakRun) newGateway(number int) *gatewayRecord {
	w := newEnvironment(s.t)
	w.self = number
	w.override = append(w.override, s.settings(s.longest))
	w.discovery.SetCompleteUpdates(s.fullLists)
	w.discovery.Set(s.members())
	return &gatewayRecord{world: w, number: number, longest: s.longest, newFor: 400 * time.Millisecond}
}

// settings lays a class with that deadline over the usual ones, as the only one.
func (s *soakRun) settings(deadline time.Duration) string {
	return fmt.Sprintf(`{"limits":{"sockets":384},"settings":{"NInstances":%d,"Caps":{"ConnectTimeout":250000000},"RequestClasses":[
		{"Name":"lookup","Aim":%d,"Deadline":%d,"Effect":"safe","Points":1}]}}`, soakGateways, deadline/2, deadline)
}

// drainNode has the servers of a node drain, and tells every gateway.
func (s *soakRun) drainNode(node int) {
	s.mu.Lock()
	s.drained[node] = time.Now().Add(time.Hour) // not notified yet
	s.mu.Unlock()
	list := s.members()
	for _, g := range s.gateways {
		g.world.discovery.Set(list)
	}
	s.mu.Lock()
	s.drained[node] = time.Now()
	s.mu.Unlock()
}

// drainsNodes has some nodes drain, each at its moment.
func (s *soakRun) drainsNodes(begin time.Time, rng *rand.Rand) {
	for n, node := range rng.Perm(soakNodes)[:3] {
		waitUntil(begin.Add(time.Duration(n+1)*soakTime/5 + time.Duration(rng.Int64N(int64(soakTime/10)))))
		s.drainNode(node)
	}
}

// signals sends a gateway one signal after the other: new configurations, standstills, drains, and at last the end, with the
// kill at its earliest; a new process goes on.
func (s *soakRun) signals(g *gatewayRecord, p *process, begin time.Time, rng *rand.Rand) {
	send := func(what syscall.Signal) { p.cmd.Process.Signal(what) }
	if rng.IntN(3) == 0 {
		s.drainForTerm(g)
	}
	for range 2 + rng.IntN(4) {
		time.Sleep(time.Duration(rng.Int64N(int64(soakTime / 8))))
		switch rng.IntN(3) {
		case 0:
			send(syscall.SIGHUP)
		case 1:
			send(syscall.SIGSTOP)
			time.Sleep(stallTime)
			send(syscall.SIGCONT)
		case 2:
			adminCall(s.t, g.world.admin, "evacuate")
			time.Sleep(time.Duration(rng.Int64N(int64(300 * time.Millisecond))))
			adminCall(s.t, g.world.admin, "activate")
		}
	}
	waitUntil(begin.Add(soakTime/2 + time.Duration(rng.Int64N(int64(soakTime/4)))))
	s.end(g, p, rng)
	s.start(g)
	g.mu.Lock()
	g.called = time.Time{}
	g.mu.Unlock()
	s.clientsOf(g, 1)
}

// drainForTerm drains a gateway for the whole of the operators' term, judges what it holds then, and takes it back.
func (s *soakRun) drainForTerm(g *gatewayRecord) {
	s.drain(g, time.Now().Add(drainTerm/20))
	adminCall(s.t, g.world.admin, "activate")
	g.mu.Lock()
	g.called = time.Time{}
	g.mu.Unlock()
	s.clientsOf(g, 2)
}

// end sends SIGTERM, with a standstill or a drain beside it, and SIGKILL as early as the platform may; what is open then
// is judged.
func (s *soakRun) end(g *gatewayRecord, p *process, rng *rand.Rand) {
	if rng.IntN(3) == 0 {
		adminCall(s.t, g.world.admin, "evacuate")
	}
	g.mu.Lock()
	g.called = time.Now()
	called := g.called
	g.mu.Unlock()
	p.cmd.Process.Signal(syscall.SIGTERM)
	kill := called.Add(min(s.longest, longestCounted) + killMargin)
	if rng.IntN(2) == 0 { // it is held up at some moment on its way
		at := time.Duration(rng.Int64N(int64(kill.Sub(called) - stallTime)))
		waitUntil(called.Add(at))
		p.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(stallTime)
		p.cmd.Process.Signal(syscall.SIGCONT)
	}
	waitUntil(kill)
	open := openPorts(g.world.listen)
	p.cmd.Process.Kill()
	if err := p.wait(); err != nil && !strings.Contains(err.Error(), "killed") {
		g.fault("the process ended with %v\n%s", err, p.log())
	}
	g.mu.Lock()
	conns := g.conns
	g.mu.Unlock()
	for _, c := range conns {
		s.judgeAtKill(g, c, called, open)
	}
}

// judgeAtKill tells of what was lost with a connection that was open at SIGKILL.
func (s *soakRun) judgeAtKill(g *gatewayRecord, c *connection, called time.Time, open map[int]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !open[c.LocalAddr().(*net.TCPAddr).Port] || c.left {
		return
	}
	lost := 0
	for _, r := range c.waiting {
		if r.sent.Sub(called) > countsAfter {
			lost++
		}
	}
	g.fault("a connection was open at SIGKILL, %v after SIGTERM, with %d requests unanswered, %d of them lost",
		min(s.longest, longestCounted)+killMargin,
		len(c.waiting), lost)
}

// openPorts are the clients' ports of the connections at an address that the gateway has not ended, as the system has them.
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

// clientsOf starts the clients of a gateway in one of its lives.
func (s *soakRun) clientsOf(g *gatewayRecord, incarnation uint64) {
	all := []behaviour{pipelining, pipelining, silent, resting, trickling, leaving}
	for range soakClients {
		all = append(all, paced)
	}
	if s.crowd {
		for range crowdSize {
			all = append(all, resting)
		}
	}
	for k, does := range all {
		s.run(g, does, s.seed<<20+incarnation<<16+uint64(g.number<<8+k))
	}
}

// A client that asks again a moment after it was answered.
func paced(_ *drainTest, g *gatewayRecord, c *connection, rng *rand.Rand) {
	c.send(g, rng)
	c.receive(g, func() {
		time.Sleep(time.Duration(rng.Int64N(int64(8 * time.Millisecond))))
		c.send(g, rng)
	})
}

// judgeDrains reports requests that came to a server too long after every gateway was notified that it drains.
func (s *soakRun) judgeDrains() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.backends.Commands() {
		if notifiedAt, drains := s.drained[c.Backend]; drains && c.At.Sub(notifiedAt) > drainGrace+soakSlack {
			s.gateways[0].fault("request %s came to a server of node %d %v after the watch event that it drains", c.ID, c.Backend, c.At.Sub(notifiedAt))
		}
	}
}

// Gateways are drained, stalled, reloaded, ended and killed as early as the platform may, one signal after the
// other, while clients use every connection that is open, servers hang, and some drain. No request may be lost or answered
// late, and none may go to a server that drains.
func TestSoak(t *testing.T) {
	for seed := range uint64(*soakSeeds) {
		s := newSoakRun(t, *soakFrom+seed)
		t.Run(s.String(), func(t *testing.T) {
			s.t = t
			s.play()
			for _, g := range s.gateways {
				if len(g.faults) > 0 {
					t.Errorf("gateway %d, %d connections: %d faults:\n%s", g.number, len(g.conns), len(g.faults),
						strings.Join(g.faults[:min(len(g.faults), 8)], "\n"))
				}
			}
		})
	}
}

// play plays the run.
func (s *soakRun) play() {
	var running []*process
	for i := range soakGateways {
		g := s.newGateway(i)
		s.gateways = append(s.gateways, g)
		running = append(running, s.start(g))
	}
	for _, g := range s.gateways {
		s.clientsOf(g, 0)
	}
	begin := time.Now()
	var events sync.WaitGroup
	for i, g := range s.gateways {
		rng := rand.New(rand.NewPCG(s.seed, uint64(20+i)))
		events.Go(func() { s.signals(g, running[i], begin, rng) })
	}
	events.Go(func() { s.drainsNodes(begin, rand.New(rand.NewPCG(s.seed, 19))) })
	events.Wait()
	waitUntil(begin.Add(soakTime))
	s.lost()
	s.judgeDrains()
	close(s.over)
	for _, g := range s.gateways {
		g.leave()
	}
	s.clients.Wait()
}
