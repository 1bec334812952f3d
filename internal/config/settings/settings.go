// Package settings reads the settings object, which the simulator and a real gateway's configuration share.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	dw "dewhitch"
)

// object mirrors the settings object; keys not listed are skipped.
type object struct {
	Az    int
	Areas []string
	Caps  struct {
		ConnIdle, ConnectTimeout, MaxRetryAfter                    int64
		MayCancel, ParallelTries, PeerMessages, Probes, RetryAfter bool
		TryLimit                                                   int
	}
	Contracts []struct {
		Name                                                                            string
		BeyondEarns, CapRate, Depth, HardBurst, OverrunCost, Pays, QuotaRate, Tolerance float64
		Open                                                                            int
	}
	FamilyInfo struct {
		CountFee              float64
		CountLimit, UsePeriod int64
		Counter, TruedUp      bool
		UnitsTop              float64
	}
	Feedback struct {
		Fields []string
		Source string
	}
	Kinds          []string
	MembershipMode string
	MyNumber       int
	NInstances     int
	RequestClasses []struct {
		Aim, Deadline, DedupWindow    int64
		AimStretch, LateWorth, Points float64
		Effect, Group, Name           string
		Streaming                     bool
	}
	Rules struct {
		AnswerSlack, AskWithin, Cold, Fall, StopSendingWithin int64
		FallMultiple, StartCapacity                           float64
	}
	Tariffs struct{ CrossZone, LateFail, Probe, Waste float64 }
	Tick    int64
	Weights string
}

func word[T any](key, s string, m map[string]T) (T, error) {
	v, ok := m[s]
	if !ok {
		return v, fmt.Errorf("%s: unknown word %q", key, s)
	}
	return v, nil
}

// Names are the names in the settings, which the module does without, and what connections need to know.
type Names struct {
	Zones, Kinds, Classes, Plans []string
	ConnIdle                     time.Duration // a backend closes a connection that was idle for so long
}

// Decode reads the settings object.
func Decode(text []byte) (s dw.Settings, w Names, err error) {
	var c object
	if err := json.Unmarshal(text, &c); err != nil {
		return s, w, err
	}
	w = Names{Zones: c.Areas, Kinds: c.Kinds, ConnIdle: time.Duration(c.Caps.ConnIdle)}
	s = dw.Settings{Instances: c.NInstances, Self: c.MyNumber, Zones: len(c.Areas), Zone: c.Az, Tick: dw.Span(c.Tick),
		Counter: c.FamilyInfo.Counter, CounterTimeout: dw.Span(c.FamilyInfo.CountLimit),
		CounterFee: c.FamilyInfo.CountFee, MeterPeriod: dw.Span(c.FamilyInfo.UsePeriod),
		MaxUnits: c.FamilyInfo.UnitsTop, UnitsCorrected: c.FamilyInfo.TruedUp,
		MaxAttempts: c.Caps.TryLimit, ParallelAttempts: c.Caps.ParallelTries, MayCancel: c.Caps.MayCancel,
		MayProbe: c.Caps.Probes, MayMessagePeers: c.Caps.PeerMessages, ConnectTimeout: dw.Span(c.Caps.ConnectTimeout),
		RatingsDiffer: c.Weights != "none" && c.Weights != "",
		AnswerSlack:   dw.Span(c.Rules.AnswerSlack), DrainGrace: dw.Span(c.Rules.StopSendingWithin),
		PollWithin: dw.Span(c.Rules.AskWithin), SlowStartSpan: dw.Span(c.Rules.Cold), OverloadSpan: dw.Span(c.Rules.Fall),
		StartCapacity: c.Rules.StartCapacity, OverloadMultiple: c.Rules.FallMultiple,
		CrossZonePrice: c.Tariffs.CrossZone, WastePrice: c.Tariffs.Waste, ProbePrice: c.Tariffs.Probe,
		LatePrice: c.Tariffs.LateFail}
	if c.Caps.RetryAfter {
		s.MaxRetryAfter = dw.Span(c.Caps.MaxRetryAfter)
	}
	if s.ListOnRequest, err = word("MembershipMode", c.MembershipMode,
		map[string]bool{"": false, "pushed": false, "on_request": true}); err != nil {
		return s, w, err
	}
	if s.Reports, err = word("Feedback.Source", c.Feedback.Source, map[string]dw.ReportSource{"": dw.ReportsNone,
		"none": dw.ReportsNone, "answers": dw.ReportsInAnswers, "probe": dw.ReportsInProbes}); err != nil {
		return s, w, err
	}
	for _, name := range c.Feedback.Fields {
		s.ReportFields |= dw.LoadField(name)
	}
	for _, p := range c.Contracts {
		w.Plans = append(w.Plans, p.Name)
		s.Plans = append(s.Plans, dw.Plan{Rate: p.QuotaRate, Burst: p.Depth, MaxInFlight: p.Open, CeilingRate: p.CapRate,
			CeilingBurst: p.HardBurst, Tolerance: p.Tolerance, WeightFactor: p.Pays, OverQuotaValue: p.BeyondEarns,
			OverQuotaCost: p.OverrunCost})
	}
	for _, p := range c.RequestClasses {
		w.Classes = append(w.Classes, p.Name)
		k := dw.Class{Objective: dw.Span(p.Aim), ObjectiveStretch: p.AimStretch, Deadline: dw.Span(p.Deadline),
			LateWeight: p.LateWorth, Weight: p.Points, DedupWindow: dw.Span(p.DedupWindow), Streaming: p.Streaming}
		if k.Idempotency, err = word("RequestClasses.Effect", p.Effect,
			map[string]dw.Idempotency{"safe": dw.Idempotent, "keyed": dw.IdempotentByKey, "unsafe": dw.NotIdempotent}); err != nil {
			return s, w, err
		}
		if k.DedupScope, err = word("RequestClasses.Group", p.Group, map[string]dw.DedupScope{"": dw.DedupAll,
			"all": dw.DedupAll, "zone": dw.DedupZone, "cell": dw.DedupCell}); err != nil {
			return s, w, err
		}
		s.Classes = append(s.Classes, k)
	}
	return s, w, nil
}
