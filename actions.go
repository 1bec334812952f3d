package dewhitch

// Reason tells what a request was refused or failed for. It is for bookkeeping: clients are told when to
// come back.
type Reason int

// The reasons.
const (
	ReasonInvalid       Reason = iota // of no class or plan, or out of time
	ReasonQuota                       // no room in the quota, or at the cap on open attempts
	ReasonCeiling                     // none under the hard ceiling
	ReasonOverload                    // the servers are pressed, or none may be asked
	ReasonExhausted                   // out of attempts or of time
	ReasonCounterUnread               // the counter gave no exact answer in time
)

// Action is something the caller must do, in the order given.
type Action interface{ action() }

// The actions.
type (
	// StartAttempt starts an attempt; a request's attempts count from 0.
	StartAttempt struct {
		Request     RequestID
		Server      ServerID
		Timeout     Span // 0: until the client gives up
		StartWithin Span // it may begin to be written for so long, and is not sent after that; 0: for as long as it may take
	}
	// CancelAttempt withdraws an attempt.
	CancelAttempt struct {
		Request RequestID
		Attempt int
	}
	// Reject is a final answer: trying again does no harm.
	Reject struct {
		Request    RequestID
		Reason     Reason
		RetryAfter Span // 0: no advice
	}
	// Fail is a final answer that promises nothing.
	Fail struct {
		Request RequestID
		Reason  Reason
	}
	// LimitAnswer is the final answer to a LimitQuery, exact by the counter.
	LimitAnswer struct {
		Request          RequestID
		Limit            float64 // most units that can be left
		Remaining        float64 // units that may be taken now
		ReplenishedAfter Span    // until there are more; 0: there can't be
	}
	// AdjustAnswer is the final answer to a LimitAdjust.
	AdjustAnswer struct {
		Request RequestID
		Units   float64 // taken; below 0: given back, and never more than was used
	}
	// SetTimer asks for a TimerFired.
	SetTimer struct {
		At Instant
		ID TimerID
	}
	// CounterAdd adds to a named number that all gateways share, and reads it.
	CounterAdd struct {
		Name     string
		Customer CustomerID // whose tally it takes along, all of it
		Add      float64
		TTL      Span // a new name is forgotten after it
	}
	// TallyChanged says that units went onto a customer's tally, which the next Count takes along; below 0: off
	// it. A tally also gets back what a Count could not add. It is for bookkeeping; nothing is to be done.
	TallyChanged struct {
		Customer CustomerID
		Units    float64
	}
	// HealthCheck asks a server for its health.
	HealthCheck struct{ Server ServerID }
	// SubscribeEndpoints asks for changes of the server list.
	SubscribeEndpoints struct{}
)

func (StartAttempt) action()       {}
func (CancelAttempt) action()      {}
func (Reject) action()             {}
func (Fail) action()               {}
func (LimitAnswer) action()        {}
func (AdjustAnswer) action()       {}
func (SetTimer) action()           {}
func (CounterAdd) action()         {}
func (TallyChanged) action()       {}
func (HealthCheck) action()        {}
func (SubscribeEndpoints) action() {}
