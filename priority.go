package dewhitch

const (
	minPriority        = 1e-6  // weight of a class that is configured with none
	priorityMeanWeight = 0.025 // of a request in the mean priority
	reservedFraction   = 0.7   // of the burst: what a request of no priority leaves to others
)

// priorities ranks requests by the weight that they earn for the work that they are.
type priorities struct {
	latency *latencyEstimator
	mean    float64 // exponential moving average over the requests that came to load shedding
}

// priorityOf is the priority of a request.
func (p *priorities) priorityOf(r *request) float64 {
	return max(r.class.Weight, minPriority) / p.latency.classSize[r.classIndex]
}

// observe takes a request into the mean.
func (p *priorities) observe(r *request) {
	p.mean += priorityMeanWeight * (p.priorityOf(r) - p.mean)
}

// reservedFor is the fraction of a customer's burst that r leaves to requests of higher priority, which
// would otherwise find the quota spent by those that came first. Units that are taken alone are for work
// unknown, and leave nothing: they may have all that a limit query reports.
func (p *priorities) reservedFor(r *request) float64 {
	if r.unitsOnly {
		return 0
	}
	return reservedFraction * max(0, 1-p.priorityOf(r)/p.mean)
}
