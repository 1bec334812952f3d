package dewhitch

// attempt is one sending of a request to a server.
type attempt struct {
	server         *server
	startedAt      Instant
	concurrent     int  // attempts that this gateway had out there when it started
	failureCounted bool // as a failure of its server
	ended          bool
	outcome        Outcome // once ended
}

// request is a request, a limit query or a limit adjustment, from its arrival until it has its final answer
// and no attempt is out.
type request struct {
	id             RequestID
	classIndex     int
	class          *Class // nil: a limit query, or units given back
	account        *account
	units          float64
	unitsOnly      bool    // takes units from the quota, and is not forwarded
	withinQuota    bool    // its units are spent
	consumedBefore float64 // units that the customer had consumed at this gateway when it came
	objective      Instant // latency objective
	deadline       Instant // the client gives up then
	attempts       []attempt
	inFlight       int  // of attempts
	done           bool // it has its final answer, or owes none
	streaming      bool // its answer has begun, and its attempt is out until the answer has ended
}

// mayHaveRun is the first attempt that may have run or may yet run, or nil.
func (r *request) mayHaveRun() *attempt {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.ended || outcomeMayHaveRun[a.outcome] {
			return a
		}
	}
	return nil
}

// requestTable holds the open requests and gives each at most one final answer.
type requestTable struct {
	ctx  *stepContext
	byID map[RequestID]*request
}

// finish ends r with a final answer, or without one if answer is nil, and withdraws the attempts that are
// out. A request that has its answer stays as it is.
func (t *requestTable) finish(r *request, answer Action) {
	if r.done {
		return
	}
	r.done = true
	if answer != nil {
		t.ctx.emit(answer)
	}
	if t.ctx.settings.MayCancel {
		t.cancelAttempts(r, len(r.attempts))
	}
	t.forgetIfIdle(r)
}

// cancelAttempts cancels those of r's first n attempts that are out. The settings must allow it.
func (t *requestTable) cancelAttempts(r *request, n int) {
	for i := range n {
		if !r.attempts[i].ended {
			t.ctx.emit(CancelAttempt{Request: r.id, Attempt: i})
		}
	}
}

// forgetIfIdle drops r, which is done, unless attempts are out.
func (t *requestTable) forgetIfIdle(r *request) {
	if r.inFlight == 0 {
		delete(t.byID, r.id)
	}
}

// reject ends r with a rejection, which tells the client that it may send the request again.
func (t *requestTable) reject(r *request, v verdict) {
	retryAfter := max(0, min(v.retryAfter, t.ctx.settings.MaxRetryAfter))
	t.finish(r, Reject{Request: r.id, Reason: v.reason, RetryAfter: retryAfter})
}

// answerStarted notes that a streamed answer goes to the client, which owns the attempt from now on.
func (t *requestTable) answerStarted(id RequestID) {
	r := t.byID[id]
	if r == nil {
		return
	}
	if !r.streaming {
		r.account.streamingAttempts++
	}
	r.streaming = true
	r.done = true
}

// clientDeparted ends a request without an answer.
func (t *requestTable) clientDeparted(id RequestID) {
	if r := t.byID[id]; r != nil {
		t.finish(r, nil)
	}
}
