package dewhitch

const (
	retryBudgetPerRequest = 0.1  // retries for each admitted request
	maxRetryBudget        = 10.0 // retries at once
)

// retryBudget is a token bucket of retries and hedged requests, filled by admitted requests: those that are
// rejected come again, and would fill it when it has to be empty.
type retryBudget struct{ tokens float64 }

func (b *retryBudget) deposit() { b.tokens = min(maxRetryBudget, b.tokens+retryBudgetPerRequest) }

func (b *retryBudget) available() bool { return b.tokens >= 1 }

func (b *retryBudget) spend() { b.tokens-- }

// retry starts one more attempt of r if the retry budget and the attempt rules allow it and it should be
// answered within the latency objective, and within the deduplication window if there is one.
func (c *attemptController) retry(r *request) bool {
	by := r.objective
	if end, bounded := r.dedupWindowEnd(); bounded {
		by = min(by, end)
	}
	left := seconds(by - c.ctx.now)
	s, expected := c.balancer.pick(r, left)
	if !c.retryBudget.available() || s == nil || expected > left {
		return false
	}
	c.retryBudget.spend()
	c.start(r, s)
	return true
}

// giveUp ends r with a rejection, if the client may send it again, or else as failed.
func (c *attemptController) giveUp(r *request) {
	if r.mayReject() {
		c.requests.reject(r, deny(ReasonExhausted, c.shedder.retryAfter(r, 1)))
	} else {
		c.requests.finish(r, Fail{Request: r.id, Reason: ReasonExhausted})
	}
}
