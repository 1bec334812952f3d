package evacuation

import (
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"
)

// Section is the key of the plan's section that holds Statuses.
const Section = "zones"

// State is the settled state of a zone. A zone without a status is in service. The values are stored in the plan.
type State string

// The states, in the order in which a zone goes through them.
const (
	Evacuated State = "out"       // no gateway sends new requests there
	Probing   State = "probing"   // only the probers send there, as a half-open health check
	Returning State = "returning" // all gateways send there, with the servers in slow start since Status.Since
)

// Status is the settled state of a zone's servers, for all gateways or for the gateways of one zone. It is durable as part of the
// plan; the order of the fields is the order of the encoding.
type Status struct {
	State         State    `cbor:"1,keyasint" json:"state"`
	Since         int64    `cbor:"2,keyasint" json:"since"` // start of this state, Unix ms by the leader's clock
	FailedReturns int      `cbor:"3,keyasint" json:"fails"` // consecutive returns that failed
	Reason        string   `cbor:"4,keyasint" json:"why"`   // shown to operators
	Probers       []string `cbor:"5,keyasint,omitempty" json:"probers,omitempty"`
	By            string   `cbor:"6,keyasint,omitempty" json:"by,omitempty"`       // the operator; empty: the fleet itself
	Until         int64    `cbor:"7,keyasint,omitempty" json:"until,omitempty"`    // end of an operator's evacuation, Unix ms; 0: until the return command
	KeepInService bool     `cbor:"8,keyasint,omitempty" json:"hold,omitempty"`     // set by an operator: the fleet does not evacuate the zone
	FailedProbes  int      `cbor:"9,keyasint,omitempty" json:"probes,omitempty"`   // probes that failed since the evacuation or the last return
	Partial       bool     `cbor:"11,keyasint,omitempty" json:"partial,omitempty"` // the zone still served some requests when it was evacuated
	AnyRequest    bool     `cbor:"10,keyasint,omitempty" json:"any,omitempty"`     // probes use requests of any class, as no idempotent ones reached the prober
}

// Statuses holds every settled status by key: the zone of the servers, or "FROM>TO" for the gateways of zone FROM alone.
type Statuses map[string]Status

// For returns the status that gateways in zone from apply to servers in zone to. A status for all gateways takes precedence. ok is
// false when the zone is in service or held by an operator.
func (v Statuses) For(from, to string) (Status, bool) {
	if status, ok := v[to]; ok {
		return status, !status.KeepInService // an operator's hold covers the paths to the zone as well
	}
	status, ok := v[pathKey(from, to)]
	return status, ok
}

// countAvoided counts the zones that the gateways of one zone do not all send to.
func (v Statuses) countAvoided(from string, zones []string) (n int) {
	for _, to := range zones {
		if v.avoids(from, to) {
			n++
		}
	}
	return n
}

// avoids tells whether a zone is evacuated or probed for the gateways of zone from.
func (v Statuses) avoids(from, to string) bool {
	status, ok := v.For(from, to)
	return ok && status.State != Returning
}

// EncodeSection encodes statuses as a section of the plan.
func EncodeSection(v Statuses) map[string]cbor.RawMessage {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("zone: " + err.Error()) // Statuses has only types that can be encoded
	}
	return map[string]cbor.RawMessage{Section: b}
}

// pathKey is the key of the status that holds for the gateways of one zone alone.
func pathKey(from, to string) string { return from + ">" + to }

// splitKey returns the two zones of a key; from is empty if the status holds for all gateways.
func splitKey(key string) (from, to string) {
	if a, b, ok := strings.Cut(key, ">"); ok {
		return a, b
	}
	return "", key
}

// equal compares two statuses in all fields.
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
