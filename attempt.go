package dewhitch

// attemptController starts the attempts of requests and takes their outcomes. It owns the counts of attempts
// in flight of requests, servers and accounts. Its rules stand in retry.go, hedging.go and dedup_window.go;
// whether an attempt may start at all, in attempt_rules.go.
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

// start sends r to s, which the balancer has just chosen for it.
func (c *attemptController) start(r *request, s *server) {
	c.scheduleHedge(r)
	until := r.deadline
	if end, bounded := r.dedupWindowEnd(); bounded {
		until = min(until, end)
		c.cancelAtWindowEnd(r)
	}
	c.outliers.recordStart(s)
	s.inFlight++
	r.inFlight++
	r.account.openAttempts++
	c.traffic.recordAttempt()
	c.slowStart.spend(s)
	r.attempts = append(r.attempts, attempt{server: s, startedAt: c.ctx.now, concurrent: s.inFlight - 1})
	left := Span(until - c.ctx.now)
	c.ctx.emit(StartAttempt{Request: r.id, Server: s.ID, Timeout: left, StartWithin: left})
}

// handleOutcome takes the outcome of an attempt. A request that still owes its answer then gets another attempt, or
// is given up. An outcome that is unknown or known already is ignored.
func (c *attemptController) handleOutcome(e AttemptEnded) {
	r := c.requests.byID[e.Request]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := &r.attempts[e.Attempt]
	a.ended = true
	a.outcome = e.Outcome
	c.release(r, a.server)
	c.learn(r, a, e)
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
}

// release takes an attempt that has ended off the counts of attempts in flight.
func (c *attemptController) release(r *request, s *server) {
	s.inFlight--
	r.inFlight--
	r.account.openAttempts--
	if r.streaming {
		r.account.streamingAttempts--
		r.streaming = false
	}
}

// learn takes an outcome into the statistics of the servers. What this gateway withdrew or never sent says
// nothing of a server.
func (c *attemptController) learn(r *request, a *attempt, e AttemptEnded) {
	if e.Outcome == OutcomeNotSent || e.Outcome == OutcomeCancelled {
		return
	}
	latency := seconds(e.Latency)
	if e.Outcome == OutcomeOK {
		c.traffic.recordAnswer(e.Latency <= r.class.Objective)
		c.outliers.recordSuccess(a.server, r.classIndex)
		c.latency.observeClassSize(r.classIndex, latency, a.concurrent)
	} else {
		// A silent server is an outlier. Taken as slowness of all, a few dead ones would have everything shed.
		silent := c.outliers.recordFailure(r.classIndex, a)
		if silent && e.Outcome != OutcomeRejected {
			return
		}
		latency = c.latency.failureLatency(latency)
	}
	c.latency.observe(r.classIndex, a, latency, e.Load)
}

// correctUnits replaces the units of a request by those that its answer reports, where units are an estimate.
func (c *attemptController) correctUnits(r *request, e AttemptEnded) {
	if e.Outcome == OutcomeOK && c.ctx.settings.UnitsCorrected && e.TrueUnits > 0 && r.withinQuota {
		c.counter.spend(r.account, e.TrueUnits-r.units)
		r.units = e.TrueUnits
	}
}
