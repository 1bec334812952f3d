package dewhitch

// Event is something that happened at this gateway.
type Event interface{ event() }

// ListKind says how a ServerList is to be read.
type ListKind int

// The kinds of list.
const (
	ListFull ListKind = iota
	ListCached
	ListDelta
	ListFailed
)

// The events.
type (
	// EndpointList brings news of the servers.
	EndpointList struct {
		Kind    ListKind
		Version int64
		Servers []Endpoint
	}
	// Arrival is a request that this gateway must answer exactly once.
	Arrival struct {
		ID            RequestID
		Class, Plan   int
		Customer      CustomerID
		Remaining     Span // until the client gives up
		Units         float64
		Spread, First int // the customer's gateways: so many, from this one on
		Repeat, Write bool
	}
	// LimitQuery asks what a customer's quota has left; it takes no units.
	LimitQuery struct {
		ID            RequestID
		Plan          int
		Customer      CustomerID
		Remaining     Span // until the client gives up
		Spread, First int
	}
	// LimitAdjust takes units from a customer's quota, or gives them back. It sends nothing on.
	LimitAdjust struct {
		LimitQuery
		Units float64 // 0 or below: given back
	}
	// AnswerStarted tells that a streamed answer has begun.
	AnswerStarted struct {
		Request RequestID
		Attempt int
		Server  ServerID
		Latency Span
	}
	// AttemptEnded is the one outcome of an attempt.
	AttemptEnded struct {
		Request   RequestID
		Attempt   int
		Server    ServerID
		Outcome   Outcome
		Final     bool // the request is finished
		Latency   Span
		Used      int // 1 + the customer's metered use in percent of its rate; 0: not told
		TrueUnits float64
		Load      Load
	}
	// ClientLeft tells that a client has left; no answer is owed.
	ClientLeft struct{ Request RequestID }
	// Expedite tells that a request must have its answer now, however long its client would wait.
	Expedite struct{ Request RequestID }
	// Shutdown tells that this gateway ends: every request must have its answer by then, however long its
	// client would wait.
	Shutdown struct{ By Instant }
	// TimerFired returns a timer.
	TimerFired struct{ ID TimerID }
	// HealthChecked is what a Probe found.
	HealthChecked struct {
		Server  ServerID
		Outcome Outcome
		Latency Span
		Load    Load
	}
	// CounterAnswered is the answer to a Count.
	CounterAnswered struct {
		Name    string
		Outcome Outcome
		Latency Span
		Total   float64 // valid if the outcome is OutcomeOK
	}
	// PeerMessage is a message from another gateway.
	PeerMessage struct {
		From int
		Data []byte
	}
)

func (EndpointList) event()    {}
func (Arrival) event()         {}
func (LimitQuery) event()      {}
func (AnswerStarted) event()   {}
func (AttemptEnded) event()    {}
func (ClientLeft) event()      {}
func (Expedite) event()        {}
func (Shutdown) event()        {}
func (TimerFired) event()      {}
func (HealthChecked) event()   {}
func (CounterAnswered) event() {}
func (PeerMessage) event()     {}

// arrival is what a command on limits has in common with a request.
func (q LimitQuery) arrival(units float64) Arrival {
	return Arrival{ID: q.ID, Plan: q.Plan, Customer: q.Customer, Remaining: q.Remaining, Units: units,
		Spread: q.Spread, First: q.First}
}
