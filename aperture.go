package dewhitch

import "math"

const (
	maxAttemptInterval      = 2.0    // longest mean seconds between attempts on a server; limits the aperture
	minAperture             = 6      // smallest number of servers in the aperture
	minAttemptRate          = 1e-3   // attempts a second; limits the interval of a gateway without traffic
	currentEstimateInterval = second // time between attempts on a server up to which its estimate is current
)

// aperture limits the number of servers that this gateway uses, in proportion to its own traffic. With more
// servers, it would send to each too rarely to estimate the server's load.
type aperture struct {
	endpoints *endpointSet
	traffic   *trafficStatistics
}

// size returns the number of servers that this gateway uses, which are the first by rank.
func (a *aperture) size() int {
	return min(len(a.endpoints.servers), max(minAperture, int(a.traffic.attemptRate()*maxAttemptInterval)))
}

// attemptInterval returns the mean time in seconds between two attempts of this gateway on one server.
func (a *aperture) attemptInterval() float64 {
	return float64(a.size()) / max(minAttemptRate, a.traffic.attemptRate())
}

// sparsity measures how rarely this gateway sends to a server, and so how old the estimate of the server is:
// near 1 if this gateway sends rarely, near 0 if it sends continuously.
func (a *aperture) sparsity() float64 {
	return 1 / (1 + math.Pow(seconds(currentEstimateInterval)/a.attemptInterval(), 2))
}
