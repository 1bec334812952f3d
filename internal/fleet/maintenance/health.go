package maintenance

import (
	"fmt"
	"time"
)

// Thresholds of the proof of health of a returned server.
const (
	proofMinServed   = 5   // lowest number of served attempts that proves health
	proofMinFailed   = 3   // lowest number of failed attempts that puts the server on hold
	proofFailedRatio = 0.2 // lowest fraction of failed attempts that puts the server on hold
)

// proveHealth moves a returned machine to Done once its health is proved, or to OnHold if it fails or takes too long.
func (e *evaluation) proveHealth(m *Machine) {
	if g, ok := e.gateway(m.Name); ok {
		e.proveGateway(m, g)
		return
	}
	e.proveServer(m)
}

// proveGateway considers a gateway healthy once it is reachable with a fresh view, its process is not the one that was announced, and
// MinHealthyTime has passed since its return.
func (e *evaluation) proveGateway(m *Machine, g Member) {
	age := e.age(m)
	switch {
	case g.Reachable && g.Fresh && g.ProcessStartedAt != m.ProcessStartedAt && age >= e.cfg.MinHealthyTime:
		m.enter(Done, e.unixMS, "")
	case age > e.cfg.ReturnTimeout:
		m.enter(OnHold, e.unixMS, "no new process of it is in the fleet: look at it, then resume")
	default:
		m.Note = "waits for a new process of it in the fleet"
	}
}

// proveServer considers a server healthy once it is listed as ready, is warm and has served proofMinServed attempts in the
// last healthSpan, and MinHealthyTime has passed since its return. After ReturnTimeout it needs no served
// attempts if it is warm and none failed, because there may be too little traffic.
func (e *evaluation) proveServer(m *Machine) {
	age := e.age(m)
	server, listed := e.observed.Servers[m.Name]
	served, failed := e.healthSince(m.Name, e.now, e.now-min(healthSpan, age))
	warm := listed && !e.warming(server)
	switch {
	case !listed || !server.Ready:
		m.Note = "is not listed as ready"
		if age > e.cfg.ReturnTimeout {
			m.enter(OnHold, e.unixMS, "came back unlisted: look at it, then resume")
		}
	case failed >= proofMinFailed && float64(failed) >= proofFailedRatio*float64(served+failed):
		m.enter(OnHold, e.unixMS, fmt.Sprintf("ill on its return: %d of %d fetches; look at it, then resume", failed, served+failed))
	case warm && age >= e.cfg.MinHealthyTime && served >= proofMinServed, age > e.cfg.ReturnTimeout && warm && failed == 0:
		m.enter(Done, e.unixMS, "")
	case age > 2*e.cfg.ReturnTimeout:
		m.enter(OnHold, e.unixMS, "did not become warm: look at it, then resume")
	default:
		m.Note = "proves itself"
	}
}

// warming returns true if a server is in slow start.
func (e *evaluation) warming(server Server) bool {
	return server.Since > 0 && time.Duration(e.unixMS-server.Since)*time.Millisecond < e.cfg.SlowStart
}
