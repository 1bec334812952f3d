package drill

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dewhitch/internal/standin"
	"dewhitch/internal/standin/link"
)

// frontRemovalDelay is the time between the start of a graceful shutdown and the gateway's removal from rotation.
const frontRemovalDelay = 300 * time.Millisecond

// gateway is one gateway of the drill: a process of the program, which the scenario may restart.
type gateway struct {
	standin.Process
	name            string
	zone            string
	number          int
	fleetAddress    string // address of the fleet's protocol
	operatorAddress string // address of the operators' listener
	adminAddress    string // address of the platform's admin commands
	discovery       *standin.Discovery
	serverLinks     []*link.Link // link to each server, by the server's index
	inRotation      atomic.Bool  // true while clients send requests to the gateway

	mu             sync.Mutex
	faults         []interval    // times in which the scenario had killed, stalled or restarted the process
	stopExpected   bool          // true if the scenario ended the process
	restartPlanned bool          // true if the scenario starts the process again
	cpu            time.Duration // processor time of the processes that have exited
}

// interval is a time interval. A zero end means that it is still open.
type interval struct{ from, to time.Time }

// beginFault records the start of a fault that the scenario injects into the gateway. The returned function records its end.
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

// hadFault reports whether the gateway had a fault of the scenario at some time between from and to.
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

// isRecovering reports whether the gateway is due to serve again: a restart is planned, or a fault is open and the scenario did
// not end the process.
func (g *gateway) isRecovering() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.restartPlanned || len(g.faults) > 0 && g.faults[len(g.faults)-1].to.IsZero() && !g.stopExpected
}

// expectStop sets whether the scenario has ended the process, so that its exit is expected.
func (g *gateway) expectStop(expected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stopExpected = expected
}

// planRestart sets whether the scenario starts the process again. The drill does not end before the process serves, as a process
// that is terminated before it handles signals would count as one that exited unexpectedly.
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

// addCPU adds the processor time of the current process, which has exited.
func (g *gateway) addCPU() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cpu += g.Program().CPU()
}

// stallGateway suspends a process for a time with SIGSTOP.
func (c *cluster) stallGateway(g *gateway, d time.Duration) {
	p := g.Program()
	if p == nil || p.Ended() {
		return
	}
	end := g.beginFault()
	p.Cmd.Process.Signal(syscall.SIGSTOP)
	c.background.Go(func() {
		time.Sleep(d)
		// The entry precedes SIGCONT, so that the times of what the process does next are counted from it.
		c.record("%s resumes", g.name)
		p.Cmd.Process.Signal(syscall.SIGCONT)
		end()
	})
}

// killGateway kills a process, and starts it again after delay unless that is 0.
func (c *cluster) killGateway(g *gateway, delay time.Duration, fresh bool) {
	end := g.beginFault()
	g.expectStop(true)
	g.planRestart(delay > 0)
	g.Kill()
	c.restartAfter(g, delay, fresh, end)
}

// terminateGateway shuts a process down gracefully, as in a planned restart, and starts it again after delay unless that is 0.
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

// restartAfter restarts an exited process after delay, without its files if fresh is true, and calls end once the process serves.
// If delay is 0, the process is not restarted and end is not called.
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
		c.record("%s serves again", g.name)
		end()
	})
}

// expireSessions expires the members' sessions at the registry, which removes their entries.
func (c *cluster) expireSessions() {
	for _, g := range c.gateways {
		c.registry.Expire(c.registry.Owner("/dewhitch/members/drill/" + g.name))
	}
}
