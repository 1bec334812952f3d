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
	timeline      []TimelineEvent
	maintained    []MachineMaintenance // machines that had their maintenance
	workRequested int                  // machines that maintenance was requested for
	restarts      []serverRestart      // servers that restarted, and are in slow start
}

// TimelineEvent is one line of the timeline.
type TimelineEvent struct {
	At   float64 `json:"at"` // seconds since the load began
	Text string  `json:"what"`
}

// record adds a line to the timeline.
func (c *cluster) record(format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeline = append(c.timeline, TimelineEvent{time.Since(c.startedAt).Seconds(), fmt.Sprintf(format, a...)})
}

// rate is the load in requests a second.
func (c *cluster) rate() float64 {
	if c.Rate > 0 {
		return c.Rate
	}
	return c.Load * float64(len(c.Zones)*c.Servers*serverCores) / meanWork.Seconds()
}

// coordinated tells whether the processes form a fleet.
func (c *cluster) coordinated() bool { return c.Coordinated && !c.Uncoordinated && !c.AnnounceFaults }

// lengthOver tells whether the drill's time is over.
func (c *cluster) lengthOver() bool { return time.Since(c.startedAt) > c.Length }

// server returns a server by its name, or nil.
func (c *cluster) server(name string) *server { return c.serversByName[name] }

// gateway returns a gateway by its name, or nil.
func (c *cluster) gateway(name string) *gateway { return c.gatewaysByName[name] }

// resolveNames returns the processes and servers of a target at this moment.
func (c *cluster) resolveNames(b *scenarioBuilder, t target) []string {
	switch t.kind {
	case "leader":
		if l := c.leader(); l != "" {
			return []string{l}
		}
		c.record("there is no leader")
		return nil
	case "counter", "registry":
		return []string{t.kind}
	}
	gateways, servers := b.resolve(t)
	return append(gateways, servers...)
}

// close ends all processes and stand-ins. It may be called after an open that failed.
func (c *cluster) close() {
	for _, g := range c.gateways {
		if p := g.Program(); p != nil {
			p.Cmd.Process.Signal(syscall.SIGCONT)
			g.Kill()
		}
		if g.discovery != nil {
			g.discovery.Close()
		}
	}
	c.background.Wait()
	for _, g := range c.gateways { // one may have restarted meanwhile
		g.Kill()
	}
	if c.net != nil {
		c.net.Close()
	}
	if c.backends != nil {
		c.backends.Close()
	}
	if c.counter != nil {
		c.counter.Close()
	}
	if c.registry != nil {
		c.registry.Close()
	}
}

// tail returns the end of a text.
func tail(s string) string {
	const size = 2000 // bytes
	return s[max(0, len(s)-size):]
}

// sleep sleeps until ctx ends at most.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
