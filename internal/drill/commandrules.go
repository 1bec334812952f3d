package drill

import (
	"time"

	"dewhitch/internal/standin"
)

// pairCheck is a pending check that two attempts of a request did not overlap. It is evaluated at readyAt, when the ends of both
// are known.
type pairCheck struct {
	readyAt       time.Time // time of the evaluation
	requestID     string
	first, second *arrival
}

// leakyBucket counts a customer's requests against its ceiling. Its level falls at the ceiling's rate.
type leakyBucket struct {
	level     float64 // number of requests in the bucket at updatedAt
	updatedAt time.Time
}

// commandArrived records a command that arrived at a server and evaluates the rules that need no later observation. The caller
// holds the backends' lock.
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

// checkForwarded checks the first attempt of a request whose client closed the connection before any attempt had arrived. The
// attempt must arrive at most forwardBound after the close, unless its first byte had left the gateway before the close.
func (r *ruleChecker) checkForwarded(c *standin.Command, a *arrival) {
	departedAt, departed := r.departedWaitingAt[c.ID]
	if !departed {
		return
	}
	r.departed.Forwarded++
	if delay := a.arrivedAt.Sub(departedAt); delay > forwardBound+timingTolerance && !a.sentBy(departedAt) {
		r.departed.ForwardedLate++
		r.addViolation(a.arrivedAt, ruleDeparted, c.ID, "forwarded %v after its client closed the connection, at %s", delay, formatClock(departedAt))
	}
}

// checkAttemptStart checks that the first byte of an attempt leaves the gateway at most attemptBound after the client closed the
// connection.
func (r *ruleChecker) checkAttemptStart(c *standin.Command, a *arrival) {
	departedAt, departed := r.departedAt[c.ID]
	if !departed {
		return
	}
	if delay := a.sentAt.Sub(departedAt); delay > attemptBound+timingTolerance {
		r.departed.AttemptsLate++
		r.addViolation(a.arrivedAt, ruleDeparted, c.ID, "its first byte left the gateway %v after its client closed the connection, at %s", delay, formatClock(departedAt))
	}
}

// checkRepeat checks an attempt against the earlier ones of its request. A request that is not idempotent must not be sent again
// once it may have run. One with an idempotency key may be sent again only while the servers deduplicate the key. Overlap of two
// attempts is checked later, by evaluatePairs.
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
		r.addViolation(a.arrivedAt, ruleRepeat, c.ID, "its key was sent again after %v; servers drop repeats for %v", elapsed, class.DedupWindow)
	}
}

// checkServer checks that a command's server is not free for maintenance, and has not been draining for longer than the grace
// period.
func (r *ruleChecker) checkServer(c *standin.Command, a *arrival) {
	if since, free := r.freeSince[a.server]; free {
		r.addViolation(a.arrivedAt, ruleFree, c.ID, "%s received it %v after it became free for maintenance", a.server, a.arrivedAt.Sub(since))
	}
	if since, draining := r.drainingSince[a.server]; draining && a.arrivedAt.Sub(since) > standin.DrainGrace+timingTolerance {
		r.addViolation(a.arrivedAt, ruleDrain, c.ID, "%s received it %v after discovery listed it as draining", a.server, a.arrivedAt.Sub(since))
	}
}

// checkCeiling counts the first attempt of a request against the hard ceiling of its plan. The customer's leaky bucket covers all
// gateways.
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
		r.addViolation(at, ruleCeiling, c.ID, "%s has sent %.0f requests beyond its ceiling's rate, expected at most %.0f", c.Customer, b.level, bound)
		b.level = 0 // an excess counts as one violation, not one for each further request
	}
}

// evaluatePairs checks pairs of attempts of a request for overlap: those that are ready at a time, or all pending ones if all is
// true.
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
			r.addViolation(now, ruleOverlap, c.requestID, "two attempts in flight at once, by %s to %s and by %s to %s", c.first.gateway, c.first.server,
				c.second.gateway, c.second.server)
		}
	}
	r.pendingPairs = pending
}
