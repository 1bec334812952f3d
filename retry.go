package dewhitch

const (
	retryBudgetPerRequest = 0.1  // retries added to the budget for each admitted request
	maxRetryBudget        = 10.0 // largest number of retries in the budget
)

// retryBudget is a token bucket for retries and hedged requests. Only admitted requests fill it: rejected
// requests are sent again by their clients and would fill it when it has to be empty.
type retryBudget struct{ tokens float64 }

func (b *retryBudget) deposit() { b.tokens = min(maxRetryBudget, b.tokens+retryBudgetPerRequest) }

// available returns true if the budget holds at least one retry.
func (b *retryBudget) available() bool { return b.tokens >= 1 }

func (b *retryBudget) spend() { b.tokens-- }

// retry starts another attempt of r if the retry budget and the attempt rules allow it and its answer is
// expected within the latency objective and the client's time and, if there is one, within the deduplication
// window. It returns true if the attempt has started.
func (c *attemptController) retry(r *request) bool {
	answerBy := min(r.objective, r.deadline)
	if end, bounded := r.dedupWindowEnd(); bounded {
		answerBy = min(answerBy, end)
	}
	remaining := seconds(answerBy - c.ctx.now)
	s, expected := c.balancer.pick(r, remaining)
	if !c.retryBudget.available() || s == nil || expected > remaining {
		return false
	}
	c.retryBudget.spend()
	c.start(r, s)
	return true
}

// giveUp ends r with a rejection if the client may send it again, and otherwise as failed.
func (c *attemptController) giveUp(r *request) {
	if r.mayReject() {
		c.requests.reject(r, deny(ReasonExhausted, c.shedder.retryAfter(r, 1)))
	} else {
		c.requests.finish(r, Fail{Request: r.id, Reason: ReasonExhausted})
	}
}
