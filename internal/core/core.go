// Package core carries out what the decision module decides. It deals in reqs, fetches and outcomes, and
// knows no wire: the fronts hand it reqs, and what it needs of the world it asks for through Backends and
// Counter.
//
// A req passes the stages take in, admit, route, send, relay and book, each in a file of its own.
package core

import (
	"io"
	"sync/atomic"
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// RequestKind is what a req asks for.
type RequestKind int

// The kinds.
const (
	KindForward     RequestKind = iota // a fetch from a backend
	KindQueryLimit                     // what the customer's quota has left
	KindAdjustLimit                    // to take units from the quota, or to give them back
)

// Request is one try of a client.
type Request struct {
	Kind            RequestKind
	ReceivedAt      time.Time // when its last byte had been read
	Class           int       // index in the module's settings, as is Plan; of a booking alone
	ClassName       string    // of a booking: its class as the client named it, which settings read anew may have added
	IdempotentQuery bool      // of a booking: it came as a query, safe to repeat
	Plan            int
	Customer        dw.CustomerID
	Timeout         time.Duration // from Came, how long the client will wait
	Units           float64       // below 0: given back
	Spread          int           // the customer's gateways: so many in a row
	FirstGateway    int           // from this one on
	Repeat          bool
	Message         Message      // of a booking
	LedgerRef       uint64       // under which the books have it, as they have
	LedgerKey       ledger.Key   // its row
	Answer          func(Answer) // called once, on the planner; it may not block
	clientLeft      atomic.Bool  // the client has gone
}

// ClientLeft reports whether the client has gone, from the moment in which that is seen on: whoever begins an attempt asks it last, as
// the news still has to wait for the planner. It is safe for any goroutine.
func (r *Request) ClientLeft() bool { return r.clientLeft.Load() }

// Message is what a backend is sent, unchanged by any gateway.
type Message struct {
	Name string // of the req, in the client's words
	Key  string // idempotency key, or empty
	Body []byte // nil: none
}

// Result is how a req ended.
type Result int

// The verdicts.
const (
	ResultServed   Result = iota
	ResultRejected        // trying again is harmless
	ResultFailed          // nothing is promised
)

// Stream is a value too large to be held, as it comes. Whoever was given it reads it to its end, or not, and closes it.
type Stream interface {
	io.Reader  // io.EOF behind its last byte; any other error if there is no more of it
	Size() int // of the whole value
	Close()    // from any goroutine, and again
}

// Answer is the one final answer to a req.
type Answer struct {
	Result     Result
	Value      []byte          // of a served req, if it is held
	Stream     Stream          // of a served req, if it is not
	RetryAfter time.Duration   // of a refused one; 0: no advice
	Limit      *dw.LimitAnswer // of a query that was served
	Units      float64         // of an adjustment that was served: those booked
}

// Backend is a server as discovery's list has it.
type Backend struct {
	ID   dw.ServerID
	Addr string
}

// Attempt is one attempt at a req.
type Attempt struct {
	RequestID dw.RequestID
	Number    int
	Backend   Backend
	Deadline  time.Time // when to stop waiting
	StartBy   time.Time // by when its first byte is written, or none is; zero: by Until
	Request   *Request
}

// AttemptResult is the one end of a fetch.
type AttemptResult struct {
	Outcome     dw.Outcome // tells truly whether the fetch may have run
	Value       []byte
	Load        dw.Load
	FirstByteAt time.Time // of a value that was streamed: when it began; zero: now
}

// Backends starts fetches; none of its methods may block.
type Backends interface {
	// Start begins f and calls done once, from any goroutine but the caller's. Before that it calls began, if the value
	// is too large to be held: whoever takes the stream ends the fetch by closing it.
	Start(f Attempt, began func(Stream), done func(AttemptResult))
	// Cancel gives a fetch up, if it is still out.
	Cancel(req dw.RequestID, attempt int)
	// Retract ends a fetch of which nothing is written yet; with any other it does nothing.
	Retract(req dw.RequestID, attempt int)
	// Withdraw ends the fetches from a backend of which nothing is written yet: from now on nothing is begun there, until
	// the next Start.
	Withdraw(b Backend)
	// Forget withdraws, closes the idle connections to a backend, and keeps none after the fetches that are out.
	Forget(b Backend)
}

// CounterCall is one call to the counter.
type CounterCall struct {
	Name      string
	Amount    float64
	TTL       time.Duration // of a new name
	LedgerRef uint64        // under which the books have it, as they have
	LedgerKey ledger.Key    // its account
}

// Counter adds to shared numbers; it may not block.
type Counter interface {
	// Add calls done once, from any goroutine but the caller's; for one name, in the order of the calls.
	Add(c CounterCall, done func(dw.Outcome, float64))
}

// Recorder are what the planner posts to.
type Recorder interface {
	Ref() uint64 // a number for a call
	Post(ledger.Posting)
}
