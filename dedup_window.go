package dewhitch

// The deduplication window of a request with an idempotency key is how long a group of servers drops its
// repeats, from its first attempt on. It bounds not only when a repeat begins but how long any attempt is
// out: one that a slow connection, a partition or a stuck server holds up may still run when it gets
// through, and must then meet a server that remembers the other attempt.

// dedupWindowEnd is when the servers that may have run r forget it; false if no attempt may have run, or if
// r's class has no window.
func (r *request) dedupWindowEnd() (end Instant, bounded bool) {
	first := r.mayHaveRun()
	if first == nil || !afterMayHaveRun[r.class.Idempotency].withinDedupScope {
		return 0, false
	}
	return first.startedAt + Instant(r.class.DedupWindow), true
}

// deduplicated tells whether s drops a repeat of r, whose first attempt is given, as a repeat: it is in
// scope, within the window, and the attempts that are out end within the window of one that is sent now.
func (rules attemptRules) deduplicated(r *request, first *attempt, s *server) bool {
	window := Instant(r.class.DedupWindow)
	return r.class.DedupScope.same(s.Endpoint, first.server.Endpoint) &&
		rules.ctx.now-first.startedAt < window && rules.othersEndInWindow(r)
}

// othersEndInWindow tells whether the attempts of r that are out end within the window of one that is sent
// now.
func (rules attemptRules) othersEndInWindow(r *request) bool {
	return r.inFlight == 0 || rules.ctx.settings.MayCancel ||
		r.deadline <= rules.ctx.now+Instant(r.class.DedupWindow)
}

// cancelAtWindowEnd has the attempts of r that are out withdrawn at the end of the window of one that is
// sent now, which may run before they do.
func (c *attemptController) cancelAtWindowEnd(r *request) {
	end := c.ctx.now + Instant(r.class.DedupWindow)
	if r.inFlight == 0 || !c.ctx.settings.MayCancel || end >= r.deadline {
		return
	}
	earlier := len(r.attempts)
	c.ctx.setTimer(end, func() { c.requests.cancelAttempts(r, earlier) })
}
