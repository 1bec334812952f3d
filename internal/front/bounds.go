package front

import (
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"dewhitch/internal/resp"
)

// Bounds limit the memory that all client sessions of a gateway use. They are safe for any goroutine.
type Bounds struct {
	maxUnsent      int64               // bytes of unsent answers of a session, beyond which none of its commands is read
	maxUnsentTotal int64               // bytes of unsent answers of all sessions, beyond which a session over maxUnsent is ended
	unsentTotal    atomic.Int64        // bytes of unsent answers of all sessions
	largeCommands  *semaphore.Weighted // bytes of large commands without an answer
}

// Shares of the memory, as a constant that fits one machine would exceed a smaller one.
const (
	unsentMemoryDivisor  = 8         // one in so many bytes of memory, for unsent answers
	sessionUnsentDivisor = 8         // one in so many of those, for each session
	maxSessionUnsent     = 512 << 10 // bytes, for each session of a machine of any size
	largeMemoryDivisor   = 8         // one in so many bytes of memory, for large commands
	maxPipelined         = 64        // commands of a session without an answer; more are left unread
	minLargeCommand      = 2 << 10   // bytes; only larger commands count as large
)

// NewBounds divides so many bytes of memory.
func NewBounds(memoryBytes int) *Bounds {
	unsent := int64(memoryBytes / unsentMemoryDivisor)
	large := int64(max(memoryBytes/largeMemoryDivisor, resp.MaxCommand))
	return &Bounds{
		maxUnsent:      min(unsent/sessionUnsentDivisor, maxSessionUnsent),
		maxUnsentTotal: unsent,
		largeCommands:  semaphore.NewWeighted(large),
	}
}
