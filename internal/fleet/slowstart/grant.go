package slowstart

import "github.com/fxamacker/cbor/v2"

// maxRate is the limit on the rates of a valid grant, in attempts a second.
const maxRate = 1e6

// Grant holds the rates at which one gateway may send to the servers with a budget for one lease, in attempts a second by server ID. The
// leader sends it with its answer to a load report. A server in slow start without a rate gets no requests, unless most servers are in
// slow start.
type Grant struct {
	Rates map[uint32]float64 `cbor:"1,keyasint,omitempty"`
}

// Encode returns the grant in CBOR, as the leader sends it.
func (g Grant) Encode() []byte {
	b, err := cbor.Marshal(g)
	if err != nil {
		panic("slowstart: encode grant: " + err.Error()) // unreachable: CBOR encodes every type in Grant
	}
	return b
}

// Read decodes a grant. ok is false if the data is not valid CBOR, if it has more than maxBudgets servers, or if a rate is negative, NaN,
// or maxRate or more.
func Read(data []byte) (g Grant, ok bool) {
	if cbor.Unmarshal(data, &g) != nil || len(g.Rates) > maxBudgets {
		return Grant{}, false
	}
	for _, rate := range g.Rates {
		if !(rate >= 0 && rate < maxRate) { // also rejects NaN
			return Grant{}, false
		}
	}
	return g, true
}
