package dewhitch

import "math"

const (
	maxAttemptInterval = 2.0    // seconds between two attempts on a server: bounds the aperture
	minAperture        = 6      // servers
	minAttemptRate     = 1e-3   // attempts a second: bounds the interval of a gateway without traffic
	denseInterval      = second // between two attempts on a server: from there on its estimate is current
)

// aperture bounds the servers that this gateway uses, by its own traffic: with more of them it would see each
// too seldom to estimate its load.
type aperture struct {
	endpoints *endpointSet
	traffic   *trafficStatistics
}

// size is how many servers this gateway uses, the first by rank.
func (a *aperture) size() int {
	return min(len(a.endpoints.servers), max(minAperture, int(a.traffic.attemptRate()*maxAttemptInterval)))
}

// attemptInterval is the mean time in seconds between two attempts of this gateway on one server.
func (a *aperture) attemptInterval() float64 {
	return float64(a.size()) / max(minAttemptRate, a.traffic.attemptRate())
}

// sparsity is how little this gateway sees of a server, and how old its estimates are: near 1 if it seldom
// sends there, near 0 if it sends all the time.
func (a *aperture) sparsity() float64 {
	return 1 / (1 + math.Pow(seconds(denseInterval)/a.attemptInterval(), 2))
}
