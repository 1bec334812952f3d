// Package settings decodes the settings object, which the simulator and the configuration of a gateway have in common. No
// other package maps the object's keys to the decision module's settings.
package settings

import (
	"encoding/json"
	"fmt"
	"time"

	dw "dewhitch"
)

// Names holds the parts of the settings object that the decision module does not use: names, by index in the module's settings,
// and a timeout of connections.
type Names struct {
	Zones, Kinds, Classes, Plans []string
	ConnIdle                     time.Duration // time after which a backend closes an idle connection
}

// Values of the keys that take a name. The empty name stands for an omitted key.
var (
	listModes     = map[string]bool{"": false, "pushed": false, "on_request": true}
	reportSources = map[string]dw.ReportSource{"": dw.ReportsNone, "none": dw.ReportsNone, "answers": dw.ReportsInAnswers,
		"probe": dw.ReportsInProbes}
	idempotencies = map[string]dw.Idempotency{"safe": dw.Idempotent, "keyed": dw.IdempotentByKey, "unsafe": dw.NotIdempotent}
	dedupScopes   = map[string]dw.DedupScope{"": dw.DedupAll, "all": dw.DedupAll, "zone": dw.DedupZone, "cell": dw.DedupCell}
)

// UnknownValueError is the error of a key whose value is not one of its named values.
type UnknownValueError struct {
	Key, Value string
}

// Error implements error.
func (e *UnknownValueError) Error() string { return fmt.Sprintf("%s: unknown word %q", e.Key, e.Value) }

// lookup returns the value of a key that takes a name, or an UnknownValueError.
func lookup[T any](key, value string, values map[string]T) (T, error) {
	v, known := values[value]
	if !known {
		return v, &UnknownValueError{key, value}
	}
	return v, nil
}

// Decode decodes the settings object. It does not check whether the module can work with the settings, which
// dewhitch.Settings.Check does.
func Decode(text []byte) (dw.Settings, Names, error) {
	var o object
	if err := json.Unmarshal(text, &o); err != nil {
		return dw.Settings{}, Names{}, err
	}
	names := Names{Zones: o.Areas, Kinds: o.Kinds, ConnIdle: time.Duration(o.Caps.ConnIdle)}
	s := o.scalars()
	var err error
	if s.ListOnRequest, err = lookup("MembershipMode", o.MembershipMode, listModes); err != nil {
		return s, names, err
	}
	if s.Reports, err = lookup("Feedback.Source", o.Feedback.Source, reportSources); err != nil {
		return s, names, err
	}
	for _, field := range o.Feedback.Fields {
		s.ReportFields |= dw.LoadField(field)
	}
	o.plans(&s, &names)
	err = o.classes(&s, &names)
	return s, names, err
}

// scalars returns the settings that have a single value.
func (o *object) scalars() dw.Settings {
	s := dw.Settings{
		Instances:        o.NInstances,
		Self:             o.MyNumber,
		Zones:            len(o.Areas),
		Zone:             o.Az,
		Tick:             dw.Span(o.Tick),
		Counter:          o.FamilyInfo.Counter,
		CounterTimeout:   dw.Span(o.FamilyInfo.CountLimit),
		CounterFee:       o.FamilyInfo.CountFee,
		MeterPeriod:      dw.Span(o.FamilyInfo.UsePeriod),
		MaxUnits:         o.FamilyInfo.UnitsTop,
		UnitsCorrected:   o.FamilyInfo.TruedUp,
		MaxAttempts:      o.Caps.TryLimit,
		ParallelAttempts: o.Caps.ParallelTries,
		MayCancel:        o.Caps.MayCancel,
		MayProbe:         o.Caps.Probes,
		MayMessagePeers:  o.Caps.PeerMessages,
		ConnectTimeout:   dw.Span(o.Caps.ConnectTimeout),
		RatingsDiffer:    o.Weights != "none" && o.Weights != "",
		AnswerSlack:      dw.Span(o.Rules.AnswerSlack),
		DrainGrace:       dw.Span(o.Rules.StopSendingWithin),
		PollWithin:       dw.Span(o.Rules.AskWithin),
		SlowStartSpan:    dw.Span(o.Rules.Cold),
		OverloadSpan:     dw.Span(o.Rules.Fall),
		StartCapacity:    o.Rules.StartCapacity,
		OverloadMultiple: o.Rules.FallMultiple,
		CrossZonePrice:   o.Tariffs.CrossZone,
		WastePrice:       o.Tariffs.Waste,
		ProbePrice:       o.Tariffs.Probe,
		LatePrice:        o.Tariffs.LateFail,
	}
	if o.Caps.RetryAfter {
		s.MaxRetryAfter = dw.Span(o.Caps.MaxRetryAfter)
	}
	return s
}

// plans appends the plans to the settings and their names to names.
func (o *object) plans(s *dw.Settings, names *Names) {
	for _, c := range o.Contracts {
		names.Plans = append(names.Plans, c.Name)
		s.Plans = append(s.Plans, dw.Plan{
			Rate:           c.QuotaRate,
			Burst:          c.Depth,
			MaxInFlight:    c.Open,
			CeilingRate:    c.CapRate,
			CeilingBurst:   c.HardBurst,
			Tolerance:      c.Tolerance,
			WeightFactor:   c.Pays,
			OverQuotaValue: c.BeyondEarns,
			OverQuotaCost:  c.OverrunCost,
		})
	}
}

// classes appends the request classes to the settings and their names to names. It fails for an unknown value.
func (o *object) classes(s *dw.Settings, names *Names) (err error) {
	for _, c := range o.RequestClasses {
		names.Classes = append(names.Classes, c.Name)
		class := dw.Class{
			Objective:        dw.Span(c.Aim),
			ObjectiveStretch: c.AimStretch,
			Deadline:         dw.Span(c.Deadline),
			LateWeight:       c.LateWorth,
			Weight:           c.Points,
			DedupWindow:      dw.Span(c.DedupWindow),
			Streaming:        c.Streaming,
		}
		if class.Idempotency, err = lookup("RequestClasses.Effect", c.Effect, idempotencies); err != nil {
			return err
		}
		if class.DedupScope, err = lookup("RequestClasses.Group", c.Group, dedupScopes); err != nil {
			return err
		}
		s.Classes = append(s.Classes, class)
	}
	return nil
}
