package core

import (
	"io"
	"sync/atomic"
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// RequestKind is what a request asks for.
type RequestKind int

// The kinds of requests.
const (
	KindForward     RequestKind = iota // a query or a booking, forwarded to a backend
	KindQueryLimit                     // what the customer's quota has left
	KindAdjustLimit                    // to take units from the quota, or to return them
)

// Request is one request of a client. It is the planner's from Submit on: nobody changes it.
type Request struct {
	Kind            RequestKind
	ReceivedAt      time.Time // when its last byte had been read
	Class           int       // index in the module's settings; of KindForward only
	ClassName       string    // of KindForward only: as the client named it; a class added by a reload has no index of its own
	IdempotentQuery bool      // of KindForward only: it came as a query, which is idempotent
	Plan            int       // index in the module's settings
	Customer        dw.CustomerID
	Timeout         time.Duration // from ReceivedAt on, how long the client waits
	Units           float64       // cost; below 0, of KindAdjustLimit only: units to return
	Spread          int           // the number of consecutive gateways that the customer uses
	FirstGateway    int           // the first of them
	Repeat          bool          // the client says that it has sent this request before
	Message         Message       // of KindForward only
	LedgerRef       uint64        // its number in the ledger
	LedgerKey       ledger.Key    // its row in the ledger
	Answer          func(Answer)  // called once at most, on the planner's goroutine; it may not block
	clientLeft      atomic.Bool
}

// ClientLeft reports whether the client has left, which is known here before the planner has handled the cancellation:
// whoever starts an attempt checks it last. It is safe for any goroutine.
func (r *Request) ClientLeft() bool { return r.clientLeft.Load() }

// Message is what a backend is sent, which no gateway changes.
type Message struct {
	Name string // the client's name of the request
	Key  string // idempotency key; empty: none
	Body []byte // nil: none
}

// Result is how a request ended.
type Result int

// The results.
const (
	ResultServed   Result = iota
	ResultRejected        // nothing was done: a retry by the client is safe
	ResultFailed          // it may have been done
)

// Stream is a value that is too large for memory, while it is read. Whoever has it closes it, whether or not it was read to
// its end. It is read by one goroutine at a time.
type Stream interface {
	io.Reader  // io.EOF after the last byte; any other error if the rest is lost
	Size() int // of the complete value, in bytes
	Close()    // from any goroutine; repeated calls do nothing
}

// Answer is the one final answer to a request.
type Answer struct {
	Result     Result
	Value      []byte          // of a served request, if it is in memory
	Stream     Stream          // of a served request, if it is not; nil otherwise
	RetryAfter time.Duration   // of a rejected request; 0: no advice
	Limit      *dw.LimitAnswer // of a served KindQueryLimit
	Units      float64         // of a served KindAdjustLimit: those taken
}

// Backend is a server of the endpoint list.
type Backend struct {
	ID   dw.ServerID
	Addr string // host:port
}

// AttemptID identifies an attempt.
type AttemptID struct {
	RequestID dw.RequestID
	Number    int // from 0
}

// Attempt is one attempt at a request.
type Attempt struct {
	RequestID dw.RequestID
	Number    int // from 0
	Backend   Backend
	Deadline  time.Time // when to stop waiting
	StartBy   time.Time // when to give up if no byte is written yet; zero: Deadline
	Request   *Request
}

// AttemptResult is the end of an attempt.
type AttemptResult struct {
	Outcome     dw.Outcome // says reliably whether the attempt may have run at the backend
	Value       []byte
	Load        dw.Load
	FirstByteAt time.Time // of a value that was streamed: when it started; zero: now
}

// Backends carries out attempts. All methods are called on the planner's goroutine and may not block.
type Backends interface {
	// Start starts an attempt and calls onEnd exactly once, on a goroutine other than the caller's. If the value is too large
	// for memory, it calls onStream before that: whoever has the stream ends the attempt by closing it.
	Start(attempt Attempt, onStream func(Stream), onEnd func(AttemptResult))
	// Cancel gives an attempt up, if it is in flight.
	Cancel(request dw.RequestID, attempt int)
	// Retract ends an attempt of which nothing is written yet; any other is unaffected.
	Retract(request dw.RequestID, attempt int)
	// RetractAll ends the attempts at a backend of which nothing is written yet; later Starts are unaffected.
	RetractAll(b Backend)
	// Forget withdraws, closes the idle connections to a backend, and caches none after the attempts in flight.
	Forget(b Backend)
}

// CounterCall is one call to the shared counter.
type CounterCall struct {
	Name      string
	Amount    float64       // units to add
	TTL       time.Duration // of the name, if it is new
	LedgerRef uint64        // its number in the ledger
	LedgerKey ledger.Key    // its account in the ledger
}

// Counter adds to numbers that all gateways share. Its method is called on the planner's goroutine and may not block.
type Counter interface {
	// Add calls onEnd once with the outcome and the new total, on a goroutine other than the caller's; for one name, in the
	// order of the calls.
	Add(call CounterCall, onEnd func(outcome dw.Outcome, total float64))
}

// Recorder takes the planner's postings to the ledger, in their order. Its methods are called on the planner's goroutine and do not
// wait for a disk.
type Recorder interface {
	Ref() uint64 // a new number for a call to the counter
	Post(ledger.Posting)
}
