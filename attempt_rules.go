package dewhitch

// These tables define what may follow an attempt: the first one which outcomes mean that an attempt may have
// run, the second one what each idempotency then allows. An attempt in flight counts as one that may run.
var (
	outcomeMayHaveRun = [OutcomeCount]bool{OutcomeOK: true, OutcomeError: true, OutcomeTimeout: true,
		OutcomeReset: true, OutcomeCancelled: true}
	followUpByIdempotency = [...]followUp{
		Idempotent:      {retry: true, reject: true},
		IdempotentByKey: {retry: true, withinDedupScope: true, reject: true},
		NotIdempotent:   {},
	}
)

// followUp defines what may follow an attempt that may have run.
type followUp struct {
	retry            bool // a further attempt is allowed
	withinDedupScope bool // further attempts must be within the deduplication scope and window of the first
	reject           bool // a rejection is allowed; with withinDedupScope, only if the scope is all servers
}

// attemptRules decides whether a request may get another attempt. It does not modify the request.
type attemptRules struct{ ctx *stepContext }

// attemptsRemaining returns true if r is open and has had fewer than MaxAttempts attempts.
func (rules attemptRules) attemptsRemaining(r *request) bool {
	return !r.done && len(r.attempts) < rules.ctx.settings.MaxAttempts
}

// mayOverlap returns true if no attempt of r is in flight, or if the settings allow attempts of a request in
// parallel.
func (rules attemptRules) mayOverlap(r *request) bool {
	return r.inFlight == 0 || rules.ctx.settings.ParallelAttempts
}

// mayAttempt returns true if a further attempt of r on s may start. A request must not run twice if that
// would have an effect twice.
func (rules attemptRules) mayAttempt(r *request, s *server) bool {
	if !rules.attemptsRemaining(r) || !rules.mayOverlap(r) {
		return false
	}
	first := r.firstMayHaveRun()
	if first == nil {
		return true
	}
	allowed := followUpByIdempotency[r.class.Idempotency]
	return allowed.retry && (!allowed.withinDedupScope || rules.isDeduplicated(r, first, s))
}

// mayReject returns true if r may end with a rejection, after which the client may send it again.
func (r *request) mayReject() bool {
	if r.firstMayHaveRun() == nil {
		return true
	}
	allowed := followUpByIdempotency[r.class.Idempotency]
	return allowed.reject && (!allowed.withinDedupScope || r.class.DedupScope == DedupAll)
}
