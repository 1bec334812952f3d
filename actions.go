package dewhitch

// Reason is why a request was rejected or failed. It is for records: clients get only the Retry-After.
type Reason int

// The reasons for rejections and failures.
const (
	ReasonInvalid            Reason = iota // class or plan does not exist, or no time is left
	ReasonQuota                            // the quota is used up, or the limit of attempts in flight is reached
	ReasonCeiling                          // the hard ceiling is reached
	ReasonOverload                         // load was shed, or no server may take the request
	ReasonExhausted                        // no attempt or no time is left
	ReasonCounterUnavailable               // the counter gave no exact total in time
)

// Action is something that the caller must do. The caller carries out actions in the order given.
type Action interface{ action() }

// The actions that Gateway.Handle returns.
type (
	// StartAttempt sends a request to a server. A request's attempts are numbered from 0.
	StartAttempt struct {
		Request     RequestID
		Server      ServerID
		Timeout     Span // time until the attempt ends without an answer; 0: until the client gives up
		StartWithin Span // time in which writing must begin, or the request is not sent; 0: no limit
	}
	// CancelAttempt cancels an attempt, even one that is already written. Its outcome still follows.
	CancelAttempt struct {
		Request RequestID
		Attempt int
	}
	// Reject is a final answer after which the client may send the request again.
	Reject struct {
		Request    RequestID
		Reason     Reason
		RetryAfter Span // time to wait before a retry; 0: no advice
	}
	// Fail is a final answer that leaves open whether the request has run.
	Fail struct {
		Request RequestID
		Reason  Reason
	}
	// LimitAnswer is the final answer to a LimitQuery, exact according to the counter.
	LimitAnswer struct {
		Request          RequestID
		Limit            float64 // maximum number of units that can remain
		Remaining        float64 // units that may be taken now
		ReplenishedAfter Span    // time until more units remain; 0: Remaining equals Limit
	}
	// AdjustAnswer is the final answer to a LimitAdjust.
	AdjustAnswer struct {
		Request RequestID
		Units   float64 // units taken; below 0: units returned, at most what was used
	}
	// SetTimer requests a TimerFired event at an instant.
	SetTimer struct {
		At Instant
		ID TimerID
	}
	// CounterAdd adds units to a named counter that all gateways share, and reads its total.
	CounterAdd struct {
		Name     string
		Customer CustomerID // customer whose whole tally is added
		Add      float64    // units to add
		TTL      Span       // time after which the counter forgets a new name
	}
	// TallyChanged reports that units were added to a customer's tally, or taken off it if negative. The next
	// CounterAdd includes the tally. Units that a CounterAdd could not add return to the tally without a
	// TallyChanged. It is for records; the caller need not act on it.
	TallyChanged struct {
		Customer CustomerID
		Units    float64
	}
	// HealthCheck requests a health check of a server.
	HealthCheck struct{ Server ServerID }
	// SubscribeEndpoints requests changes of the endpoint list.
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
