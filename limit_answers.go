package dewhitch

// This file words the answers to queries about limits. It decides nothing on requests.

// left is what c's quota held by the total just read, before what was spent later, and when it holds more.
func (g *Gateway) left(c *customer, later float64, id RequestID) LimitAnswer {
	g.advance(c)
	window := c.plan.Rate*seconds(c.window) - c.total - c.tally + later // until c is listed
	level := c.level + later
	if c.thin {
		window += thinBursts * c.plan.Burst
		level = window
	} else {
		window += c.plan.Burst
	}
	if g.now < c.listedTill {
		window = 0
	}
	l := LimitAnswer{Request: id, Limit: c.plan.Burst, Remaining: max(0, min(level, window, c.plan.Burst))}
	if l.Remaining < c.plan.Burst && l.Remaining == max(0, window) { // it is the window that binds
		l.ReplenishedAfter = Span(c.edge() - g.now)
	} else if l.Remaining < c.plan.Burst {
		l.ReplenishedAfter = Span(max(1, 1-level) / c.plan.Rate * 1e9)
	}
	return l
}
