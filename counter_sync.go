package dewhitch

// The shared counter: what is pushed and asked, in whose turn, and what its totals tell.

import (
	"math"
	"strconv"
)

// query has a query, or a give-back, wait for a call that pushes what came before: without one it is a guess.
func (g *Gateway) query(e Arrival) {
	e.Remaining = g.untilEnd(e.Remaining)
	known := e.Plan >= 0 && e.Plan < len(g.set.Plans) && g.set.Plans[e.Plan].Rate > 0
	if !g.set.Counter || !known || e.Remaining <= 0 {
		g.acts = append(g.acts, Fail{Request: e.ID, Reason: ReasonCounterUnread})
		return
	}
	c := g.customer(e, &g.set.Plans[e.Plan])
	r := &request{id: e.ID, units: e.Units, customer: c, spent: c.spent}
	g.requests[r.id] = r
	spare := min(e.Remaining/limitSpare, second/10)
	g.after(e.Remaining-spare, func() { g.finish(r, Fail{Request: r.id, Reason: ReasonCounterUnread}) })
	c.asks = append(c.asks, r)
	if g.queue(c, true); !c.calling && g.mayCall() {
		g.count(c)
	}
}

// answer gives the queries that waited for the total their answers.
func (g *Gateway) answer(c *customer) {
	for _, r := range c.asking {
		if r.units == 0 {
			g.finish(r, g.left(c, c.spent-r.spent, r.id))
		} else if back := max(0, min(-r.units, c.mine, c.total)); !r.done {
			// Danger: use below nothing lets in more than the quota; no list and no ceiling gains by this.
			c.mine -= back
			g.spend(c, -back)
			g.queue(c, true) // the others shall know
			g.finish(r, AdjustAnswer{Request: r.id, Units: -back})
		}
	}
}

// release decides on those that waited for the count of all that c asked for: it must be within the rate.
func (g *Gateway) release(c *customer, told bool) {
	for _, r := range c.held {
		kept := g.kept(r)
		spent := told && kept > 0 && c.total > (1-kept)*c.plan.Rate*seconds(c.window)
		if s, _ := g.pick(r, math.Inf(1)); spent || g.now < c.listedTill {
			g.refuse(r, ReasonQuota, Span(c.edge()-g.now))
		} else if r.take && (told || g.chance(c)) {
			g.finish(r, AdjustAnswer{Request: r.id, Units: r.units})
		} else if s == nil || !told && !g.chance(c) {
			g.refuse(r, ReasonOverload, g.comeBack(r, 1))
		} else {
			g.send(r, s)
		}
	}
	c.held = c.held[:0]
}

// queue has c looked at by the sweep; if it wants, for its total at the next chance.
func (g *Gateway) queue(c *customer, wants bool) {
	c.wants = c.wants || wants
	if !c.queued && g.set.Counter && c.plan.Rate > 0 {
		c.queued = true
		if c.period <= g.now { // spread over the period, so that pushes do not come in step
			c.period = g.now + Instant(g.rng.Float64()*float64(c.window)/pushesAWindow)
		}
		g.pushes = append(g.pushes, c)
	}
}

// push sends the tally of c to the counter if it is due, early or in its period, and tells whether it did.
func (g *Gateway) push(c *customer, early bool) bool {
	if !g.mayCall() {
		return false
	}
	near := c.wants || g.turn(c) != c.turn || c.tally >= nearShare*max(0, g.room(c))
	near = near && (g.now-c.lastPush >= Instant(g.set.CounterTimeout) || len(c.asks) > 0)
	if !near && (early || g.now < c.period) {
		return false
	}
	g.count(c)
	return true
}

// turn is the window that counts of c go to now. Windows of customers turn at different times.
func (g *Gateway) turn(c *customer) int64 {
	return int64(g.now+c.phase()) / int64(c.window)
}

// edge is when the window of the last count turns.
func (c *customer) edge() Instant { return Instant(c.turn+1)*Instant(c.window) - c.phase() }

func (c *customer) phase() Instant { return Instant(uint64(c.id) % uint64(c.window)) }

// mayCall paces the calls to the counter, which all gateways share.
func (g *Gateway) mayCall() bool { return g.calls.Allow(int64(g.now)) }

// count makes a call that adds the tally of c to the counter.
func (g *Gateway) count(c *customer) {
	if turn := g.turn(c); turn != c.turn {
		// The store's level is carried over; what was not read of the old window is taken to be as predicted.
		c.turn, c.total, c.past, c.predicted, c.mine = turn, 0, 0, 0, 0
		c.asked, c.askedIn = c.asked*askedFade, c.askedIn*askedFade
	}
	name := strconv.FormatUint(uint64(c.id), 36) + "." + strconv.FormatInt(c.turn, 36)
	c.adding, c.tally, c.calling, c.wants = c.tally, 0, true, false
	c.asking, c.asks = c.asks, nil
	c.lastPush, c.period = g.now, g.now+Instant(c.window)/pushesAWindow
	g.names[name] = c
	g.calls.Spend()
	g.acts = append(g.acts, CounterAdd{Name: name, Customer: c.id, Add: c.adding, TTL: min(maxWindow, 2*c.window)})
}

// counted takes the counter's answer.
func (g *Gateway) counted(e CounterAnswered) {
	c := g.names[e.Name]
	if c == nil || !c.calling {
		return
	}
	delete(g.names, e.Name)
	c.calling = false
	if e.Outcome == OutcomeOK {
		g.total(c, c.adding, e.Total)
		g.answer(c)
	} else {
		c.asks = append(c.asking, c.asks...) // until their time is up
		if e.Outcome != OutcomeTimeout {
			c.tally += c.adding
		} else if !c.thin {
			c.total += c.adding // it may have counted; if not, the next total puts it right
		}
		if !c.thin {
			g.queue(c, false)
		}
	}
	g.calls.Observe(e.Outcome == OutcomeOK, seconds(e.Latency))
	g.release(c, e.Outcome == OutcomeOK)
	if len(c.asks) > 0 {
		g.queue(c, true)
	}
}

// total settles what was predicted of the others against what the counter says.
func (g *Gateway) total(c *customer, add, total float64) {
	g.advance(c)
	before := c.total
	// Gateways give back only what they added: with less left than this one's, the counter has forgotten.
	if total-add < c.mine-countGrain {
		before, c.mine = 0, 0
	}
	others := total - add - before
	c.mine += max(0, add)
	c.total = total
	w, edge := seconds(c.window), c.edge()
	if c.thin {
		past := seconds(g.now-edge) + w
		c.asked += max(0, total-before)
		c.askedIn += max(0, past-c.past)
		c.past = past
		if total > c.plan.Rate*w+thinBursts*c.plan.Burst {
			c.listedTill = edge
		}
		return
	}
	dt := max(seconds(g.now-c.lastTotal), seconds(g.set.Tick))
	c.level = min(c.plan.Burst, max(min(c.level, 0), c.level-(others-c.predicted)))
	c.others += (max(0, others)/dt - c.others) * (1 - math.Exp(-dt/c.memory()))
	c.predicted, c.lastTotal = 0, g.now
	if total+c.tally > c.plan.Rate*w+c.plan.Burst {
		c.listedTill = edge
	}
}
