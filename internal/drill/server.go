package drill

import (
	"time"

	"dewhitch/internal/standin"
)

// Parameters of every server's model.
const (
	serverCores = 3
	serverQueue = 60                    // requests
	meanWork    = 50 * time.Millisecond // of a request on one core
)

// server is one modelled server.
type server struct {
	cluster *cluster
	name    string
	index   int          // of the backends
	model   *serverModel // under the backends' lock
	down    bool         // its process has ended, or the server was overloaded; changed under the same lock
}

// zone is the letter of the server's zone.
func (s *server) zone() string { return s.name[len("server-") : len("server-")+1] }

// update changes the server's model.
func (s *server) update(f func(*serverModel)) { s.cluster.backends.WithLock(func() { f(s.model) }) }

// stop ends the server's process: open connections are reset, new ones are refused.
func (s *server) stop() {
	s.update(func(*serverModel) { s.down = true })
	s.cluster.backends.Stop(s.index)
}

// recover makes the server healthy. One that was stopped restarts in slow start, and discovery publishes its start.
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
		s.cluster.checker.report(time.Now(), ruleUnexpectedExit, "%s could not come back: %v", s.name, err)
	}
	s.cluster.publishEndpoints()
}

// serveCommand is the servers' script, called under the backends' lock.
func (c *cluster) serveCommand(command *standin.Command) standin.Step {
	return c.servers[command.Backend].model.accept(command.At, command.ID, c.rng.Float64())
}

// observeCommand passes a command to the rules, under the backends' lock. The returned function is called at its end.
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
			a.sentAt = l.Sent(command.RemoteAddr)
			break
		}
	}
	overloaded := !s.model.failedAt.IsZero()
	c.checker.commandArrived(command, a)
	if overloaded && !s.down {
		s.down = true
		c.checker.report(command.At, ruleOverload, "%s was pushed over: %.1f times what it could do for %v", s.name, s.model.maxOverload, standin.OverloadSpan)
	}
	return func() { c.checker.commandEnded(a, time.Now()) }
}

// noLink is the link of a command that came by none.
type noLink struct{}

// Left is never.
func (noLink) Left(string) time.Time { return time.Time{} }

// endpointList is discovery's list of the servers, with the addresses of one gateway's links to them.
func (c *cluster) endpointList(g *gateway) string {
	var list []string
	for _, s := range c.servers {
		phase := "up"
		if c.draining[s.name] {
			phase = "draining"
		}
		startedAt := int64(0) // Unix ms; 0: long ago
		if s.model.slowStart {
			startedAt = s.model.startedAt.UnixMilli()
		}
		list = append(list, standin.MemberIn(s.zone(), s.id(), g.serverLinks[s.index].Addr(), phase, startedAt))
	}
	return standin.Members(list...)
}

// setDraining makes discovery list a server as draining or up.
func (c *cluster) setDraining(name string, draining bool) {
	c.mu.Lock()
	c.draining[name] = draining
	c.mu.Unlock()
	c.publishEndpoints()
	c.checker.setDraining(name, time.Now(), draining)
}

// publishEndpoints makes every discovery service publish its list again.
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
