package drill

import (
	"time"

	"dewhitch/internal/standin"
)

// Parameters of maintenance by an operator, without the fleet view.
const (
	manualCallTime  = 300 * time.Millisecond // time that the operator needs for a command at one gateway
	manualDrainTime = 2 * time.Second        // time after which the operator assumes that open requests have ended
)

// workManually restarts machines one after the other, as an operator does: it excludes a machine at each gateway in turn, waits,
// restarts the machine and includes it again.
func (c *cluster) workManually(machines []string, workTime time.Duration) {
	for _, name := range machines {
		s := c.server(name)
		if s == nil {
			c.restartGatewayManually(name, workTime)
			continue
		}
		c.commandAll(s, "exclude")
		time.Sleep(manualDrainTime)
		if c.lengthOver() {
			return
		}
		freeAt := time.Now()
		c.restartServer(s, freeAt, workTime)
		c.commandAll(s, "include")
		c.recordMaintenance(name, freeAt)
		for end := time.Now().Add(standin.SlowStartSpan); time.Now().Before(end) && !c.lengthOver(); {
			time.Sleep(workPollInterval)
		}
	}
}

// restartGatewayManually restarts a gateway, and waits for manualDrainTime before the next one.
func (c *cluster) restartGatewayManually(name string, workTime time.Duration) {
	freeAt := time.Now()
	if !c.lengthOver() && c.restartGateway(c.gateway(name), workTime) {
		c.recordMaintenance(name, freeAt)
	}
	time.Sleep(manualDrainTime)
}

// commandAll sends an admin command about a server to each gateway in turn. Failures are added to the timeline.
func (c *cluster) commandAll(s *server, verb string) {
	for _, g := range c.gateways {
		time.Sleep(manualCallTime)
		if err := sendAdminLine(g.adminAddress, verb+" "+s.id()); err != nil {
			c.record("%s: %s %s: %v", g.name, verb, s.name, err)
		}
	}
}
