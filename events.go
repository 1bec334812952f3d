package dewhitch

// Event is an input of Gateway.Handle: something that happened at this gateway.
type Event interface{ event() }

// ListKind is how the servers of an EndpointList are applied.
type ListKind int

// The kinds of endpoint lists.
const (
	ListFull   ListKind = iota // contains all servers; servers that it lacks are removed
	ListCached                 // contains all servers, read from a cache
	ListDelta                  // contains only the servers that have changed
	ListFailed                 // reports that no list arrived; the previous one stays in force
)

// The events that Gateway.Handle accepts.
type (
	// EndpointList carries the endpoint list, or changes to it.
	EndpointList struct {
		Kind    ListKind
		Version int64
		Servers []Endpoint
	}
	// Arrival is a request that this gateway must answer exactly once.
	Arrival struct {
		ID           RequestID
		Class        int // index into Settings.Classes
		Plan         int // index into Settings.Plans
		Customer     CustomerID
		Remaining    Span    // time until the client gives up
		Units        float64 // units of the customer's quota that the request takes
		Spread       int     // number of consecutive gateways that serve the customer
		FirstGateway int     // index of the first of these gateways
		Repeat       bool    // the client marks the request as a retry
		Write        bool    // the client marks the request as a write; no decision depends on it
	}
	// LimitQuery requests how much of a customer's quota remains; it takes no units. Its fields are those of
	// Arrival.
	LimitQuery struct {
		ID           RequestID
		Plan         int
		Customer     CustomerID
		Remaining    Span
		Spread       int
		FirstGateway int
	}
	// LimitAdjust takes units from a customer's quota or returns them. Nothing is forwarded.
	LimitAdjust struct {
		LimitQuery
		Units float64 // units to take; 0 or below: units to return
	}
	// AnswerStarted reports that a streamed answer has begun.
	AnswerStarted struct {
		Request RequestID
		Attempt int
		Server  ServerID
		Latency Span
	}
	// AttemptEnded reports the outcome of an attempt. Each attempt has exactly one.
	AttemptEnded struct {
		Request   RequestID
		Attempt   int // index among the request's attempts, from 0
		Server    ServerID
		Outcome   Outcome
		Final     bool // the request is finished and needs no answer
		Latency   Span
		Used      int     // 1 + the customer's metered use in percent of its rate; 0: unknown
		TrueUnits float64 // units that the request actually used; 0: unknown
		Load      Load
	}
	// ClientDeparted reports that a client no longer waits for its request, which needs no answer.
	ClientDeparted struct{ Request RequestID }
	// Expedite requires a final answer to a request now, whatever its deadline.
	Expedite struct{ Request RequestID }
	// Shutdown announces that this gateway ends at an instant: every request must have its answer by then,
	// whatever its deadline.
	Shutdown struct{ By Instant }
	// TimerFired reports that a timer has expired.
	TimerFired struct{ ID TimerID }
	// HealthChecked reports the outcome of a HealthCheck.
	HealthChecked struct {
		Server  ServerID
		Outcome Outcome
		Latency Span
		Load    Load
	}
	// CounterAnswered reports the outcome of a CounterAdd.
	CounterAnswered struct {
		Name    string
		Outcome Outcome
		Latency Span
		Total   float64 // counter's total in units, after the addition; valid if the outcome is OutcomeOK
	}
	// PeerMessage is a message from another gateway.
	PeerMessage struct {
		From int // index of the sending gateway
		Data []byte
	}
)

func (EndpointList) event()    {}
func (Arrival) event()         {}
func (LimitQuery) event()      {}
func (AnswerStarted) event()   {}
func (AttemptEnded) event()    {}
func (ClientDeparted) event()  {}
func (Expedite) event()        {}
func (Shutdown) event()        {}
func (TimerFired) event()      {}
func (HealthChecked) event()   {}
func (CounterAnswered) event() {}
func (PeerMessage) event()     {}

// arrival returns the query as an arrival with the given units.
func (q LimitQuery) arrival(units float64) Arrival {
	return Arrival{ID: q.ID, Plan: q.Plan, Customer: q.Customer, Remaining: q.Remaining, Units: units,
		Spread: q.Spread, FirstGateway: q.FirstGateway}
}
