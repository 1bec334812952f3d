package slowstart

import "github.com/fxamacker/cbor/v2"

// maxRate bounds the rates of a valid grant, in attempts a second.
const maxRate = 1e6

// Grant is the rate that one gateway may send to each server with a budget, in attempts a second, for one lease. It is sent with the
// leader's answer to a load report. A server in slow start without a rate gets nothing.
type Grant struct {
	Rates map[uint32]float64 `cbor:"1,keyasint,omitempty"`
}

// Encode returns the grant as it is sent.
func (g Grant) Encode() []byte {
	b, err := cbor.Marshal(g)
	if err != nil {
		panic("ramp: " + err.Error()) // Grant has only types that can be encoded
	}
	return b
}

// Read decodes a grant. ok is false if it can't be decoded, has more than maxBudgets servers, or a rate out of bounds.
func Read(data []byte) (g Grant, ok bool) {
	if cbor.Unmarshal(data, &g) != nil || len(g.Rates) > maxBudgets {
		return Grant{}, false
	}
	for _, rate := range g.Rates {
		if !(rate >= 0 && rate < maxRate) { // false for NaN as well
			return Grant{}, false
		}
	}
	return g, true
}
