// Package dewhitch decides, for one gateway of a shared API, which
// requests go on to which server while every customer stays inside a quota
// that all gateways keep together. It does no input or output and reads no
// clock: the caller hands it events and carries out the actions it returns.
package dewhitch

// Instant is a point on the caller's monotonic clock, in nanoseconds.
type Instant int64

// Span is a length of time in nanoseconds.
type Span int64

const second = Span(1e9)

func seconds[T Instant | Span](d T) float64 { return float64(d) / 1e9 }

type (
	// RequestID names one try of one client; it is never used again.
	RequestID string
	// ServerID names a server; it says nothing about it.
	ServerID uint32
	// CustomerID names the customer whose quota a request draws on.
	CustomerID uint64
	// TimerID comes back unchanged when a timer set by SetTimer is due.
	TimerID string
)

// Idempotency tells what running a request twice would do.
type Idempotency int

// The effects.
const (
	Idempotent      Idempotency = iota // may be repeated at will
	IdempotentByKey                    // repeats are dropped by a group of servers, for a while
	NotIdempotent                      // must never run twice
)

// DedupScope is the set of servers that drop each other's repeats of a keyed request.
type DedupScope int

// The groups.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Outcome is how an attempt, a probe or a counter call ended.
type Outcome int

// The outcomes.
const (
	OutcomeOK            Outcome = iota
	OutcomeError                 // the server answered with an error; it may have run
	OutcomeRejected              // turned away unseen
	OutcomeTimeout               // no answer in time; it may have run, or still run
	OutcomeConnectFailed         // no connection; it never ran
	OutcomeReset                 // the connection broke; it may have run
	OutcomeCancelled             // withdrawn; it may have run
	OutcomeNotSent               // never left the gateway
	OutcomeCount                 // how many there are
)

// String is the outcome's name in metrics and logs.
func (o Outcome) String() string {
	return [...]string{"ok", "error", "rejected", "timeout", "connect_failed", "reset", "cancelled", "not_sent"}[o]
}
