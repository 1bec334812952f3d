package drill

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"dewhitch/internal/standin"
	"dewhitch/internal/standin/link"
	"dewhitch/internal/standin/zookeeper"
)

// processTimeout bounds the start and the end of a process.
const processTimeout = 30 * time.Second

// cluster has all parts of a running drill. Fields above the mutex are set by open, before other goroutines run.
type cluster struct {
	*Scenario
	Options
	startedAt      time.Time // of the load
	net            *link.Net
	backends       *standin.Backends
	counter        *standin.Counter
	registry       *zookeeper.Server // nil: members find one another by seeds
	servers        []*server
	serversByName  map[string]*server
	gateways       []*gateway
	gatewaysByName map[string]*gateway
	checker        *ruleChecker
	fleetLog       *fleetLog
	traces         traces
	generator      *loadGenerator
	plans          []standin.Plan
	classes        []class
	rng            *rand.Rand // for the servers' models, under the backends' lock
	stop           context.CancelFunc
	background     sync.WaitGroup

	mu            sync.Mutex
	draining      map[string]bool // servers, as discovery lists them
	timeline      []Moment
	turns         []Turn          // machines that had their maintenance
	workRequested int             // machines that maintenance was requested for
	restarts      []serverRestart // servers that restarted, and are in slow start
}

// Moment is one line of the timeline.
type Moment struct {
	At   float64 `json:"at"` // seconds since the load began
	What string  `json:"what"`
}

// record adds a line to the timeline.
func (cl *cluster) record(format string, a ...any) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.timeline = append(cl.timeline, Moment{time.Since(cl.startedAt).Seconds(), fmt.Sprintf(format, a...)})
}

// rate is the load in requests a second.
func (cl *cluster) rate() float64 {
	if cl.Rate > 0 {
		return cl.Rate
	}
	return cl.Load * float64(len(cl.Zones)*cl.Servers*serverCores) / meanWork.Seconds()
}

// coordinated tells whether the processes form a fleet.
func (cl *cluster) coordinated() bool { return cl.Coordinated && !cl.Uncoordinated && !cl.Told }

// lengthOver tells whether the drill's time is over.
func (cl *cluster) lengthOver() bool { return time.Since(cl.startedAt) > cl.Length }

// server returns a server by its name, or nil.
func (cl *cluster) server(name string) *server { return cl.serversByName[name] }

// gateway returns a gateway by its name, or nil.
func (cl *cluster) gateway(name string) *gateway { return cl.gatewaysByName[name] }

// resolveNames returns the processes and servers of a target at this moment.
func (cl *cluster) resolveNames(b *scenarioBuilder, t target) []string {
	switch t.kind {
	case "leader":
		if l := cl.leader(); l != "" {
			return []string{l}
		}
		cl.record("there is no leader")
		return nil
	case "counter", "registry":
		return []string{t.kind}
	}
	gateways, servers := b.resolve(t)
	return append(gateways, servers...)
}

// close ends all processes and stand-ins. It may be called after an open that failed.
func (cl *cluster) close() {
	for _, g := range cl.gateways {
		if p := g.Program(); p != nil {
			p.Cmd.Process.Signal(syscall.SIGCONT)
			g.Kill()
		}
		if g.discovery != nil {
			g.discovery.Close()
		}
	}
	cl.background.Wait()
	for _, g := range cl.gateways { // one may have restarted meanwhile
		g.Kill()
	}
	if cl.net != nil {
		cl.net.Close()
	}
	if cl.backends != nil {
		cl.backends.Close()
	}
	if cl.counter != nil {
		cl.counter.Close()
	}
	if cl.registry != nil {
		cl.registry.Close()
	}
}

// tail returns the end of a text.
func tail(s string) string {
	const size = 2000 // bytes
	return s[max(0, len(s)-size):]
}

// wait sleeps until ctx ends at most.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
