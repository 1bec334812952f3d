package drill

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dewhitch/internal/standin"
	"dewhitch/internal/standin/link"
)

// frontRemovalDelay is the time from a graceful shutdown to the gateway's removal from rotation.
const frontRemovalDelay = 300 * time.Millisecond

// gateway is one process of the program.
type gateway struct {
	standin.Process
	name            string
	zone            string
	number          int
	fleetAddress    string // of the fleet's protocol
	operatorAddress string // of the operators' listener
	adminAddress    string // of the platform's admin commands
	discovery       *standin.Discovery
	serverLinks     []*link.Link // by server
	inRotation      atomic.Bool  // the clients' front sends it requests

	mu             sync.Mutex
	faults         []interval // when the script had it ended, stopped or shutting down
	stopExpected   bool       // the script ended it
	restartPlanned bool       // and starts it again
	cpu            time.Duration
}

// interval is a stretch of time; a zero end: it goes on.
type interval struct{ from, to time.Time }

// beginFault records that the script disturbs the gateway from now on, until the returned function is called.
func (g *gateway) beginFault() (end func()) {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := len(g.faults)
	g.faults = append(g.faults, interval{from: time.Now()})
	return func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.faults[i].to = time.Now()
	}
}

// hadFault tells whether the script disturbed the gateway at some time between two.
func (g *gateway) hadFault(from, to time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.faults {
		if s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// isRecovering tells whether the script's last fault goes on, and the process is not meant to stay ended.
func (g *gateway) isRecovering() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.restartPlanned || len(g.faults) > 0 && g.faults[len(g.faults)-1].to.IsZero() && !g.stopExpected
}

// expectStop sets whether the script wants the process to be ended.
func (g *gateway) expectStop(expected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopExpected = expected
}

// planRestart sets whether the script starts the process again. Until it serves, the drill may not end: a process that is ended
// before it handles signals counts as one that fell.
func (g *gateway) planRestart(planned bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.restartPlanned = planned
}

func (g *gateway) isStopExpected() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.stopExpected
}

// addCPU adds the processor time of a process that has ended.
func (g *gateway) addCPU() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cpu += g.Program().CPU()
}

// stallGateway stops a process for a time by a signal.
func (c *cluster) stallGateway(g *gateway, d time.Duration) {
	p := g.Program()
	if p == nil || p.Ended() {
		return
	}
	end := g.beginFault()
	p.Cmd.Process.Signal(syscall.SIGSTOP)
	c.background.Go(func() {
		time.Sleep(d)
		// Recorded first: what the process does once it runs again is counted from here.
		c.record("%s wakes", g.name)
		p.Cmd.Process.Signal(syscall.SIGCONT)
		end()
	})
}

// killGateway ends a process without a shutdown, and starts it again after a time unless that is 0.
func (c *cluster) killGateway(g *gateway, delay time.Duration, fresh bool) {
	end := g.beginFault()
	g.expectStop(true)
	g.planRestart(delay > 0)
	g.Kill()
	c.restartAfter(g, delay, fresh, end)
}

// terminateGateway shuts a process down gracefully, as a planned restart does, and starts it again after a time unless that is 0.
func (c *cluster) terminateGateway(g *gateway, delay time.Duration, fresh bool) {
	p := g.Program()
	if p == nil || p.Ended() {
		return
	}
	g.expectStop(true)
	g.planRestart(delay > 0)
	p.Cmd.Process.Signal(syscall.SIGTERM)
	c.background.Go(func() {
		time.Sleep(frontRemovalDelay)
		g.inRotation.Store(false)
		if err := g.Process.AwaitExit(processTimeout); err != nil {
			g.planRestart(false)
			c.checker.report(time.Now(), ruleUnexpectedExit, "%v", err)
			return
		}
		end := g.beginFault()
		c.restartAfter(g, max(0, delay-frontRemovalDelay), fresh, end)
	})
}

// restartAfter starts a process that has ended after a time; 0: not at all. fresh: without its files. end is called once it serves.
func (c *cluster) restartAfter(g *gateway, delay time.Duration, fresh bool, end func()) {
	g.addCPU()
	if delay == 0 {
		g.planRestart(false)
		return
	}
	c.background.Go(func() {
		defer g.planRestart(false)
		time.Sleep(delay)
		if fresh {
			g.RemoveState()
		}
		if err := g.Start(processTimeout); err != nil {
			c.checker.report(time.Now(), ruleUnexpectedExit, "%v", err)
			return
		}
		g.expectStop(false)
		c.record("%s is back", g.name)
		end()
	})
}

// expireSessions ends all sessions at the registry, and with them the members' entries.
func (c *cluster) expireSessions() {
	for _, g := range c.gateways {
		c.registry.Expire(c.registry.Owner("/dewhitch/members/drill/" + g.name))
	}
}
