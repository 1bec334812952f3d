package maintenance

import (
	"fmt"
	"time"
)

// Bounds of the proof of health.
const (
	proofMinServed   = 5   // attempts
	proofMinFailed   = 3   // attempts, before the machine is put on hold
	proofFailedRatio = 0.2 // failed of all attempts, before the machine is put on hold
)

// proveHealth settles a returned machine: Done once it has proved its health, OnHold if it fails or takes too long.
func (e *evaluation) proveHealth(m *Machine) {
	if g, ok := e.gateway(m.Name); ok {
		e.proveGateway(m, g)
		return
	}
	e.proveServer(m)
}

// proveGateway takes a gateway for healthy once another process of it is in the fleet, with a fresh view.
func (e *evaluation) proveGateway(m *Machine, g Member) {
	age := e.age(m)
	switch {
	case g.Reachable && g.Fresh && g.ProcessStartedAt != m.ProcessStartedAt && age >= e.cfg.MinHealthyTime:
		m.enter(Done, e.unix, "")
	case age > e.cfg.ReturnTimeout:
		m.enter(OnHold, e.unix, "no new process of it is in the fleet: look at it, then resume")
	default:
		m.Note = "waits for a new process of it in the fleet"
	}
}

// proveServer takes a server for healthy once it is listed as ready, is warm and served proofMinServed attempts. After ReturnTimeout a
// warm server without a failure is enough, as there may be too little traffic.
func (e *evaluation) proveServer(m *Machine) {
	age := e.age(m)
	server, listed := e.observed.Servers[m.Name]
	served, failed := e.healthSince(m.Name, e.now, e.now-min(healthSpan, age))
	warm := listed && !e.warming(server)
	switch {
	case !listed || !server.Ready:
		m.Note = "is not listed as ready"
		if age > e.cfg.ReturnTimeout {
			m.enter(OnHold, e.unix, "came back unlisted: look at it, then resume")
		}
	case failed >= proofMinFailed && float64(failed) >= proofFailedRatio*float64(served+failed):
		m.enter(OnHold, e.unix, fmt.Sprintf("ill on its return: %d of %d fetches; look at it, then resume", failed, served+failed))
	case warm && age >= e.cfg.MinHealthyTime && served >= proofMinServed, age > e.cfg.ReturnTimeout && warm && failed == 0:
		m.enter(Done, e.unix, "")
	case age > 2*e.cfg.ReturnTimeout:
		m.enter(OnHold, e.unix, "did not become warm: look at it, then resume")
	default:
		m.Note = "proves itself"
	}
}

// warming tells whether a server is in slow start.
func (e *evaluation) warming(server Server) bool {
	return server.Since > 0 && time.Duration(e.unix-server.Since)*time.Millisecond < e.cfg.SlowStart
}
