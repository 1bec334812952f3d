// Package dewhitch decides, for one gateway of a shared API, which
// requests go on to which server while every customer stays inside a quota
// that all gateways keep together. It does no input or output and reads no
// clock: the caller hands it events and carries out the actions it returns.
package dewhitch

import "fmt"

// Instant is a point on the caller's monotonic clock, in nanoseconds.
type Instant int64

// Span is a length of time in nanoseconds.
type Span int64

const second = Span(1e9)

func seconds[T Instant | Span](d T) float64 { return float64(d) / 1e9 }

// bucket fills at a rate, up to a bound.
type bucket struct {
	level float64
	at    Instant
}

func (b *bucket) fill(now Instant, rate, most float64) {
	b.level = min(most, b.level+rate*seconds(now-b.at))
	b.at = now
}

type (
	// RequestID names one try of one client; it is never used again.
	RequestID string
	// ServerID names a server; it says nothing about it.
	ServerID uint32
	// CustomerID names the customer whose quota a request draws on.
	CustomerID uint64
	// TimerID comes back unchanged when a timer set by SetTimer is due.
	TimerID string
)

// rank is the server's place in the order in which gateway self uses servers: another order for each gateway. It is the
// finalizer of splitmix64 (Steele, Lea, Flood 2014), a bijection, so that no two servers share a place.
func (id ServerID) rank(self int) uint64 {
	h := uint64(id) + uint64(self+1)*0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}

// Idempotency tells what running a request twice would do.
type Idempotency int

// The effects.
const (
	Idempotent      Idempotency = iota // may be repeated at will
	IdempotentByKey                    // repeats are dropped by a group of servers, for a while
	NotIdempotent                      // must never run twice
)

// DedupScope is the set of servers that drop each other's repeats of a keyed request.
type DedupScope int

// The groups.
const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// same tells that two servers are in one group.
func (k DedupScope) same(a, b Endpoint) bool {
	return k == DedupAll || k == DedupZone && a.Zone == b.Zone || k == DedupCell && a.Cell == b.Cell
}

// Outcome is how an attempt, a probe or a counter call ended.
type Outcome int

// The outcomes.
const (
	OutcomeOK            Outcome = iota
	OutcomeError                 // the server answered with an error; it may have run
	OutcomeRejected              // turned away unseen
	OutcomeTimeout               // no answer in time; it may have run, or still run
	OutcomeConnectFailed         // no connection; it never ran
	OutcomeReset                 // the connection broke; it may have run
	OutcomeCancelled             // withdrawn; it may have run
	OutcomeNotSent               // never left the gateway
	OutcomeCount                 // how many there are
)

// String is the outcome's name in metrics and logs.
func (o Outcome) String() string {
	return [...]string{"ok", "error", "rejected", "timeout", "connect_failed", "reset", "cancelled", "not_sent"}[o]
}

// Class describes one kind of request.
type Class struct {
	Objective        Span    // answers within it earn full worth
	ObjectiveStretch float64 // the aim grows by this multiple of the request's own work
	Deadline         Span    // all of a client's waiting
	LateWeight       float64 // share of the worth of an answer after the aim
	Weight           float64 // worth
	Idempotency      Idempotency
	DedupScope       DedupScope
	DedupWindow      Span // how long a group remembers a keyed request
	Streaming        bool
}

// Plan is what a customer has bought; it holds over all gateways together.
type Plan struct {
	Rate, Burst                          float64 // the quota: a token bucket; no such quota if Rate is 0
	MaxInFlight                          int     // most attempts out at once; no such quota if 0
	CeilingRate, CeilingBurst, Tolerance float64 // the hard ceiling; none if CeilingRate is 0
	WeightFactor                         float64 // multiplies worth
	OverQuotaValue, OverQuotaCost        float64 // share of the worth, for what is sent on beyond the quota
}

// LoadFields is a set of the values a load report can hold.
type LoadFields uint8

// The values of a load report.
const (
	HasInflight LoadFields = 1 << iota
	HasQueue
	HasUtil
	HasLatency
	HasRate
	HasErrors
)

// Load is a server's report on itself: late, noisy, and only the fields in Has.
type Load struct {
	Has                     LoadFields
	Inflight, Queue, Util   float64
	LatencyMS, Rate, Errors float64
}

// loadFields are the fields of a load report by the names that reports give them.
var loadFields = map[string]LoadFields{"inflight": HasInflight, "queue": HasQueue, "util": HasUtil,
	"latency_ms": HasLatency, "qps": HasRate, "eps": HasErrors}

// LoadField finds a field by its name; 0: no such field.
func LoadField(name string) LoadFields { return loadFields[name] }

// Set puts a value into the report; one with an unknown name is passed over.
func (l *Load) Set(name string, v float64) {
	field := LoadField(name)
	l.Has |= field
	switch field {
	case HasInflight:
		l.Inflight = v
	case HasQueue:
		l.Queue = v
	case HasUtil:
		l.Util = v
	case HasLatency:
		l.LatencyMS = v
	case HasRate:
		l.Rate = v
	case HasErrors:
		l.Errors = v
	}
}

// ReportSource says where load reports come from.
type ReportSource int

// The sources.
const (
	ReportsNone ReportSource = iota
	ReportsInAnswers
	ReportsInProbes
)

