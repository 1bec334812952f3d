package dewhitch

// EndpointState is what the endpoint list says of a server.
type EndpointState int

// The states.
const (
	Ready    EndpointState = iota // it takes new attempts
	Draining                      // it finishes what it has, and takes no new attempts
	Removed                       // it is no longer listed
)

// HealthCheckMode says whether a server is under health check. One that is gets requests before all others,
// as its slow-start budget allows, so that their outcomes show its health.
type HealthCheckMode int

// The modes.
const (
	HealthCheckOff        HealthCheckMode = iota
	HealthCheckIdempotent                 // with requests that are idempotent, by themselves or by key
	HealthCheckAny                        // with any request
)

// Endpoint is one entry of the endpoint list. Its tags are a stored form.
type Endpoint struct {
	ID                 ServerID        `json:"ID"`
	Cell               int             `json:"Cell"` // for DedupCell
	Zone               int             `json:"Zone"`
	Kind               int             `json:"Kind"`  // of machine
	StartedAt          Instant         `json:"Since"` // last start; 0: long ago
	Rating             float64         `json:"Rating"`
	State              EndpointState   `json:"State"`
	FleetSlowStartRate float64         `json:"Feed"` // attempts a second from this gateway in slow start; 0: unset
	HealthCheck        HealthCheckMode `json:"Look"`
}

// rank is the server's place in the order in which gateway self uses servers, another one for each gateway.
// It is the finalizer of splitmix64 (Steele, Lea, Flood 2014), a bijection, so that no two servers have the
// same rank.
func (id ServerID) rank(self int) uint64 {
	h := uint64(id) + uint64(self+1)*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// same tells whether two servers drop each other's repeats.
func (k DedupScope) same(a, b Endpoint) bool {
	return k == DedupAll || k == DedupZone && a.Zone == b.Zone || k == DedupCell && a.Cell == b.Cell
}
