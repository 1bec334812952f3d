package drill

import (
	"time"

	"dewhitch/internal/standin"
)

// Parameters of an operator without the fleet view.
const (
	manualCallTime  = 300 * time.Millisecond // for a command at one gateway
	manualDrainTime = 2 * time.Second        // until open requests are taken for ended
)

// workManually is an operator who restarts one machine after the other: excludes it at each gateway in turn, waits, restarts it and
// includes it again.
func (cl *cluster) workManually(machines []string, workTime time.Duration) {
	for _, name := range machines {
		s := cl.server(name)
		if s == nil {
			cl.restartGatewayManually(name, workTime)
			continue
		}
		cl.commandAll(s, "exclude")
		time.Sleep(manualDrainTime)
		if cl.lengthOver() {
			return
		}
		freeAt := time.Now()
		cl.restartServer(s, freeAt, workTime)
		cl.commandAll(s, "include")
		cl.recordTurn(name, freeAt)
		for end := time.Now().Add(standin.SlowStartSpan); time.Now().Before(end) && !cl.lengthOver(); {
			time.Sleep(workPollInterval)
		}
	}
}

// restartGatewayManually restarts a gateway and waits before the next one.
func (cl *cluster) restartGatewayManually(name string, workTime time.Duration) {
	freeAt := time.Now()
	if !cl.lengthOver() && cl.restartGateway(cl.gateway(name), workTime) {
		cl.recordTurn(name, freeAt)
	}
	time.Sleep(manualDrainTime)
}

// commandAll sends an admin command about a server to each gateway in turn.
func (cl *cluster) commandAll(s *server, verb string) {
	for _, g := range cl.gateways {
		time.Sleep(manualCallTime)
		if err := sendAdminLine(g.adminAddress, verb+" "+s.id()); err != nil {
			cl.record("%s: %s %s: %v", g.name, verb, s.name, err)
		}
	}
}
