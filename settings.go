package dewhitch

import "fmt"

// Class describes one kind of request.
type Class struct {
	Objective        Span    // latency objective, from arrival to answer
	ObjectiveStretch float64 // the objective grows by this multiple of the request's own work
	Deadline         Span    // total time that a client waits
	LateWeight       float64 // fraction of Weight that an answer between objective and deadline earns
	Weight           float64 // priority weight
	Idempotency      Idempotency
	DedupScope       DedupScope // for IdempotentByKey
	DedupWindow      Span       // for IdempotentByKey: from the first attempt that may have run
	Streaming        bool       // an AnswerStarted comes when the answer begins
}

// Plan is what a customer has bought; it holds over all gateways together.
type Plan struct {
	Rate           float64 // units a second that fill the quota's token bucket; 0: no such quota
	Burst          float64 // units that the bucket holds
	MaxInFlight    int     // attempts in flight; 0: no such quota
	CeilingRate    float64 // units a second that fill the hard ceiling's bucket; 0: no ceiling
	CeilingBurst   float64 // units that it holds
	Tolerance      float64 // units by which it may drop below 0
	WeightFactor   float64 // multiplies the class's weight
	OverQuotaValue float64 // fraction of its weight that a request earns when served beyond the quota
	OverQuotaCost  float64 // fraction of its weight that it costs when forwarded beyond the quota
}

// ReportSource says where load reports come from.
type ReportSource int

// The sources.
const (
	ReportsNone      ReportSource = iota
	ReportsInAnswers              // in outcomes of attempts and of health checks
	ReportsInProbes               // in outcomes of health checks only
)

// Settings are the facts a gateway is given at its start. They hold no names. Defaults are the caller's: the
// zero value of Settings does not pass Check.
//
// The module decides nothing by Class.ObjectiveStretch and LateWeight, Plan.WeightFactor, CounterFee,
// MeterPeriod, MayProbe, MayMessagePeers, ConnectTimeout, Reports, ReportFields, RatingsDiffer, AnswerSlack,
// DrainGrace, PollWithin, OverloadSpan, OverloadMultiple and the prices: they are facts for its caller, or
// are only checked.
type Settings struct {
	Instances int // number of gateways
	Self      int // index of this one, from 0
	Zones     int
	Zone      int  // of this gateway
	Tick      Span // least time between two rounds of events
	Classes   []Class
	Plans     []Plan

	Counter        bool    // CounterAdd is possible
	CounterTimeout Span    // in which a call should be answered; the caller may wait for longer
	CounterFee     float64 // of the result, times counter calls by requests
	MeterPeriod    Span    // over which AttemptEnded.Used is metered; 0: it is not
	MaxUnits       float64 // of one request
	UnitsCorrected bool    // a request's units are an estimate, corrected by AttemptEnded.TrueUnits

	MaxAttempts      int  // of one request
	ParallelAttempts bool // a request may have more than one attempt out
	MayCancel        bool // CancelAttempt is possible
	MayProbe         bool // HealthCheck is possible
	MayMessagePeers  bool // messages to other gateways are possible
	MaxRetryAfter    Span // longest Retry-After that clients obey; 0: there is none
	ConnectTimeout   Span

	ListOnRequest bool // the endpoint list must be subscribed to
	Reports       ReportSource
	ReportFields  LoadFields
	RatingsDiffer bool // the list's ratings differ by server

	AnswerSlack      Span    // after the deadline, in which a final answer still counts
	DrainGrace       Span    // after which attempts to a draining server have to have stopped
	PollWithin       Span    // after which a list that is not subscribed to counts as known
	SlowStartSpan    Span    // after which a server that has started is warm
	OverloadSpan     Span    // for which a warming server bears overload
	StartCapacity    float64 // fraction of its capacity that a server starts with, from 0 to 1
	OverloadMultiple float64 // of its present capacity: what is overload of a warming server

	CrossZonePrice float64 // of the result, times attempts to another zone by requests
	WastePrice     float64 // of the result, times the fraction of the servers' work that served no answer
	ProbePrice     float64 // of the result, times health checks by requests
	LatePrice      float64 // of the result, times the fraction of the weight unserved after its objective
}

// SettingError is a setting that no gateway could work with.
type SettingError struct {
	Field string // by its name in the settings that the caller reads, such as Classes[0].Aim
}

// Error names the field.
func (e *SettingError) Error() string { return "dewhitch: impossible setting " + e.Field }

// Check returns a *SettingError for the first field that no gateway could work with, as New does: settings
// that are read anew are checked before any of them is used.
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

// fieldChecks keeps the error of the first check that failed; nil if none did.
type fieldChecks struct{ err error }

func (f *fieldChecks) check(ok bool, field string) {
	if f.err == nil && !ok {
		f.err = &SettingError{Field: field}
	}
}
