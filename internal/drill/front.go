package drill

import (
	"context"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// Bounds of the clients' front.
const (
	frontCheckInterval = 200 * time.Millisecond // between two health checks of a gateway
	frontCheckTimeout  = time.Second            // of a health check
	frontMaxFailures   = 2                      // in a row, until the gateway is out of rotation
)

// checkGateways is the clients' front: it takes gateways in and out of rotation by health checks, until ctx ends. It also finds
// processes that ended without the script.
func (c *cluster) checkGateways(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	for _, g := range c.gateways {
		checks.Go(func() { c.checkGateway(ctx, g) })
	}
}

// checkGateway checks one gateway, until ctx or the process ends.
func (c *cluster) checkGateway(ctx context.Context, g *gateway) {
	var probe frontProbe
	defer probe.close()
	for failures := 0; ctx.Err() == nil; sleep(ctx, frontCheckInterval) {
		if g.Program().Ended() && !g.isStopExpected() {
			c.checker.report(time.Now(), ruleUnexpectedExit, "%s ended of itself: %s", g.name, tail(g.Program().Log()))
			return
		}
		if probe.check(g.Listen) {
			failures = 0
			g.inRotation.Store(!g.isStopExpected())
			continue
		}
		probe.close()
		failures++
		if failures >= frontMaxFailures {
			g.inRotation.Store(false)
		}
	}
}

// frontProbe is the front's connection to a gateway, kept from check to check.
type frontProbe struct{ client *standin.Client }

// check sends a ping, on a new connection if there is none.
func (p *frontProbe) check(address string) bool {
	if p.client == nil {
		p.client, _ = standin.Dial(address, frontCheckTimeout)
	}
	if p.client == nil {
		return false
	}
	p.client.SetDeadline(time.Now().Add(frontCheckTimeout))
	if p.client.Send([]string{"PING"}) != nil {
		return false
	}
	v, err := p.client.Reply()
	return err == nil && v.Text == "PONG"
}

// close closes the connection, if there is one.
func (p *frontProbe) close() {
	if p.client != nil {
		p.client.Close()
		p.client = nil
	}
}
