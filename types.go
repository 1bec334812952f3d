// Package dewhitch decides, for one gateway of a shared API, which requests are admitted and which server
// each is forwarded to, while every customer stays within a quota that all gateways keep together.
//
// It is a pure state machine: Gateway.Handle takes an Event and returns the Actions that the caller carries
// out, in their order. It does no input or output, reads no clock and starts no goroutine. With the same
// Settings, seed and events it returns the same actions.
package dewhitch

// Instant is a point on the caller's monotonic clock, in nanoseconds.
type Instant int64

// Span is a length of time in nanoseconds.
type Span int64

const second = Span(1e9)

func seconds[T Instant | Span](d T) float64 { return float64(d) / 1e9 }

type (
	// RequestID names one request of one client, a retry by the client being another; it is never used again.
	RequestID string
	// ServerID names a server.
	ServerID uint32
	// CustomerID names the customer whose quota a request draws on.
	CustomerID uint64
	// TimerID names a timer from its SetTimer to its TimerFired.
	TimerID string
)

// Idempotency tells what running a request twice would do.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // no effect: it may be repeated at will
	IdempotentByKey                    // servers drop repeats, within the class's DedupScope and DedupWindow
	NotIdempotent                      // an effect each time: it must never run twice
)

// DedupScope is the set of servers that drop each other's repeats of a request with an idempotency key.
type DedupScope int

// The scopes.
const (
	DedupAll  DedupScope = iota // all servers
	DedupZone                   // those of one zone
	DedupCell                   // those of one cell
)

// Outcome is how an attempt, a health check or a counter call ended.
type Outcome int

// The outcomes.
const (
	OutcomeOK            Outcome = iota
	OutcomeError                 // the server answered with an error; it may have run
	OutcomeRejected              // the server rejected it without running it
	OutcomeTimeout               // no answer in time; it may have run, or still run
	OutcomeConnectFailed         // no connection; it never ran
	OutcomeReset                 // the connection broke; it may have run
	OutcomeCancelled             // cancelled by the gateway; it may have run
	OutcomeNotSent               // never left the gateway
	OutcomeCount                 // the number of outcomes
)

// outcomeNames are the names of the outcomes in metrics and logs.
var outcomeNames = [OutcomeCount]string{"ok", "error", "rejected", "timeout", "connect_failed", "reset",
	"cancelled", "not_sent"}

// String is the outcome's name in metrics and logs.
func (o Outcome) String() string { return outcomeNames[o] }
