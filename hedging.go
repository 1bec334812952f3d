package dewhitch

const hedgeFraction = 0.5 // of the latency objective: an attempt that is unanswered for so long is hedged

// scheduleHedge has the next attempt of r hedged, if its objective lasts that long.
func (c *attemptController) scheduleHedge(r *request) {
	next := len(r.attempts) + 1
	at := c.ctx.now + Instant(hedgeFraction*float64(r.class.Objective))
	if at < r.objective {
		c.ctx.setTimer(at, func() { c.hedge(r, next) })
	}
}

// hedge sends r to another server when its n-th attempt, its last, is unanswered and its server is silent,
// that is, has served no other request of the class since: an attempt that is only slow is left alone, as
// hedging would add to an overload. The other attempt runs beside it, or, where no two may be out, in its
// place.
func (c *attemptController) hedge(r *request, n int) {
	last := &r.attempts[n-1]
	if r.done || last.ended {
		return
	}
	silent := c.outliers.recordFailure(r.classIndex, last)
	if !silent || !c.mayHedge(r, n) {
		return
	}
	if c.ctx.settings.ParallelAttempts {
		c.retry(r)
	} else if c.ctx.settings.MayCancel && c.retryBudget.available() {
		c.ctx.emit(CancelAttempt{Request: r.id, Attempt: n - 1})
	}
}

// mayHedge decides whether the n-th attempt of r may be followed while it is out. Where all servers are slow
// and each gets little from this gateway, every wait looks like silence: so nothing is hedged while a mean
// attempt takes more than the threshold of load shedding beyond the quota, at mean priority.
func (c *attemptController) mayHedge(r *request, n int) bool {
	if !afterMayHaveRun[r.class.Idempotency].retry || len(r.attempts) != n || !c.rules.attemptsLeft(r) {
		return false
	}
	expected := c.latency.mean * c.latency.classLatencyRatio[r.classIndex]
	return expected <= beyondQuotaFraction*objectiveFraction*seconds(r.class.Objective)
}
