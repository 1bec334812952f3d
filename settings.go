package dewhitch

import "fmt"

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

// Check names the first field that no gateway could work with, as New would: settings read anew are checked
// whole before any of them is used.
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
