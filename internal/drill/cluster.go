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

// processTimeout bounds the time that a process takes to start or to exit.
const processTimeout = 30 * time.Second

// cluster holds all parts of a running drill. The fields above the mutex are set by open, before other goroutines use
// them; Run sets startedAt again when the load starts.
type cluster struct {
	*Scenario
	Options
	startedAt      time.Time // start of the load
	net            *link.Net
	backends       *standin.Backends
	counter        *standin.Counter
	registry       *zookeeper.Server // nil if members find one another by seeds
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
	rng            *rand.Rand // draws for the server models; guarded by the backends' lock
	stop           context.CancelFunc
	background     sync.WaitGroup

	mu            sync.Mutex
	draining      map[string]bool // whether discovery lists a server as draining, by name
	timeline      []TimelineEvent
	maintained    []MachineMaintenance // machines whose maintenance is complete
	workRequested int                  // number of machines that maintenance was requested for
	restarts      []serverRestart      // restarts of servers, each followed by slow start
}

// TimelineEvent is one entry of a drill's timeline.
type TimelineEvent struct {
	At   float64 `json:"at"` // seconds since the start of the load
	Text string  `json:"what"`
}

// record adds an entry to the timeline.
func (c *cluster) record(format string, a ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timeline = append(c.timeline, TimelineEvent{time.Since(c.startedAt).Seconds(), fmt.Sprintf(format, a...)})
}

// rate returns the load in requests per second.
func (c *cluster) rate() float64 {
	if c.Rate > 0 {
		return c.Rate
	}
	return c.Load * float64(len(c.Zones)*c.Servers*serverCores) / meanWork.Seconds()
}

// coordinated reports whether the processes form a fleet.
func (c *cluster) coordinated() bool { return c.Coordinated && !c.Uncoordinated && !c.AnnounceFaults }

// lengthOver reports whether the load has run for the scenario's length.
func (c *cluster) lengthOver() bool { return time.Since(c.startedAt) > c.Length }

// server returns the server of a name, or nil if there is none.
func (c *cluster) server(name string) *server { return c.serversByName[name] }

// gateway returns the gateway of a name, or nil if there is none.
func (c *cluster) gateway(name string) *gateway { return c.gatewaysByName[name] }

// resolveNames returns the names of the processes and servers that a target refers to now; the leader may change over time.
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

// close kills all processes and closes the stand-ins. It may be called after open has failed.
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
	for _, g := range c.gateways { // background goroutines may have restarted a process since
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

// tail returns the last 2000 bytes of a text.
func tail(s string) string {
	const size = 2000 // bytes
	return s[max(0, len(s)-size):]
}

// sleep waits for a duration, or until ctx ends if that is earlier.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
