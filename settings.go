package dewhitch

import "fmt"

// Class describes one kind of request.
type Class struct {
	Objective        Span    // latency objective, from arrival to answer
	ObjectiveStretch float64 // multiple of a request's own work that is added to the objective
	Deadline         Span    // total time that a client waits
	LateWeight       float64 // fraction of Weight that an answer between objective and deadline earns
	Weight           float64 // priority weight
	Idempotency      Idempotency
	DedupScope       DedupScope // servers that drop repeats; for IdempotentByKey only
	DedupWindow      Span       // time in which servers drop repeats, from the first attempt that may have run
	Streaming        bool       // an AnswerStarted event reports the start of each answer
}

// Plan holds the limits that a customer has bought and the weights of its requests. The limits apply to all
// gateways together.
type Plan struct {
	Rate           float64 // units per second that fill the quota's token bucket; 0: no such quota
	Burst          float64 // capacity of the quota's token bucket in units
	MaxInFlight    int     // maximum number of attempts in flight; 0: no such quota
	CeilingRate    float64 // units per second that fill the hard ceiling's token bucket; 0: no ceiling
	CeilingBurst   float64 // capacity of the hard ceiling's token bucket in units
	Tolerance      float64 // units by which the hard ceiling's bucket may drop below 0
	WeightFactor   float64 // factor on the weight of the request's class
	OverQuotaValue float64 // value of serving a request beyond the quota, as a fraction of its weight
	OverQuotaCost  float64 // cost of forwarding a request beyond the quota, as a fraction of its weight
}

// ReportSource is the set of outcomes that carry the servers' load reports.
type ReportSource int

// The sources of load reports.
const (
	ReportsNone      ReportSource = iota
	ReportsInAnswers              // outcomes of attempts and of health checks
	ReportsInProbes               // outcomes of health checks only
)

// Settings holds the parameters that a gateway is given at its start. Classes and plans have no names here.
// The caller supplies defaults: the zero value of Settings does not pass Check.
//
// No decision of the module depends on Class.ObjectiveStretch, Class.LateWeight, Plan.WeightFactor,
// CounterFee, MeterPeriod, MayProbe, MayMessagePeers, ConnectTimeout, Reports, ReportFields, RatingsDiffer,
// AnswerSlack, DrainGrace, PollWithin, OverloadSpan, OverloadMultiple or the prices: the caller uses them, or
// they are only validated.
type Settings struct {
	Instances int  // number of gateways
	Self      int  // index of this gateway, from 0
	Zones     int  // number of zones
	Zone      int  // zone of this gateway
	Tick      Span // minimum time between two rounds of events
	Classes   []Class
	Plans     []Plan

	MaxAccounts int // maximum number of customers whose state is kept; 0: no limit

	Counter        bool    // CounterAdd is available
	CounterTimeout Span    // time in which a counter call should be answered; the caller may wait longer
	CounterFee     float64 // fraction of the result that one counter call per request costs
	MeterPeriod    Span    // period over which AttemptEnded.Used is metered; 0: it is not metered
	MaxUnits       float64 // maximum number of units of one request
	UnitsCorrected bool    // a request's units are an estimate, corrected by AttemptEnded.TrueUnits

	MaxAttempts      int  // maximum number of attempts of one request
	ParallelAttempts bool // a request may have more than one attempt in flight
	MayCancel        bool // CancelAttempt is available
	MayProbe         bool // HealthCheck is available
	MayMessagePeers  bool // gateways can send messages to each other
	MaxRetryAfter    Span // longest Retry-After that clients obey; 0: there is no Retry-After
	ConnectTimeout   Span

	ListOnRequest bool         // the endpoint list must be subscribed to
	Reports       ReportSource // outcomes that carry load reports
	ReportFields  LoadFields   // values that load reports contain
	RatingsDiffer bool         // the ratings in the endpoint list differ by server

	AnswerSlack      Span    // time after the deadline in which a final answer still counts
	DrainGrace       Span    // time after which attempts to a draining server must have stopped
	PollWithin       Span    // time after which an endpoint list without subscription counts as known
	SlowStartSpan    Span    // time from the start of a server until it is warm
	OverloadSpan     Span    // time for which a warming server tolerates overload
	StartCapacity    float64 // fraction of its capacity that a server starts with, from 0 to 1
	OverloadMultiple float64 // multiple of its present capacity at which a warming server is overloaded

	CrossZonePrice float64 // fraction of the result that one attempt to another zone per request costs
	WastePrice     float64 // fraction of the result, times the fraction of server work that served no answer
	ProbePrice     float64 // fraction of the result that one health check per request costs
	LatePrice      float64 // fraction of the result, times the fraction of weight not served by its objective
}

// SettingError reports a setting that no gateway can work with.
type SettingError struct {
	Field string // name in the settings that the caller reads, such as Classes[0].Aim
}

// Error returns a message that names the field.
func (e *SettingError) Error() string { return "dewhitch: impossible setting " + e.Field }

// Check returns a *SettingError for the first field that no gateway can work with; New returns the same
// error. A caller that reloads settings checks them before it uses any of them.
func (s *Settings) Check() error {
	var fields fieldChecks
	fields.check(s.Instances > 0, "Instances")
	fields.check(s.Self >= 0 && s.Self < s.Instances, "Self")
	fields.check(s.Tick >= 0, "Tick")
	fields.check(s.CounterTimeout >= 0 && (!s.Counter || s.CounterTimeout > 0), "CounterTimeout")
	fields.check(len(s.Classes) > 0, "Classes")
	fields.check(s.MaxAttempts > 0, "MaxAttempts")
	fields.check(s.SlowStartSpan >= 0, "ColdSpan")
	fields.check(s.OverloadSpan >= 0, "FallSpan")
	fields.check(s.OverloadMultiple >= 0, "FallMultiple")
	fields.check(s.StartCapacity >= 0 && s.StartCapacity <= 1, "StartCapacity")
	fields.check(s.MaxUnits >= 0, "MaxUnits")
	fields.check(s.AnswerSlack >= 0, "AnswerSlack")
	fields.check(s.DrainGrace >= 0, "DrainGrace")
	fields.check(s.MaxRetryAfter >= 0, "MaxRetryAfter")
	fields.check(s.MeterPeriod >= 0, "MeterPeriod")
	for i := range s.Classes {
		s.Classes[i].check(&fields, fmt.Sprintf("Classes[%d].", i))
	}
	for i := range s.Plans {
		s.Plans[i].check(&fields, fmt.Sprintf("Plans[%d].", i))
	}
	return fields.err
}

func (c *Class) check(fields *fieldChecks, prefix string) {
	fields.check(c.Objective > 0, prefix+"Aim")
	fields.check(c.Deadline > 0, prefix+"Deadline")
	fields.check(c.DedupWindow >= 0, prefix+"DedupWindow")
	fields.check(c.Weight >= 0, prefix+"Points")
}

func (p *Plan) check(fields *fieldChecks, prefix string) {
	fields.check(p.Rate >= 0, prefix+"Rate")
	fields.check(p.Burst >= 0, prefix+"Burst")
	fields.check(p.MaxInFlight >= 0, prefix+"Open")
	fields.check(p.CeilingRate >= 0, prefix+"CeilingRate")
	fields.check(p.CeilingBurst >= 0, prefix+"CeilingBurst")
	fields.check(p.Tolerance >= 0, prefix+"Tolerance")
}

// fieldChecks holds the error of the first check that failed, or nil if none did.
type fieldChecks struct{ err error }

func (f *fieldChecks) check(ok bool, field string) {
	if f.err == nil && !ok {
		f.err = &SettingError{Field: field}
	}
}
