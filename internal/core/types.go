package core

import (
	"io"
	"sync/atomic"
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
	"dewhitch/internal/memory"
)

// RequestKind is the operation that a client requests.
type RequestKind int

// The kinds of client requests.
const (
	KindForward     RequestKind = iota // query or booking that is forwarded to a backend
	KindQueryLimit                     // query of the customer's remaining quota
	KindAdjustLimit                    // adjustment of the customer's quota by units taken or returned
)

// Request is one request of a client. It must not be modified once it is submitted.
type Request struct {
	Kind            RequestKind
	ReceivedAt      time.Time // time when the last byte was read
	Class           int       // index of the class in the module's settings; KindForward only
	ClassName       string    // class name from the client; KindForward only. A class added by a reload has no index of its own
	IdempotentQuery bool      // true if the client sent a query, which is idempotent; KindForward only
	Plan            int       // index of the customer's plan in the module's settings
	Customer        dw.CustomerID
	Timeout         time.Duration       // how long the client waits, from ReceivedAt on
	Units           float64             // cost in units; negative if units are returned, with KindAdjustLimit only
	Spread          int                 // number of consecutive gateways that the customer uses
	FirstGateway    int                 // first of the gateways that the customer uses
	Repeat          bool                // true if the client marked the request as sent before
	Message         Message             // contents for the backend; KindForward only
	LedgerRef       uint64              // number of the request in the ledger
	LedgerKey       ledger.Key          // row of the ledger to which the request's events are posted
	Answer          func(Answer)        // called at most once, on the planner's goroutine; must not block
	Client          uint64              // number of the client's connection; its requests share what is short
	Charge          func(time.Duration) // counts time that was used for the request; must not block, and is called from any goroutine. May be nil
	Memory          *memory.Hold        // memory of the command, released once nothing refers to Message any more; nil if it is short
	clientDeparted  atomic.Bool         // true once the client has disconnected
}

// ClientDeparted reports whether the client has disconnected. It returns true as soon as Cancel is called, before the planner
// handles the cancellation, so the pools check it just before they write an attempt. It is safe for concurrent use.
func (r *Request) ClientDeparted() bool { return r.clientDeparted.Load() }

// ChargeTime counts time that was used for the request.
func (r *Request) ChargeTime(d time.Duration) {
	if r.Charge != nil {
		r.Charge(d)
	}
}

// Message is the part of a request that gateways pass to a backend unchanged.
type Message struct {
	Name string // name that the client gave the request
	Key  string // idempotency key; empty if there is none
	Body []byte // nil if there is none
}

// Result is the way in which a request ended.
type Result int

// The results of requests.
const (
	ResultServed   Result = iota // the request was served
	ResultRejected               // the request was not executed; the client may safely retry
	ResultFailed                 // the request may have been executed
)

// Stream reads a value that is too large to be held in memory. Its consumer must close it, whether or not it was read to the
// end. Only one goroutine at a time may read it; Close may be called from any goroutine.
type Stream interface {
	io.Reader  // returns io.EOF after the last byte, and another error if the rest is lost
	Size() int // returns the size of the complete value in bytes
	Close()    // releases the connection; repeated calls do nothing
}

// Answer is the single final answer to a request.
type Answer struct {
	Result     Result
	Value      []byte          // value of a served request, unless it is streamed
	Memory     *memory.Hold    // memory of a long Value, which its consumer releases; nil if it is short
	Stream     Stream          // value of a served request that is streamed; nil otherwise
	RetryAfter time.Duration   // time after which a rejected client may retry; 0 if not known
	Limit      *dw.LimitAnswer // limit of a served request of KindQueryLimit
	Units      float64         // units taken by a served request of KindAdjustLimit
}

// Backend is a server of the endpoint list and its address.
type Backend struct {
	ID   dw.ServerID
	Addr string // host:port
}

// AttemptID identifies an attempt.
type AttemptID struct {
	RequestID dw.RequestID
	Number    int // number of the attempt within the request, from 0
}

// Attempt is one attempt to have a backend execute a request.
type Attempt struct {
	RequestID dw.RequestID
	Number    int // number of the attempt within the request, from 0
	Backend   Backend
	Deadline  time.Time // time at which the attempt ends without an answer
	StartBy   time.Time // time by which the first byte must be written; zero if only Deadline applies
	Request   *Request
}

// AttemptResult is the result of an attempt that has ended.
type AttemptResult struct {
	Outcome     dw.Outcome // states reliably whether the backend may have executed the attempt
	Value       []byte
	Memory      *memory.Hold // memory of a long Value; nil if it is short
	Load        dw.Load
	FirstByteAt time.Time // time of the first byte of a streamed value; zero if the value was not streamed
}

// Backends executes attempts. All methods are called on the planner's goroutine and must not block.
type Backends interface {
	// Start starts an attempt and calls onEnd exactly once, on a goroutine other than the caller's. If the value is too large
	// for memory, it calls onStream first; the attempt then ends when the consumer closes the stream.
	Start(attempt Attempt, onStream func(Stream), onEnd func(AttemptResult))
	// Cancel ends an attempt if it is in flight.
	Cancel(request dw.RequestID, attempt int)
	// Retract ends an attempt if nothing of it is written yet, and otherwise does nothing.
	Retract(request dw.RequestID, attempt int)
	// RetractAll does what Retract does for all attempts at a backend. It does not affect attempts started later.
	RetractAll(b Backend)
	// Forget does what RetractAll does and closes the idle connections to a backend. The connections of attempts in flight are
	// closed when these attempts end.
	Forget(b Backend)
}

// CounterCall is one call to the shared counter.
type CounterCall struct {
	Name      string        // name of the counter
	Amount    float64       // units to add
	TTL       time.Duration // time until the counter expires, if the call creates it
	LedgerRef uint64        // number of the call in the ledger
	LedgerKey ledger.Key    // customer's account in the ledger
}

// Counter adds to counters that all gateways share. Its method is called on the planner's goroutine and must not block.
type Counter interface {
	// Add adds an amount to a counter. It calls onEnd once with the outcome and the new total, on a goroutine other than the
	// caller's. For one counter, onEnd is called in the order of the calls.
	Add(call CounterCall, onEnd func(outcome dw.Outcome, total float64))
}

// Recorder records the planner's postings in the ledger, in the order of the calls. Its methods are called on the planner's
// goroutine and must not wait for a disk.
type Recorder interface {
	Ref() uint64         // returns a new number for a call to the counter
	Post(ledger.Posting) // records a posting
}
