package dewhitch

// EndpointState is the state of a server in the endpoint list.
type EndpointState int

// The states of a server in the endpoint list.
const (
	Ready    EndpointState = iota // takes new attempts
	Draining                      // finishes its open attempts and takes no new ones
	Removed                       // is no longer listed
)

// HealthCheckMode states whether a server is under health check. Such a server gets requests before all
// others, as far as its slow-start budget allows, so that their outcomes show its health.
type HealthCheckMode int

// The health check modes.
const (
	HealthCheckOff        HealthCheckMode = iota // no health check
	HealthCheckIdempotent                        // checks with requests that are idempotent, also if only by key
	HealthCheckAny                               // checks with any request
)

// Endpoint is one entry of the endpoint list. Its tags are part of a stored format.
type Endpoint struct {
	ID                 ServerID        `json:"ID"`
	Cell               int             `json:"Cell"` // cell that contains the server, for DedupCell
	Zone               int             `json:"Zone"`
	Kind               int             `json:"Kind"`   // kind of machine
	StartedAt          Instant         `json:"Since"`  // time of the last start; 0: too long ago for slow start
	Rating             float64         `json:"Rating"` // size of the server as listed; no decision depends on it
	State              EndpointState   `json:"State"`
	FleetSlowStartRate float64         `json:"Feed"` // slow-start attempts a second from this gateway; 0: unset
	HealthCheck        HealthCheckMode `json:"Look"`
}

// rank returns the server's position in the order in which gateway self uses servers. The order differs
// between gateways. The function is the finalizer of splitmix64 (Steele, Lea, Flood 2014), a bijection, so
// no two servers have the same rank.
func (id ServerID) rank(self int) uint64 {
	h := uint64(id) + uint64(self+1)*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// covers returns true if servers a and b drop repeats of each other's requests.
func (scope DedupScope) covers(a, b Endpoint) bool {
	return scope == DedupAll || scope == DedupZone && a.Zone == b.Zone || scope == DedupCell && a.Cell == b.Cell
}
