package dewhitch

// The deduplication window of a request with an idempotency key is the time, from its first attempt on, in
// which a group of servers drops repeats of it. It limits when a repeat may start and also how long any
// attempt may be in flight: an attempt that a slow connection, a partition or a stuck server delays may
// still run when it arrives, and must then reach a server that remembers the other attempt.

// dedupWindowEnd returns the time at which the servers that may have run r forget it. It returns false if no
// attempt may have run, or if the class of r has no window.
func (r *request) dedupWindowEnd() (end Instant, bounded bool) {
	first := r.firstMayHaveRun()
	if first == nil || !followUpByIdempotency[r.class.Idempotency].withinDedupScope {
		return 0, false
	}
	return first.startedAt + Instant(r.class.DedupWindow), true
}

// isDeduplicated returns true if s would drop a repeat of r that starts now, where first is the first attempt
// that may have run: s is in the deduplication scope of its server, its window has not ended, and the
// attempts in flight end within the window of an attempt that starts now.
func (rules attemptRules) isDeduplicated(r *request, first *attempt, s *server) bool {
	window := Instant(r.class.DedupWindow)
	return r.class.DedupScope.covers(s.Endpoint, first.server.Endpoint) &&
		rules.ctx.now-first.startedAt < window && rules.othersEndInWindow(r)
}

// othersEndInWindow returns true if the attempts of r in flight end within the window of an attempt that
// starts now.
func (rules attemptRules) othersEndInWindow(r *request) bool {
	return r.inFlight == 0 || rules.ctx.settings.MayCancel ||
		r.deadline <= rules.ctx.now+Instant(r.class.DedupWindow)
}

// cancelAtWindowEnd sets a timer that cancels the attempts of r in flight. It fires at the end of the window
// of an attempt that starts now, which may run before they do.
func (c *attemptController) cancelAtWindowEnd(r *request) {
	end := c.ctx.now + Instant(r.class.DedupWindow)
	if r.inFlight == 0 || !c.ctx.settings.MayCancel || end >= r.deadline {
		return
	}
	earlierAttempts := len(r.attempts)
	c.ctx.setTimer(end, func() { c.requests.cancelAttempts(r, earlierAttempts) })
}
