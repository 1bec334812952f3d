package dewhitch

// EndpointState is what the server list knows of a process.
type EndpointState int

// The states.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is one line of the server list.
type Endpoint struct {
	ID            ServerID        `json:"ID"`
	Cell          int             `json:"Cell"`
	Zone          int             `json:"Zone"`
	Kind          int             `json:"Kind"`
	StartedAt     Instant         `json:"Since"` // last start; 0: long ago
	Rating        float64         `json:"Rating"`
	State         EndpointState   `json:"State"`
	SlowStartRate float64         `json:"Feed"` // attempts a second that this gateway may send it while it is cold; 0: by its own guess
	HealthCheck   HealthCheckMode `json:"Look"`
}

// HealthCheckMode says that a server is looked at, to see whether it is well: what goes there goes there
// first, as its budget allows.
type HealthCheckMode int

// The looks.
const (
	HealthCheckOff        HealthCheckMode = iota
	HealthCheckIdempotent                 // by what may be repeated alone
	HealthCheckAny
)

// rank is the server's place in the order in which gateway self uses servers: another order for each
// gateway. It is the finalizer of splitmix64 (Steele, Lea, Flood 2014), a bijection, so that no two servers
// share a place.
func (id ServerID) rank(self int) uint64 {
	h := uint64(id) + uint64(self+1)*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// same tells that two servers are in one group.
func (k DedupScope) same(a, b Endpoint) bool {
	return k == DedupAll || k == DedupZone && a.Zone == b.Zone || k == DedupCell && a.Cell == b.Cell
}
