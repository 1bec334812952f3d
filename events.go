package dewhitch

// Event is something that happened at this gateway.
type Event interface{ event() }

// ListKind says how an EndpointList is to be read.
type ListKind int

// The kinds of list.
const (
	ListFull   ListKind = iota // all servers: others are removed
	ListCached                 // all servers, from a cache
	ListDelta                  // those that have changed
	ListFailed                 // no list came; the one before stays in force
)

// The events.
type (
	// EndpointList brings the endpoint list, or changes of it.
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
		Remaining    Span    // until the client gives up
		Units        float64 // of the customer's quota
		Spread       int     // number of gateways that serve the customer
		FirstGateway int     // index of the first of them; the others follow it
		Repeat       bool    // the client marks it as a retry
		Write        bool
	}
	// LimitQuery asks what is left of a customer's quota; it takes no units. Its fields are those of Arrival.
	LimitQuery struct {
		ID           RequestID
		Plan         int
		Customer     CustomerID
		Remaining    Span
		Spread       int
		FirstGateway int
	}
	// LimitAdjust takes units from a customer's quota, or gives them back. Nothing is forwarded.
	LimitAdjust struct {
		LimitQuery
		Units float64 // 0 or below: given back
	}
	// AnswerStarted says that a streamed answer has begun.
	AnswerStarted struct {
		Request RequestID
		Attempt int
		Server  ServerID
		Latency Span
	}
	// AttemptEnded is the one outcome of an attempt.
	AttemptEnded struct {
		Request   RequestID
		Attempt   int // counted from 0
		Server    ServerID
		Outcome   Outcome
		Final     bool // the request is finished; no answer is owed
		Latency   Span
		Used      int     // 1 + the customer's metered use in percent of its rate; 0: unknown
		TrueUnits float64 // units that the request turned out to use; 0: unknown
		Load      Load
	}
	// ClientDeparted says that a client has left; no answer is owed.
	ClientDeparted struct{ Request RequestID }
	// Expedite says that a request must have its answer now, whatever its deadline.
	Expedite struct{ Request RequestID }
	// Shutdown says that this gateway ends: every request must have its answer by then, whatever its deadline.
	Shutdown struct{ By Instant }
	// TimerFired is the end of a timer.
	TimerFired struct{ ID TimerID }
	// HealthChecked is the outcome of a HealthCheck.
	HealthChecked struct {
		Server  ServerID
		Outcome Outcome
		Latency Span
		Load    Load
	}
	// CounterAnswered is the outcome of a CounterAdd.
	CounterAnswered struct {
		Name    string
		Outcome Outcome
		Latency Span
		Total   float64 // units, with those just added; valid if the outcome is OutcomeOK
	}
	// PeerMessage is a message from another gateway.
	PeerMessage struct {
		From int // index of the gateway
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

// arrival is the query as an arrival of so many units.
func (q LimitQuery) arrival(units float64) Arrival {
	return Arrival{ID: q.ID, Plan: q.Plan, Customer: q.Customer, Remaining: q.Remaining, Units: units,
		Spread: q.Spread, FirstGateway: q.FirstGateway}
}
