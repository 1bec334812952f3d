package dewhitch

// attempt is one transmission of a request to a server.
type attempt struct {
	server         *server
	startedAt      Instant
	concurrent     int  // number of the server's other attempts that awaited an answer at the start
	failureCounted bool // the attempt is counted as a failure of its server
	endsBy         Instant
	scant          bool // the attempt may end before a healthy server answers
	answering      bool // the server has begun to answer; the client may read the rest slowly
	ended          bool
	outcome        Outcome // valid once the attempt has ended
}

// request is a request, a limit query or a limit adjustment, from its arrival until it has its final answer
// and no attempt is in flight.
type request struct {
	id             RequestID
	classIndex     int
	class          *Class // nil for limit queries and returned units
	account        *account
	units          float64
	unitsOnly      bool    // the request takes units from the quota and is not forwarded
	withinQuota    bool    // the units of the request are taken from the quota
	consumedBefore float64 // units that the customer had consumed here when the limit query arrived
	evidence       float64 // how much the outcome can say about the servers, from 0 to 1
	observed       float64 // how much its attempts have said, up to evidence
	arrivedAt      Instant
	objective      Instant // time at which the latency objective ends
	deadline       Instant // time at which the client gives up
	attempts       []attempt
	inFlight       int  // number of attempts that have not ended
	done           bool // the final answer is emitted, or none is required
	streaming      bool // the answer has begun; its attempt is in flight until the answer has ended
}

// firstMayHaveRun returns the first attempt that may have run or may still run. It returns nil if there is
// none.
func (r *request) firstMayHaveRun() *attempt {
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.ended || outcomeMayHaveRun[a.outcome] {
			return a
		}
	}
	return nil
}

// requestTable holds the open requests and emits at most one final answer for each.
type requestTable struct {
	ctx  *stepContext
	byID map[RequestID]*request
}

// finish ends r with a final answer, or without one if answer is nil, and cancels the attempts in flight if
// the settings allow it. It has no effect on a request that is done.
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

// cancelAttempts cancels those of r's first n attempts that are in flight. The settings must allow it.
func (t *requestTable) cancelAttempts(r *request, n int) {
	for i := range n {
		if !r.attempts[i].ended {
			t.ctx.emit(CancelAttempt{Request: r.id, Attempt: i})
		}
	}
}

// forgetIfIdle removes r, which must be done, from the table unless attempts are in flight.
func (t *requestTable) forgetIfIdle(r *request) {
	if r.inFlight == 0 {
		delete(t.byID, r.id)
	}
}

// reject ends r with a rejection, which allows the client to send the request again.
func (t *requestTable) reject(r *request, v verdict) {
	retryAfter := max(0, min(v.retryAfter, t.ctx.settings.MaxRetryAfter))
	t.finish(r, Reject{Request: r.id, Reason: v.reason, RetryAfter: retryAfter})
}

// answerStarted records that a streamed answer has begun. The request needs no further answer.
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

// clientDeparted ends a request whose client has disconnected. No answer is required.
func (t *requestTable) clientDeparted(id RequestID) {
	if r := t.byID[id]; r != nil {
		t.finish(r, nil)
	}
}
