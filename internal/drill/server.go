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
		s.cluster.checker.report(time.Now(), ruleEnded, "%s could not come back: %v", s.name, err)
	}
	s.cluster.publishEndpoints()
}

// serveCommand is the servers' script, called under the backends' lock.
func (cl *cluster) serveCommand(c *standin.Command) standin.Step {
	return cl.servers[c.Backend].model.accept(c.At, c.ID, cl.rng.Float64())
}

// observeCommand passes a command to the rules, under the backends' lock. The returned function is called at its end.
func (cl *cluster) observeCommand(c *standin.Command) func() {
	s := cl.servers[c.Backend]
	a := &arrival{
		arrivedAt:  c.At,
		remote:     c.RemoteAddr,
		link:       noLink{},
		server:     s.name,
		mayHaveRun: c.Behaviour != standin.Busy,
		key:        c.Key,
	}
	for _, g := range cl.gateways {
		if l := g.serverLinks[s.index]; l.HasConn(c.RemoteAddr) {
			a.gateway = g.name
			a.link = l
			a.sentAt = l.CommandSentAt(c.RemoteAddr)
			break
		}
	}
	overloaded := !s.model.fellAt.IsZero()
	cl.checker.commandArrived(c, a)
	if overloaded && !s.down {
		s.down = true
		cl.checker.report(c.At, rulePushed, "%s was pushed over: %.1f times what it could do for %v", s.name, s.model.maxOverload, standin.OverloadSpan)
	}
	return func() { cl.checker.commandEnded(a, time.Now()) }
}

// noLink is the link of a command that came by none.
type noLink struct{}

// ClosedAt is never.
func (noLink) ClosedAt(string) time.Time { return time.Time{} }

// endpointList is discovery's list of the servers, with the addresses of one gateway's links to them.
func (cl *cluster) endpointList(g *gateway) string {
	var list []string
	for _, s := range cl.servers {
		phase := "up"
		if cl.draining[s.name] {
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
func (cl *cluster) setDraining(name string, on bool) {
	cl.mu.Lock()
	cl.draining[name] = on
	cl.mu.Unlock()
	cl.publishEndpoints()
	cl.checker.setDraining(name, time.Now(), on)
}

// publishEndpoints makes every discovery service publish its list again.
func (cl *cluster) publishEndpoints() {
	for _, g := range cl.gateways {
		var list string
		cl.backends.WithLock(func() {
			cl.mu.Lock()
			list = cl.endpointList(g)
			cl.mu.Unlock()
		})
		g.discovery.Set(list)
	}
}
