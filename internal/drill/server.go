package drill

import (
	"time"

	"dewhitch/internal/standin"
)

// Parameters of the model of every server.
const (
	serverCores = 3                     // cores of a server
	serverQueue = 60                    // requests that may wait in the queue of a server
	meanWork    = 50 * time.Millisecond // mean time that a request takes on one core
)

// server is one simulated server.
type server struct {
	cluster *cluster
	name    string
	index   int          // index of the server in the backends
	model   *serverModel // guarded by the backends' lock
	down    bool         // true if the server was stopped or failed under overload; changed with the backends' lock held
}

// zone returns the letter of the server's zone.
func (s *server) zone() string { return s.name[len("server-") : len("server-")+1] }

// update calls f with the server's model while the backends' lock is held.
func (s *server) update(f func(*serverModel)) { s.cluster.backends.WithLock(func() { f(s.model) }) }

// stop stops the server: open connections are reset, and new ones are refused.
func (s *server) stop() {
	s.update(func(*serverModel) { s.down = true })
	s.cluster.backends.Stop(s.index)
}

// recover makes the server healthy. A server that is down restarts in slow start, and discovery publishes the time of its start.
func (s *server) recover() {
	if !s.down {
		s.update(func(m *serverModel) {
			m.mode = healthy
			m.slowFactor = 1
		})
		return
	}
	at := time.Now()
	s.update(func(m *serverModel) {
		m.restart(at)
		s.down = false
	})
	s.cluster.mu.Lock()
	s.cluster.restarts = append(s.cluster.restarts, serverRestart{s, at})
	s.cluster.mu.Unlock()
	if err := s.cluster.backends.Restart(s.index); err != nil {
		s.cluster.checker.report(time.Now(), ruleUnexpectedExit, "%s could not restart: %v", s.name, err)
	}
	s.cluster.publishEndpoints()
}

// serveCommand decides what a server does with a command. The backends call it with their lock held.
func (c *cluster) serveCommand(command *standin.Command) standin.Step {
	return c.servers[command.Backend].model.accept(command.At, command.ID, c.rng.Float64())
}

// observeCommand passes a command to the rule checker. The backends call it with their lock held, and call the returned function
// when the command ends.
func (c *cluster) observeCommand(command *standin.Command) func() {
	s := c.servers[command.Backend]
	a := &arrival{
		arrivedAt:  command.At,
		remote:     command.RemoteAddr,
		link:       noLink{},
		server:     s.name,
		mayHaveRun: command.Behaviour != standin.Busy,
		key:        command.Key,
	}
	for _, g := range c.gateways {
		if l := g.serverLinks[s.index]; l.HasConn(command.RemoteAddr) {
			a.gateway = g.name
			a.link = l
			a.sentAt = l.CommandSentAt(command.RemoteAddr)
			break
		}
	}
	overloaded := !s.model.failedAt.IsZero()
	c.checker.commandArrived(command, a)
	if overloaded && !s.down {
		s.down = true
		c.checker.report(command.At, ruleOverload, "%s failed under overload in slow start: %.1f times its capacity for %v", s.name, s.model.maxOverload, standin.OverloadSpan)
	}
	return func() { c.checker.commandEnded(a, time.Now()) }
}

// noLink stands for the link of a command whose connection goes through none of the drill's links.
type noLink struct{}

// ClosedAt returns the zero time: the connection is never closed.
func (noLink) ClosedAt(string) time.Time { return time.Time{} }

// endpointList returns discovery's list of the servers, with the addresses of one gateway's links to them.
func (c *cluster) endpointList(g *gateway) string {
	var list []string
	for _, s := range c.servers {
		phase := "up"
		if c.draining[s.name] {
			phase = "draining"
		}
		startedAt := int64(0) // Unix time in ms; 0 if the server is not in slow start
		if s.model.slowStart {
			startedAt = s.model.startedAt.UnixMilli()
		}
		list = append(list, standin.MemberIn(s.zone(), s.id(), g.serverLinks[s.index].Addr(), phase, startedAt))
	}
	return standin.Members(list...)
}

// setDraining makes discovery list a server as draining or as up, and informs the rule checker.
func (c *cluster) setDraining(name string, draining bool) {
	c.mu.Lock()
	c.draining[name] = draining
	c.mu.Unlock()
	c.publishEndpoints()
	c.checker.setDraining(name, time.Now(), draining)
}

// publishEndpoints makes every discovery service publish the current list.
func (c *cluster) publishEndpoints() {
	for _, g := range c.gateways {
		var list string
		c.backends.WithLock(func() {
			c.mu.Lock()
			list = c.endpointList(g)
			c.mu.Unlock()
		})
		g.discovery.Set(list)
	}
}