// Settings are the facts a gateway is given at its start. They hold no names.
type Settings struct {
	Instances, Self int // how many gateways there are, and which this is
	Zones, Zone     int
	Tick            Span // least time between two rounds of events
	Classes         []Class
	Plans           []Plan

	Counter        bool // counter calls are possible
	CounterTimeout Span
	CounterFee     float64
	MeterPeriod    Span // answers tell a customer's use over such a period; 0: they do not
	MaxUnits       float64
	UnitsCorrected bool // units are a guess, put right by the answer

	MaxAttempts      int
	ParallelAttempts bool
	MayCancel        bool
	MayProbe         bool
	MayMessagePeers  bool // messages to other gateways are possible
	MaxRetryAfter    Span // longest wait a client obeys; 0: advice is not possible
	ConnectTimeout   Span

	ListOnRequest bool // the server list must be subscribed to
	Reports       ReportSource
	ReportFields  LoadFields
	RatingsDiffer bool // the list's ratings differ by server

	AnswerSlack, DrainGrace, PollWithin Span
	SlowStartSpan, OverloadSpan         Span // a cold server is warm after the first; pushed over within the second
	StartCapacity, OverloadMultiple     float64

	CrossZonePrice, WastePrice, ProbePrice, LatePrice float64
}

// Check names the first field that no gateway could work with, as New would: settings read anew are checked whole
// before any of them is used.
func (s *Settings) Check() error { return s.validate() }

// validate names the first field that no gateway could work with.
func (s *Settings) validate() error {
	check := func(ok bool, field string) error {
		if ok {
			return nil
		}
		return fmt.Errorf("dewhitch: impossible setting %s", field)
	}
	errs := []error{check(s.Instances > 0, "Instances"), check(s.Self >= 0 && s.Self < s.Instances, "Self"),
		check(s.Tick >= 0, "Tick"), check(s.CounterTimeout >= 0, "CounterTimeout"),
		check(!s.Counter || s.CounterTimeout > 0, "CounterTimeout"), check(len(s.Classes) > 0, "Classes"),
		check(s.MaxAttempts > 0, "MaxAttempts"), check(s.SlowStartSpan >= 0, "ColdSpan"),
		check(s.OverloadSpan >= 0, "FallSpan"), check(s.OverloadMultiple >= 0, "FallMultiple"),
		check(s.StartCapacity >= 0 && s.StartCapacity <= 1, "StartCapacity"), check(s.MaxUnits >= 0, "MaxUnits"),
		check(s.AnswerSlack >= 0, "AnswerSlack"), check(s.DrainGrace >= 0, "DrainGrace"),
		check(s.MaxRetryAfter >= 0, "MaxRetryAfter"), check(s.MeterPeriod >= 0, "MeterPeriod")}
	for i, c := range s.Classes {
		field := fmt.Sprintf("Classes[%d].", i)
		errs = append(errs, check(c.Objective > 0, field+"Aim"), check(c.Deadline > 0, field+"Deadline"),
			check(c.DedupWindow >= 0, field+"DedupWindow"), check(c.Weight >= 0, field+"Points"))
	}
	for i, p := range s.Plans {
		field := fmt.Sprintf("Plans[%d].", i)
		errs = append(errs, check(p.Rate >= 0, field+"Rate"), check(p.Burst >= 0, field+"Burst"),
			check(p.MaxInFlight >= 0, field+"Open"), check(p.CeilingRate >= 0, field+"CeilingRate"),
			check(p.CeilingBurst >= 0, field+"CeilingBurst"), check(p.Tolerance >= 0, field+"Tolerance"))
	}
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

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

// EndpointState is what the server list knows of a process.
type EndpointState int

// The states.
const (
	Ready EndpointState = iota
	Draining
	Removed
)

// Endpoint is one line of the server list.
type Endpoint struct {
	ID            ServerID        `json:"ID"`
	Cell          int             `json:"Cell"`
	Zone          int             `json:"Zone"`
	Kind          int             `json:"Kind"`
	StartedAt     Instant         `json:"Since"` // last start; 0: long ago
	Rating        float64         `json:"Rating"`
	State         EndpointState   `json:"State"`
	SlowStartRate float64         `json:"Feed"` // attempts a second that this gateway may send it while it is cold; 0: by its own guess
	HealthCheck   HealthCheckMode `json:"Look"`
}

// HealthCheckMode says that a server is looked at, to see whether it is well: what goes there goes there first, as its budget allows.
type HealthCheckMode int

// The looks.
const (
	HealthCheckOff        HealthCheckMode = iota
	HealthCheckIdempotent                 // by what may be repeated alone
	HealthCheckAny
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
	// Shutdown tells that this gateway ends: every request must have its answer by then, however long its client would wait.
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

// Reason tells what a request was refused or failed for. It is for bookkeeping: clients are told when to come back.
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

// Tally tells what a customer's tally holds, for bookkeeping; not known: the account was dropped, with its tally.
func (g *Gateway) Tally(id CustomerID) (units float64, known bool) {
	c, known := g.customers[id]
	if known {
		units = c.tally
	}
	return units, known
}

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
	// TallyChanged says that units went onto a customer's tally, which the next Count takes along; below 0: off it. A tally
	// also gets back what a Count could not add. It is for bookkeeping; nothing is to be done.
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
