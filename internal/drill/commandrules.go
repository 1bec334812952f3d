package drill

import (
	"time"

	"dewhitch/internal/standin"
)

// pairCheck is a check of two attempts of a request that waits until both of their ends are known.
type pairCheck struct {
	readyAt       time.Time
	id            string // of the request
	first, second *arrival
}

// leakyBucket is the level of a customer's ceiling, in requests.
type leakyBucket struct {
	level float64
	at    time.Time // of the level
}

// commandArrived records a command at a server and checks what can be checked at once. It is called under the backends' lock.
func (j *ruleChecker) commandArrived(c *standin.Command, a *arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	h := j.histories[c.ID]
	if h == nil {
		h = &commandHistory{class: c.Class}
		j.histories[c.ID] = h
		j.checkCeiling(c, a.arrivedAt)
		j.checkForwarded(c, a)
	}
	j.checkAttemptStart(c, a)
	j.arrivalsByServer[a.server] = append(j.arrivalsByServer[a.server], a.arrivedAt)
	p := path{a.gateway, a.server}
	j.arrivalsByPath[p] = append(j.arrivalsByPath[p], a.arrivedAt)
	j.checkRepeat(c, a, h)
	j.checkServer(c, a)
}

// checkForwarded checks the first attempt of a request whose client left while it waited: it must not arrive after forwardBound, unless
// its first byte had been sent before.
func (j *ruleChecker) checkForwarded(c *standin.Command, a *arrival) {
	leftAt, left := j.leftWaitingAt[c.ID]
	if !left {
		return
	}
	j.leftCounts.Forwarded++
	if late := a.arrivedAt.Sub(leftAt); late > forwardBound+timingTolerance && !a.sentBy(leftAt) {
		j.leftCounts.ForwardedLate++
		j.addViolation(a.arrivedAt, ruleLeft, c.ID, "sent on %v after its client had left, at %s", late, formatClock(leftAt))
	}
}

// checkAttemptStart checks that the first byte of an attempt is not sent after the client left, beyond attemptBound.
func (j *ruleChecker) checkAttemptStart(c *standin.Command, a *arrival) {
	leftAt, left := j.leftAt[c.ID]
	if !left {
		return
	}
	if late := a.sentAt.Sub(leftAt); late > attemptBound+timingTolerance {
		j.leftCounts.AttemptsLate++
		j.addViolation(a.arrivedAt, ruleLeft, c.ID, "its first byte left the gateway %v after its client had left, at %s", late, formatClock(leftAt))
	}
}

// checkRepeat checks an attempt against the earlier ones of the request: a request that is not idempotent may not be sent again once it
// may have run, and one with an idempotency key only within the window of the servers. Whether two attempts overlap is checked later.
func (j *ruleChecker) checkRepeat(c *standin.Command, a *arrival, h *commandHistory) {
	class, known := j.classes[c.Class]
	for _, before := range h.arrivals {
		j.checks = append(j.checks, pairCheck{a.arrivedAt.Add(pairDelay), c.ID, before, a})
		if before.mayHaveRun && known && class.Effect == "unsafe" {
			j.addViolation(a.arrivedAt, ruleRepeat, c.ID, "sent again, though it may have run")
		}
	}
	h.arrivals = append(h.arrivals, a)
	if !known || class.Effect != "keyed" || !a.mayHaveRun {
		return
	}
	key := c.Customer + " " + c.Key
	first := j.firstByKey[key]
	if first == nil {
		j.firstByKey[key] = a
		return
	}
	if late := a.arrivedAt.Sub(first.arrivedAt); late > class.DedupWindow+timingTolerance {
		j.addViolation(a.arrivedAt, ruleRepeat, c.ID, "its key came again after %v, and servers drop a repeat for %v", late, class.DedupWindow)
	}
}

// checkServer checks that a command's server is neither free for maintenance nor draining.
func (j *ruleChecker) checkServer(c *standin.Command, a *arrival) {
	if since, free := j.freeSince[a.server]; free {
		j.addViolation(a.arrivedAt, ruleFree, c.ID, "%s was sent it %v after it was free", a.server, a.arrivedAt.Sub(since))
	}
	if since, draining := j.drainingSince[a.server]; draining && a.arrivedAt.Sub(since) > standin.DrainGrace+timingTolerance {
		j.addViolation(a.arrivedAt, ruleDrain, c.ID, "%s was sent it %v after it was told to drain", a.server, a.arrivedAt.Sub(since))
	}
}

// checkCeiling counts the first attempt of a request against the hard ceiling of its plan, as a leaky bucket over all gateways.
func (j *ruleChecker) checkCeiling(c *standin.Command, at time.Time) {
	p, ok := j.plans[c.Plan]
	if !ok || p.CapRate == 0 {
		return
	}
	b := j.ceilings[c.Customer]
	if b == nil {
		b = &leakyBucket{at: at}
		j.ceilings[c.Customer] = b
	}
	if at.After(b.at) {
		b.level = max(0, b.level-at.Sub(b.at).Seconds()*p.CapRate)
		b.at = at
	}
	b.level++
	if bound := p.HardBurst + p.Tolerance + p.CapRate*ceilingTolerance.Seconds(); b.level > bound {
		j.addViolation(at, ruleCeiling, c.ID, "%s has %.0f beyond its ceiling's rate, %.0f at most", c.Customer, b.level, bound)
		b.level = 0 // one excess is one violation
	}
}

// evaluatePairs checks pairs of attempts of a request that were in flight at once: those whose ends are known by now, or all.
func (j *ruleChecker) evaluatePairs(now time.Time, all bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	pending := j.checks[:0]
	for _, c := range j.checks {
		if !all && now.Before(c.readyAt) {
			pending = append(pending, c)
			continue
		}
		if l := c.first.overAt(); l.IsZero() || l.Sub(c.second.arrivedAt) > timingTolerance {
			j.addViolation(now, ruleTwoOut, c.id, "two fetches out at once, by %s to %s and by %s to %s", c.first.gateway, c.first.server,
				c.second.gateway, c.second.server)
		}
	}
	j.checks = pending
}
