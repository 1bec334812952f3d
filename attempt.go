package dewhitch

// attemptController starts the attempts of requests and handles their outcomes. It owns the counts of
// attempts in flight of requests, servers and accounts. Its rules are in retry.go, hedging.go and
// dedup_window.go; attempt_rules.go decides whether an attempt may start at all.
type attemptController struct {
	ctx         *stepContext
	requests    *requestTable
	rules       attemptRules
	traffic     *trafficStatistics
	slowStart   *slowStart
	outliers    *outlierDetector
	latency     *latencyEstimator
	balancer    *balancer
	shedder     *loadShedder
	retryBudget *retryBudget
	counter     *counterSync
}

// scantOutcomes are the outcomes of an attempt that ran out of time: at the gateway, or at a server that
// drops requests which are over.
var scantOutcomes = [OutcomeCount]bool{OutcomeTimeout: true, OutcomeRejected: true,
	OutcomeConnectFailed: true}

// start sends r to s, which the balancer must have selected for r during the current event.
func (c *attemptController) start(r *request, s *server) {
	c.scheduleHedge(r)
	endsBy := r.deadline
	if end, bounded := r.dedupWindowEnd(); bounded {
		endsBy = min(endsBy, end)
		c.cancelAtWindowEnd(r)
	}
	c.outliers.recordStart(s)
	s.inFlight++
	r.inFlight++
	r.account.openAttempts++
	c.traffic.recordAttempt()
	c.slowStart.spend(s)
	r.attempts = append(r.attempts, attempt{server: s, startedAt: c.ctx.now, concurrent: s.awaited() - 1,
		endsBy: endsBy, scant: c.shedder.isScant(r, endsBy)})
	timeout := Span(endsBy - c.ctx.now)
	c.ctx.emit(StartAttempt{Request: r.id, Server: s.ID, Timeout: timeout, StartWithin: timeout})
}

// handleAnswerStarted records that a server has begun to answer an attempt. Unless the class streams its
// answers, this is the success of the attempt: how long the rest takes depends on the client's speed.
func (c *attemptController) handleAnswerStarted(e AnswerStarted) {
	c.requests.answerStarted(e.Request)
	r := c.requests.byID[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) {
		return
	}
	a := &r.attempts[e.Attempt]
	if a.ended || a.answering || r.class.Streaming {
		return
	}
	a.answering = true
	a.server.answering++
	c.recordSuccess(r, a, e.Latency, Load{})
}

// recordSuccess adds a success to the statistics of the servers.
func (c *attemptController) recordSuccess(r *request, a *attempt, latency Span, load Load) {
	if latency <= r.class.Objective {
		c.traffic.recordAccept(r.evidence)
	}
	c.outliers.recordSuccess(a.server, r.classIndex)
	c.latency.observeClassLatency(r.classIndex, seconds(latency), a.concurrent)
	c.latency.observe(r.classIndex, a, seconds(latency), load)
}

// handleOutcome processes the outcome of an attempt. A request that still requires an answer then gets
// another attempt or is given up. Outcomes of unknown and of already ended attempts are ignored.
func (c *attemptController) handleOutcome(e AttemptEnded) {
	r := c.requests.byID[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	a.ended = true
	a.outcome = e.Outcome
	c.release(r, a)
	r.observed = max(r.observed, observedBy(r, a, e))
	c.recordOutcome(r, a, e)
	c.correctUnits(r, e)
	if e.Final || e.Outcome == OutcomeOK {
		c.requests.finish(r, nil)
	}
	switch {
	case r.inFlight > 0:
	case r.done:
		c.requests.forgetIfIdle(r)
	case !c.retry(r):
		c.giveUp(r)
	}
	if r.done && r.inFlight == 0 && r.observed < r.evidence {
		c.traffic.withdraw(r.evidence-r.observed, r.arrivedAt)
	}
}

// observedBy returns how much of r's evidence an outcome gives: none if the attempt was not sent, because a
// shortage here says nothing about a server, and as much as a client with that little time would give if the
// attempt was cancelled.
func observedBy(r *request, a *attempt, e AttemptEnded) float64 {
	switch {
	case e.Outcome == OutcomeNotSent:
		return 0
	case e.Outcome == OutcomeCancelled && !a.answering:
		return min(r.evidence, evidenceOf(r.class, e.Latency))
	}
	return r.evidence
}

// release removes an ended attempt from the counts of attempts in flight.
func (c *attemptController) release(r *request, a *attempt) {
	a.server.inFlight--
	if a.answering {
		a.server.answering--
	}
	r.inFlight--
	r.account.openAttempts--
	if r.streaming {
		r.account.streamingAttempts--
		r.streaming = false
	}
}

// recordOutcome adds an outcome to the statistics of the servers. It ignores attempts that this gateway
// cancelled or never sent, and those that ran out of scant time: they contain no information on a server.
func (c *attemptController) recordOutcome(r *request, a *attempt, e AttemptEnded) {
	if e.Outcome == OutcomeNotSent || e.Outcome == OutcomeCancelled {
		return
	}
	if e.Outcome == OutcomeOK {
		if !a.answering { // otherwise the success is recorded
			c.recordSuccess(r, a, e.Latency, e.Load)
		}
		return
	}
	if a.scant && scantOutcomes[e.Outcome] {
		return
	}
	// An error, a timeout, a reset or a failed connect makes the server an outlier, unless recordFailure does
	// not count it. If these failures counted as latency, a few failed servers would raise the mean until every
	// request is shed. Rejections count as latency nevertheless.
	outlier := c.outliers.recordFailure(r.classIndex, a)
	if outlier && e.Outcome != OutcomeRejected {
		return
	}
	c.latency.observe(r.classIndex, a, c.latency.failureLatency(a, seconds(e.Latency)), e.Load)
}

// correctUnits replaces the units of a request with those that its answer reports, where the settings define
// units as an estimate.
func (c *attemptController) correctUnits(r *request, e AttemptEnded) {
	if e.Outcome == OutcomeOK && c.ctx.settings.UnitsCorrected && e.TrueUnits > 0 && r.withinQuota {
		c.counter.spend(r.account, e.TrueUnits-r.units)
		r.units = e.TrueUnits
	}
}
