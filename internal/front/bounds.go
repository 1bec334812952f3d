package front

import (
	"sync/atomic"

	"golang.org/x/sync/semaphore"

	"dewhitch/internal/resp"
)

// Bounds are shared by all sessions of a gateway, and follow from its memory.
type Bounds struct {
	unsent    int64 // bytes of answers that wait for a client to read, beyond which no command of its is taken
	allUnsent int64 // and of those of all sessions, beyond which a session with so many is ended
	waiting   atomic.Int64
	large     *semaphore.Weighted // bytes of large commands in hand
}

// The shares of the memory limit. It guards against a constant that fits one machine and overflows a smaller one.
const (
	unsentPart    = 8         // of the memory: answers that wait
	sessionPart   = 8         // of those: of one session
	largePart     = 8         // of the memory: large commands in hand
	mostOfSession = 512 << 10 // bytes, whatever the memory
	maxPipelined  = 64        // commands of one session that may wait for their answers; more are left unread
	largeSize     = 2 << 10   // of a command; those that are larger share what memory there is for them
)

// NewBounds shares out so many bytes of memory.
func NewBounds(memory int) *Bounds {
	all := int64(memory / unsentPart)
	return &Bounds{unsent: min(all/sessionPart, mostOfSession), allUnsent: all,
		large: semaphore.NewWeighted(int64(max(memory/largePart, resp.MaxCommand)))}
}
