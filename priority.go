package dewhitch

const (
	minPriority        = 1e-6  // weight of a class that is configured with none
	priorityMeanWeight = 0.025 // weight of one request in the mean priority
	reservedFraction   = 0.7   // fraction of the burst that a request of priority 0 leaves to other requests
)

// priorities ranks requests by their weight relative to the latency of their class.
type priorities struct {
	latency *latencyEstimator
	mean    float64 // exponential moving average over the requests that reached load shedding
}

// priorityOf returns the priority of a request: the weight of its class divided by the latency of that class,
// which is expressed as a multiple of the mean latency.
func (p *priorities) priorityOf(r *request) float64 {
	return max(r.class.Weight, minPriority) / p.latency.classLatencyRatio[r.classIndex]
}

// observe adds the priority of a request to the mean.
func (p *priorities) observe(r *request) {
	p.mean += priorityMeanWeight * (p.priorityOf(r) - p.mean)
}

// reservedFor returns the fraction of a customer's burst that r leaves to requests of higher priority, which
// would otherwise find the quota spent by earlier requests. A LimitAdjust leaves nothing: its units are for
// unknown work, and it may take all that a limit query reports.
func (p *priorities) reservedFor(r *request) float64 {
	if r.unitsOnly {
		return 0
	}
	return reservedFraction * max(0, 1-p.priorityOf(r)/p.mean)
}
