package front

import (
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"dewhitch/internal/resp"
)

// Bounds limits the memory that all client sessions of a gateway use together. It is safe for concurrent use.
type Bounds struct {
	maxUnsent      int64               // limit in bytes of a session's unsent answers; above it, no more of its commands are read
	maxUnsentTotal int64               // limit in bytes of all unsent answers; above it, a session over maxUnsent is closed
	unsentTotal    atomic.Int64        // current bytes of unsent answers of all sessions
	largeCommands  *semaphore.Weighted // bytes of large commands that are not answered yet
}

// Limits of the memory of sessions. Three of them divide the memory that the gateway may use, because a constant that fits one
// machine exceeds the memory of a smaller one.
const (
	unsentMemoryDivisor  = 8         // the unsent answers of all sessions get the memory divided by this
	sessionUnsentDivisor = 8         // each session gets the memory for unsent answers divided by this
	maxSessionUnsent     = 512 << 10 // upper limit of maxUnsent in bytes, however much memory there is
	largeMemoryDivisor   = 8         // large commands get the memory divided by this
	maxPipelined         = 64        // maximum number of unanswered commands of a session; further ones stay unread
	minLargeCommand      = 2 << 10   // size in bytes above which a command counts as large
)

// NewBounds returns the bounds for a gateway that may use memoryBytes bytes. One command of maximum size fits in any case.
func NewBounds(memoryBytes int) *Bounds {
	unsent := int64(memoryBytes / unsentMemoryDivisor)
	large := int64(max(memoryBytes/largeMemoryDivisor, resp.MaxCommand))
	return &Bounds{
		maxUnsent:      min(unsent/sessionUnsentDivisor, maxSessionUnsent),
		maxUnsentTotal: unsent,
		largeCommands:  semaphore.NewWeighted(large),
	}
}
