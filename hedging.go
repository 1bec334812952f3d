package dewhitch

const hedgeFraction = 0.5 // fraction of the latency objective after which an unanswered attempt is hedged

// scheduleHedge sets the timer that hedges the next attempt of r, unless the objective ends before that.
func (c *attemptController) scheduleHedge(r *request) {
	attemptNumber := len(r.attempts) + 1
	hedgeAt := c.ctx.now + Instant(hedgeFraction*float64(r.class.Objective))
	if hedgeAt < r.objective {
		c.ctx.setTimer(hedgeAt, func() { c.hedge(r, attemptNumber) })
	}
}

// hedge sends r to another server if the n-th attempt of r is its last one and unanswered, and its server is
// unresponsive: it has served no other request of the class since the attempt started. An attempt
// that is only slow is not hedged, because hedging would add to an overload. The new attempt runs in parallel
// to the n-th or, where the settings forbid that, replaces it.
func (c *attemptController) hedge(r *request, n int) {
	last := &r.attempts[n-1]
	if r.done || last.ended {
		return
	}
	unresponsive := c.outliers.recordFailure(r.classIndex, last)
	if !unresponsive || !c.mayHedge(r, n) {
		return
	}
	if c.ctx.settings.ParallelAttempts {
		c.retry(r)
	} else if c.ctx.settings.MayCancel && c.retryBudget.available() {
		c.ctx.emit(CancelAttempt{Request: r.id, Attempt: n - 1})
	}
}

// mayHedge returns true if another attempt may follow the n-th attempt of r while that is in flight. If all
// servers are slow and each gets few requests from this gateway, every wait looks like an unresponsive
// server. So nothing is hedged while the mean latency of the class exceeds the threshold at which load
// shedding rejects requests beyond the quota at mean priority.
func (c *attemptController) mayHedge(r *request, n int) bool {
	if !followUpByIdempotency[r.class.Idempotency].retry || len(r.attempts) != n ||
		!c.rules.attemptsRemaining(r) {
		return false
	}
	expected := c.latency.mean * c.latency.classLatencyRatio[r.classIndex]
	return expected <= beyondQuotaFraction*objectiveFraction*seconds(r.class.Objective)
}
