package dewhitch

// Reason is why a request was rejected or failed. It is for records: clients get the Retry-After only.
type Reason int

// The reasons.
const (
	ReasonInvalid            Reason = iota // no such class or plan, or no time left
	ReasonQuota                            // the quota is used up, or the limit of attempts in flight is reached
	ReasonCeiling                          // the hard ceiling is reached
	ReasonOverload                         // load shedding, or no server may take it
	ReasonExhausted                        // no attempt or no time is left
	ReasonCounterUnavailable               // the counter gave no exact answer in time
)

// Action is something that the caller must do. Actions are carried out in the order given.
type Action interface{ action() }

// The actions.
type (
	// StartAttempt sends a request to a server. A request's attempts count from 0.
	StartAttempt struct {
		Request     RequestID
		Server      ServerID
		Timeout     Span // 0: until the client gives up
		StartWithin Span // after that it is not sent if its writing has not begun; 0: no such bound
	}
	// CancelAttempt cancels an attempt, even if it is written. Its outcome still comes.
	CancelAttempt struct {
		Request RequestID
		Attempt int
	}
	// Reject is a final answer after which the client may send the request again.
	Reject struct {
		Request    RequestID
		Reason     Reason
		RetryAfter Span // 0: no advice
	}
	// Fail is a final answer that does not say whether the request has run.
	Fail struct {
		Request RequestID
		Reason  Reason
	}
	// LimitAnswer is the final answer to a LimitQuery, exact by the counter.
	LimitAnswer struct {
		Request          RequestID
		Limit            float64 // units that can be left at most
		Remaining        float64 // units that may be taken now
		ReplenishedAfter Span    // until there are more; 0: there are Limit already
	}
	// AdjustAnswer is the final answer to a LimitAdjust.
	AdjustAnswer struct {
		Request RequestID
		Units   float64 // taken; below 0: given back, at most what was used
	}
	// SetTimer asks for a TimerFired at an instant.
	SetTimer struct {
		At Instant
		ID TimerID
	}
	// CounterAdd adds to a named number that all gateways share, and reads it.
	CounterAdd struct {
		Name     string
		Customer CustomerID // whose whole tally is added
		Add      float64    // units
		TTL      Span       // after it a new name is forgotten
	}
	// TallyChanged says that units went onto a customer's tally, which the next CounterAdd takes along; below
	// 0: off it. What a CounterAdd could not add goes back onto the tally without this. It is for records;
	// there is nothing to do.
	TallyChanged struct {
		Customer CustomerID
		Units    float64
	}
	// HealthCheck asks a server for its health.
	HealthCheck struct{ Server ServerID }
	// SubscribeEndpoints asks for changes of the endpoint list.
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
