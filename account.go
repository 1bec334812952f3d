package dewhitch

// A customer's account: its share of the quota as far as known, its ceiling, and what it may still use.

import "math"

type customer struct {
	id          CustomerID
	plan        *Plan
	spread      float64
	inSet       bool
	window      Span
	level       float64 // the shared store, as far as known: own use at once, others' as predicted
	at          Instant
	predicted   float64 // others' use taken from level since the last total
	own, others float64 // rates of use, units a second
	lastTotal   Instant
	open, begun int // attempts; of those, the ones whose answers have begun
	ceiling     bucket
	listedTill  Instant

	turn           int64      // the window that counts go to
	total          float64    // as last read in this window
	tally, adding  float64    // not yet pushed; on its way
	calling, thin  bool       // thin: a gateway's even share of the store is under one request
	held           []*request // those that wait for the count
	spent          float64    // units, ever
	asks, asking   []*request // queries that wait for the next call, and for the one that is out
	mine           float64    // units that this gateway surely has in the window's count
	asked, askedIn float64    // by all, of late: units and the seconds in which they were asked; faded
	past           float64    // seconds into the window at the last total
	wants, queued  bool
	lastPush, seen Instant // seen: its last request
	period         Instant // next ordinary push
}

// atEase tells that all gateways together have asked for little of c's rate of late.
func (g *Gateway) atEase(c *customer) bool {
	return c.askedIn > seconds(c.window) && c.asked < easeUse*c.plan.Rate*c.askedIn
}

// chance lets through what the rate is of the use that was asked for, where the count cannot be checked.
func (g *Gateway) chance(c *customer) bool {
	return !c.thin || g.rng.Float64()*c.asked <= c.plan.Rate*c.askedIn
}

// customer finds or makes the account of a customer.
func (g *Gateway) customer(e Arrival, plan *Plan) *customer {
	c := g.customers[e.Customer]
	if c == nil {
		n := min(max(1, e.Spread), g.set.Instances)
		c = &customer{id: e.Customer, plan: plan, spread: float64(n), level: plan.Burst, at: g.now}
		c.inSet = (g.set.Self-e.First%g.set.Instances+g.set.Instances)%g.set.Instances < n
		// Danger: where a share of the store is less than one request, whoever goes by what it saw last either
		// refuses all or lets all in. There the push comes before the request goes on.
		c.thin = g.set.Counter && plan.Rate > 0 && plan.Burst < c.spread*max(1, g.set.MaxUnits)
		if c.thin {
			c.window = min(maxWindow/2, Span(plan.Burst/plan.Rate*1e9))
		} else if plan.Rate > 0 {
			c.window = min(maxWindow/2, Span(windowBursts*plan.Burst/plan.Rate*1e9))
		}
		c.window = max(c.window, pushesAWindow*g.set.CounterTimeout, second)
		// Danger: an earlier life of this gateway may have spent all of its share, up to the start of this one.
		c.ceiling = bucket{level: -plan.Tolerance / c.spread, at: g.startAt}
		c.turn = g.turn(c)
		c.lastTotal, c.wants, c.others = g.now-Instant(c.memory()*1e9), true, plan.Rate*(1-1/c.spread)
		g.customers[e.Customer] = c
	}
	c.seen = g.now
	return c
}

// othersRate is what the other gateways are taken to use: their even share at least, where totals are old.
func (g *Gateway) othersRate(c *customer) float64 {
	even := c.plan.Rate * (1 - 1/c.spread)
	if seconds(g.now-c.lastTotal) > staleWindows*seconds(c.window) {
		return max(c.others, even)
	}
	return c.others
}

// advance brings the account to the present: the store fills at the rate, less what others are taken to use.
func (g *Gateway) advance(c *customer) {
	dt, o := seconds(g.now-c.at), g.othersRate(c)
	gain := c.plan.Rate * dt
	loss := min(o*dt, max(0, c.level)+gain) // an empty store gives nothing, whoever asks
	c.level = min(c.plan.Burst, c.level+gain-loss)
	c.predicted += loss
	c.own *= math.Exp(-dt / c.memory())
	c.at = g.now
}

