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

// Kind is what a req asks for.
type Kind int

// The kinds.
const (
	Book   Kind = iota // a fetch from a backend
	Query              // what the customer's quota has left
	Adjust             // to take units from the quota, or to give them back
)

// Req is one try of a client.
type Req struct {
	Kind     Kind
	Came     time.Time // when its last byte had been read
	Class    int       // index in the module's settings, as is Plan; of a booking alone
	Named    string    // of a booking: its class as the client named it, which settings read anew may have added
	Query    bool      // of a booking: it came as a query, safe to repeat
	Plan     int
	Customer dw.CustomerID
	Wait     time.Duration // from Came, how long the client will wait
	Units    float64       // below 0: given back
	Spread   int           // the customer's gateways: so many in a row
	First    int           // from this one on
	Repeat   bool
	Message  Message      // of a booking
	Ref      uint64       // under which the books have it, as they have
	Row      ledger.Key   // its row
	Answer   func(Answer) // called once, on the planner; it may not block
	left     atomic.Bool  // the client has gone
}

// Left reports whether the client has gone, from the moment in which that is seen on: whoever begins an attempt asks it last, as
// the news still has to wait for the planner. It is safe for any goroutine.
func (r *Req) Left() bool { return r.left.Load() }

// Message is what a backend is sent, unchanged by any gateway.
type Message struct {
	Name string // of the req, in the client's words
	Key  string // idempotency key, or empty
	Body []byte // nil: none
}

// Verdict is how a req ended.
type Verdict int

// The verdicts.
const (
	Served  Verdict = iota
	Refused         // trying again is harmless
	Failed          // nothing is promised
)

// Stream is a value too large to be held, as it comes. Whoever was given it reads it to its end, or not, and closes it.
type Stream interface {
	io.Reader  // io.EOF behind its last byte; any other error if there is no more of it
	Size() int // of the whole value
	Close()    // from any goroutine, and again
}

// Answer is the one final answer to a req.
type Answer struct {
	Verdict    Verdict
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

// Fetch is one attempt at a req.
type Fetch struct {
	Req     dw.RequestID
	Attempt int
	Backend Backend
	Until   time.Time // when to stop waiting
	Begin   time.Time // by when its first byte is written, or none is; zero: by Until
	Source  *Req
}

// FetchEnd is the one end of a fetch.
type FetchEnd struct {
	Outcome dw.Outcome // tells truly whether the fetch may have run
	Value   []byte
	Load    dw.Load
	First   time.Time // of a value that was streamed: when it began; zero: now
}

// Backends starts fetches; none of its methods may block.
type Backends interface {
	// Start begins f and calls done once, from any goroutine but the caller's. Before that it calls began, if the value
	// is too large to be held: whoever takes the stream ends the fetch by closing it.
	Start(f Fetch, began func(Stream), done func(FetchEnd))
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

// Call is one call to the counter.
type Call struct {
	Name   string
	Amount float64
	Life   time.Duration // of a new name
	Ref    uint64        // under which the books have it, as they have
	Row    ledger.Key    // its account
}

// Counter adds to shared numbers; it may not block.
type Counter interface {
	// Add calls done once, from any goroutine but the caller's; for one name, in the order of the calls.
	Add(c Call, done func(dw.Outcome, float64))
}

// Books are what the planner posts to.
type Books interface {
	Ref() uint64 // a number for a call
	Post(ledger.Posting)
}
