package ledger

import (
	"math"
	"time"
)

// Posting is one entry in one book.
type Posting struct {
	Event Event
	Key   Key
	Ref   uint64 // of the request or of the call, the same in all books; 0: of neither
	Units int64  // in millionths; of FrontIdempotencyKey, a hash
	At    int64  // Unix time in nanoseconds
	Wait  uint16 // of FrontTaken: for how many seconds more its client waits, rounded up
}

// IdempotentRequest is one try of a client at a request that has an idempotency key. Tries of one booking, through whichever gateways, have
// the same customer and hash.
type IdempotentRequest struct {
	Key          Key
	Hash         uint64
	Taken, Ended int64 // Unix time in nanoseconds
	End          Event // by the front's book
}

// CeilSeconds rounds a client's wait up, to the most that a posting can hold.
func CeilSeconds(d time.Duration) uint16 {
	return uint16(min(math.MaxUint16, max(0, (d+time.Second-1)/time.Second)))
}

// MicroUnits turns units into millionths. What a parser lets in is far below the bound.
func MicroUnits(units float64) int64 {
	return int64(math.Round(max(-9e12, min(9e12, units)) * 1e6))
}