func (c *customer) memory() float64 { return seconds(c.window) / windowBursts } // of rates of use

// room is its share of the store by recent use, with a floor; or all but what others may have used unseen.
func (g *Gateway) room(c *customer) float64 {
	g.advance(c)
	o, floor := g.othersRate(c), shareFloor*c.plan.Rate/c.spread
	share := (c.own + floor) / (c.own + o + c.spread*floor)
	blind := o * (seconds(g.now-c.lastTotal) + seconds(g.set.CounterTimeout))
	unseen := o*seconds(g.set.CounterTimeout) + blindSigmas*math.Sqrt(blind*max(1, g.set.MaxUnits/2))
	return max(share*c.level, c.level-unseen)
}

// kept is the share of a customer's store that r leaves to others: what comes first would spend it, not
// what earns most. Units that are taken alone are for work unknown, and have all that a query says is left.
func (g *Gateway) kept(r *request) float64 {
	if r.take {
		return 0
	}
	return keptShare * max(0, 1-g.worthOf(r)/g.worth)
}

// quota decides whether a request is within the quota, and else when to ask again.
func (g *Gateway) quota(c *customer, units, kept float64) (wait Span, ok bool) {
	p := c.plan
	if g.now < c.listedTill {
		return Span(c.listedTill - g.now), false
	}
	if p.Rate > 0 && !c.thin {
		if room := g.room(c); room < units || c.level-units < kept*p.Burst {
			if g.now-c.lastTotal > Instant(c.window)/(pushesAWindow*pushesAWindow) {
				g.queue(c, true)
			}
			return Span((units - room) / p.Rate * 1e9), false
		}
	}
	others := g.othersRate(c)
	if c.thin && c.askedIn > 0 { // Danger: early in a window all let in what is asked, far over the rate
		others = max(others, c.asked/c.askedIn*(1-1/c.spread))
	}
	// Those that they have out: by Little's law, or as many as this one has, but for its clients' sake.
	others = max(others*g.latency/max(1, g.set.MaxUnits/2), (c.spread-1)*float64(c.open-c.begun))
	if p.MaxInFlight > 0 && float64(c.open+1)+others > float64(p.MaxInFlight) {
		return Span(g.latency * 1e9), false
	}
	return 0, true
}

// underCeiling keeps rule 5 alone, with an even share of rate, burst and slack; it tells when there is room.
func (g *Gateway) underCeiling(c *customer, units float64) (wait Span, ok bool) {
	p := c.plan
	if p.CeilingRate <= 0 {
		return 0, true
	}
	c.ceiling.fill(g.now, p.CeilingRate/c.spread, p.CeilingBurst/c.spread)
	missing := units - p.Tolerance/c.spread - c.ceiling.level
	return Span(missing * c.spread / p.CeilingRate * 1e9), c.inSet && missing <= 0
}

// spend takes units from the account and puts them on the tally.
func (g *Gateway) spend(c *customer, units float64) {
	c.spent += units
	if g.draw(c, units); c.thin { // goes along with the next call: there are none to spare
		return
	}
	g.advance(c)
	c.level = min(c.plan.Burst, c.level-units)
	c.own = max(0, c.own+units/c.memory())
	g.queue(c, false)
}

// draw puts units on the tally, and says so.
func (g *Gateway) draw(c *customer, units float64) {
	c.tally += units
	g.acts = append(g.acts, TallyChanged{Customer: c.id, Units: units})
}

// expire drops the accounts that have been idle for so long that they stand as a new one would.
func (g *Gateway) expire() {
	g.after(expireEvery, g.expire)
	for id, c := range g.customers { // in any order: nothing is sent
		c.ceiling.fill(g.now, c.plan.CeilingRate/c.spread, c.plan.CeilingBurst/c.spread)
		idle := g.now-c.seen > Instant(2*c.window) && c.open == 0 && !c.queued && !c.calling
		if idle && (c.plan.CeilingRate <= 0 || c.ceiling.level >= c.plan.CeilingBurst/c.spread) {
			delete(g.customers, id)
		}
	}
}
