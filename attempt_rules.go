package dewhitch

// What may follow an attempt, by two tables: whether an attempt with an outcome may have run, and what a
// request of an idempotency allows if one may have. An attempt that is out may run.
var (
	outcomeMayHaveRun = [OutcomeCount]bool{OutcomeOK: true, OutcomeError: true, OutcomeTimeout: true,
		OutcomeReset: true, OutcomeCancelled: true}
	afterMayHaveRun = [...]followUp{
		Idempotent:      {retry: true, reject: true},
		IdempotentByKey: {retry: true, withinDedupScope: true, reject: true},
		NotIdempotent:   {},
	}
)

// followUp is what may follow an attempt that may have run.
type followUp struct {
	retry            bool // a further attempt
	withinDedupScope bool // but only within the deduplication scope and window of the first
	reject           bool // a rejection; if scoped, only where all servers are in scope
}

// attemptRules decides whether a request may get one more attempt. It only reads the request.
type attemptRules struct{ ctx *stepContext }

// attemptsLeft tells whether r is open and has had fewer attempts than MaxAttempts.
func (rules attemptRules) attemptsLeft(r *request) bool {
	return !r.done && len(r.attempts) < rules.ctx.settings.MaxAttempts
}

// mayOverlap is the rule that no two attempts of a request are out together unless the settings allow it.
func (rules attemptRules) mayOverlap(r *request) bool {
	return r.inFlight == 0 || rules.ctx.settings.ParallelAttempts
}

// mayAttempt decides whether a further attempt of r on s may start: it must not run a request twice where
// that would have an effect twice.
func (rules attemptRules) mayAttempt(r *request, s *server) bool {
	if !rules.attemptsLeft(r) || !rules.mayOverlap(r) {
		return false
	}
	first := r.mayHaveRun()
	if first == nil {
		return true
	}
	allowed := afterMayHaveRun[r.class.Idempotency]
	return allowed.retry && (!allowed.withinDedupScope || rules.deduplicated(r, first, s))
}

// mayReject decides whether r may end with a rejection, after which the client may send it again.
func (r *request) mayReject() bool {
	if r.mayHaveRun() == nil {
		return true
	}
	allowed := afterMayHaveRun[r.class.Idempotency]
	return allowed.reject && (!allowed.withinDedupScope || r.class.DedupScope == DedupAll)
}
