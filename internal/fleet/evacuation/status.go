package evacuation

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Section is the key of the section that holds Statuses in a plan.
const Section = "zones"

// State is the state of a zone in the plan. A zone without a status is in service. The values are stored in the plan.
type State string

// States of a zone, in the order in which it passes through them.
const (
	Evacuated State = "out"       // no gateway sends new requests to the zone
	Probing   State = "probing"   // only the probers send requests to the zone, as a half-open health check
	Returning State = "returning" // all gateways send requests to the zone, whose servers have been in slow start since Status.Since
)

// Status is the state of a zone's servers for all gateways, or for the gateways of one zone. It is durable as part of the plan. The
// order of the fields is the order of the encoding.
type Status struct {
	State         State    `cbor:"1,keyasint" json:"state"`
	Since         int64    `cbor:"2,keyasint" json:"since"`                        // start of this state by the leader's clock, Unix ms
	FailedReturns int      `cbor:"3,keyasint" json:"fails"`                        // number of consecutive failed returns
	Reason        string   `cbor:"4,keyasint" json:"why"`                          // reason for this state, shown to operators
	Probers       []string `cbor:"5,keyasint,omitempty" json:"probers,omitempty"`  // names of the gateways that probe
	By            string   `cbor:"6,keyasint,omitempty" json:"by,omitempty"`       // operator who ordered this state; empty: the fleet
	Until         int64    `cbor:"7,keyasint,omitempty" json:"until,omitempty"`    // end of an operator's evacuation, Unix ms; 0: no fixed end
	KeepInService bool     `cbor:"8,keyasint,omitempty" json:"hold,omitempty"`     // operator's hold: the fleet does not evacuate the zone
	FailedProbes  int      `cbor:"9,keyasint,omitempty" json:"probes,omitempty"`   // failed probes since the evacuation or the last return
	Partial       bool     `cbor:"11,keyasint,omitempty" json:"partial,omitempty"` // true if the zone served some requests when it was evacuated
	AnyRequest    bool     `cbor:"10,keyasint,omitempty" json:"any,omitempty"`     // true if probes use any request, for lack of idempotent ones
}

// Statuses holds the statuses of all zones by key. The key is the zone of the servers, or "FROM>TO" for a status of the servers in zone
// TO that applies only to the gateways in zone FROM.
type Statuses map[string]Status

// For returns the status that gateways in zone from apply to servers in zone to. A status for all gateways takes precedence. It
// returns false if the zone is in service or on an operator's hold.
func (v Statuses) For(from, to string) (Status, bool) {
	if status, ok := v[to]; ok {
		return status, !status.KeepInService // an operator's hold also applies to the paths to the zone
	}
	status, ok := v[pathKey(from, to)]
	return status, ok
}

// countAvoided returns the number of zones that are evacuated or probed for the gateways of zone from.
func (v Statuses) countAvoided(from string, zones []string) (n int) {
	for _, to := range zones {
		if v.avoids(from, to) {
			n++
		}
	}
	return n
}

// avoids returns true if zone to is evacuated or probed for the gateways of zone from.
func (v Statuses) avoids(from, to string) bool {
	status, ok := v.For(from, to)
	return ok && status.State != Returning
}

// EncodeSection encodes statuses as a section of the plan.
func EncodeSection(v Statuses) map[string]cbor.RawMessage {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("evacuation: encode statuses: " + err.Error()) // unreachable: CBOR encodes every type in Statuses
	}
	return map[string]cbor.RawMessage{Section: b}
}

// pathKey returns the key of a status that applies only to the gateways of zone from.
func pathKey(from, to string) string { return from + ">" + to }

// splitKey returns the two zones of a key. from is empty if the status applies to all gateways.
func splitKey(key string) (from, to string) {
	if a, b, ok := strings.Cut(key, ">"); ok {
		return a, b
	}
	return "", key
}

// equal returns true if two statuses have the same fields.
func equal(a, b Status) bool {
	return a.State == b.State &&
		a.Since == b.Since &&
		a.FailedReturns == b.FailedReturns &&
		a.FailedProbes == b.FailedProbes &&
		a.AnyRequest == b.AnyRequest &&
		a.Partial == b.Partial &&
		a.Reason == b.Reason &&
		a.By == b.By &&
		a.Until == b.Until &&
		a.KeepInService == b.KeepInService &&
		slices.Equal(a.Probers, b.Probers)
}
