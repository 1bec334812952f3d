package drill

import (
	"time"

	"dewhitch/internal/standin"
)

// pairCheck is a check of two attempts of a request that waits until both of their ends are known.
type pairCheck struct {
	readyAt       time.Time
	requestID     string // of the request
	first, second *arrival
}

// leakyBucket is the level of a customer's ceiling, in requests.
type leakyBucket struct {
	level     float64
	updatedAt time.Time // of the level
}

// commandArrived records a command at a server and checks what can be checked at once. It is called under the backends' lock.
func (r *ruleChecker) commandArrived(c *standin.Command, a *arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	h := r.histories[c.ID]
	if h == nil {
		h = &commandHistory{class: c.Class}
		r.histories[c.ID] = h
		r.checkCeiling(c, a.arrivedAt)
		r.checkForwarded(c, a)
	}
	r.checkAttemptStart(c, a)
	r.arrivalsByServer[a.server] = append(r.arrivalsByServer[a.server], a.arrivedAt)
	p := path{a.gateway, a.server}
	r.arrivalsByPath[p] = append(r.arrivalsByPath[p], a.arrivedAt)
	r.checkRepeat(c, a, h)
	r.checkServer(c, a)
}

// checkForwarded checks the first attempt of a request whose client left while it waited: it must not arrive after forwardBound, unless
// its first byte had been sent before.
func (r *ruleChecker) checkForwarded(c *standin.Command, a *arrival) {
	departedAt, departed := r.departedWaitingAt[c.ID]
	if !departed {
		return
	}
	r.departed.Forwarded++
	if delay := a.arrivedAt.Sub(departedAt); delay > forwardBound+timingTolerance && !a.sentBy(departedAt) {
		r.departed.ForwardedLate++
		r.addViolation(a.arrivedAt, ruleDeparted, c.ID, "sent on %v after its client had left, at %s", delay, formatClock(departedAt))
	}
}

// checkAttemptStart checks that the first byte of an attempt is not sent after the client left, beyond attemptBound.
func (r *ruleChecker) checkAttemptStart(c *standin.Command, a *arrival) {
	departedAt, departed := r.departedAt[c.ID]
	if !departed {
		return
	}
	if delay := a.sentAt.Sub(departedAt); delay > attemptBound+timingTolerance {
		r.departed.AttemptsLate++
		r.addViolation(a.arrivedAt, ruleDeparted, c.ID, "its first byte left the gateway %v after its client had left, at %s", delay, formatClock(departedAt))
	}
}

// checkRepeat checks an attempt against the earlier ones of the request: a request that is not idempotent may not be sent again once it
// may have run, and one with an idempotency key only within the window of the servers. Whether two attempts overlap is checked later.
func (r *ruleChecker) checkRepeat(c *standin.Command, a *arrival, h *commandHistory) {
	class, known := r.classes[c.Class]
	for _, earlier := range h.arrivals {
		r.pendingPairs = append(r.pendingPairs, pairCheck{a.arrivedAt.Add(pairDelay), c.ID, earlier, a})
		if earlier.mayHaveRun && known && class.Effect == "unsafe" {
			r.addViolation(a.arrivedAt, ruleRepeat, c.ID, "sent again, though it may have run")
		}
	}
	h.arrivals = append(h.arrivals, a)
	if !known || class.Effect != "keyed" || !a.mayHaveRun {
		return
	}
	key := c.Customer + " " + c.Key
	first := r.firstByKey[key]
	if first == nil {
		r.firstByKey[key] = a
		return
	}
	if elapsed := a.arrivedAt.Sub(first.arrivedAt); elapsed > class.DedupWindow+timingTolerance {
		r.addViolation(a.arrivedAt, ruleRepeat, c.ID, "its key came again after %v, and servers drop a repeat for %v", elapsed, class.DedupWindow)
	}
}

// checkServer checks that a command's server is neither free for maintenance nor draining.
func (r *ruleChecker) checkServer(c *standin.Command, a *arrival) {
	if since, free := r.freeSince[a.server]; free {
		r.addViolation(a.arrivedAt, ruleFree, c.ID, "%s was sent it %v after it was free", a.server, a.arrivedAt.Sub(since))
	}
	if since, draining := r.drainingSince[a.server]; draining && a.arrivedAt.Sub(since) > standin.DrainGrace+timingTolerance {
		r.addViolation(a.arrivedAt, ruleDrain, c.ID, "%s was sent it %v after it was told to drain", a.server, a.arrivedAt.Sub(since))
	}
}

// checkCeiling counts the first attempt of a request against the hard ceiling of its plan, as a leaky bucket over all gateways.
func (r *ruleChecker) checkCeiling(c *standin.Command, at time.Time) {
	p, ok := r.plans[c.Plan]
	if !ok || p.CapRate == 0 {
		return
	}
	b := r.ceilings[c.Customer]
	if b == nil {
		b = &leakyBucket{updatedAt: at}
		r.ceilings[c.Customer] = b
	}
	if at.After(b.updatedAt) {
		b.level = max(0, b.level-at.Sub(b.updatedAt).Seconds()*p.CapRate)
		b.updatedAt = at
	}
	b.level++
	if bound := p.HardBurst + p.Tolerance + p.CapRate*ceilingTolerance.Seconds(); b.level > bound {
		r.addViolation(at, ruleCeiling, c.ID, "%s has %.0f beyond its ceiling's rate, %.0f at most", c.Customer, b.level, bound)
		b.level = 0 // one excess is one violation
	}
}

// evaluatePairs checks pairs of attempts of a request that were in flight at once: those whose ends are known by now, or all.
func (r *ruleChecker) evaluatePairs(now time.Time, all bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	pending := r.pendingPairs[:0]
	for _, c := range r.pendingPairs {
		if !all && now.Before(c.readyAt) {
			pending = append(pending, c)
			continue
		}
		if completedAt := c.first.completedAt(); completedAt.IsZero() || completedAt.Sub(c.second.arrivedAt) > timingTolerance {
			r.addViolation(now, ruleOverlap, c.requestID, "two fetches out at once, by %s to %s and by %s to %s", c.first.gateway, c.first.server,
				c.second.gateway, c.second.server)
		}
	}
	r.pendingPairs = pending
}
