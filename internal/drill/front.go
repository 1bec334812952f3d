package drill

import (
	"context"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// Parameters of the load balancer between clients and gateways, which the drill simulates.
const (
	frontCheckInterval = 200 * time.Millisecond // time between health checks of a gateway
	frontCheckTimeout  = time.Second            // timeout of a health check
	frontMaxFailures   = 2                      // consecutive failed checks that take a gateway out of rotation
)

// checkGateways acts as the load balancer in front of the gateways: it puts them in and out of rotation by health checks until ctx
// ends. It also reports processes that exit although the scenario did not end them.
func (c *cluster) checkGateways(ctx context.Context) {
	var checks sync.WaitGroup
	defer checks.Wait()
	for _, g := range c.gateways {
		checks.Go(func() { c.checkGateway(ctx, g) })
	}
}

// checkGateway checks one gateway until ctx ends or its process exits unexpectedly.
func (c *cluster) checkGateway(ctx context.Context, g *gateway) {
	var probe frontProbe
	defer probe.close()
	for failures := 0; ctx.Err() == nil; sleep(ctx, frontCheckInterval) {
		if g.Program().Ended() && !g.isStopExpected() {
			c.checker.report(time.Now(), ruleUnexpectedExit, "%s exited unexpectedly: %s", g.name, tail(g.Program().Log()))
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

// frontProbe is the connection for health checks of a gateway. It is kept between checks.
type frontProbe struct{ client *standin.Client }

// check sends PING, on a new connection if there is none. It returns true if the gateway answers PONG in time.
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

// close closes the connection, if one is open.
func (p *frontProbe) close() {
	if p.client != nil {
		p.client.Close()
		p.client = nil
	}
}
