package ledger

import (
	"math"
	"time"
)

// Posting is one entry in one journal.
type Posting struct {
	Event Event
	Key   Key
	Ref   uint64 // reference of the request or counter call, the same in all journals; 0 if there is none
	Units int64  // units in millionths; for FrontIdempotencyKey, the hash of the key
	At    int64  // Unix time in nanoseconds
	Wait  uint16 // for FrontTaken, the time that the client waits for the answer, in seconds rounded up
}

// IdempotentRequest is one attempt of a client at a request that has an idempotency key. All attempts at one booking, through any
// gateway, have the same customer and hash.
type IdempotentRequest struct {
	Key          Key
	Hash         uint64
	Taken, Ended int64 // Unix time in nanoseconds
	End          Event // event of the front's journal that ended the attempt
}

// CeilSeconds rounds a client's waiting time up to whole seconds, limited to the range of Posting.Wait.
func CeilSeconds(d time.Duration) uint16 {
	return uint16(min(math.MaxUint16, max(0, (d+time.Second-1)/time.Second)))
}

// MicroUnits converts units to millionths. It limits units to ±9e12, far more than any parser accepts.
func MicroUnits(units float64) int64 {
	return int64(math.Round(max(-9e12, min(9e12, units)) * 1e6))
}
