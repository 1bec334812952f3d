package snapshot

import (
	"errors"
	"fmt"
	"slices"

	dw "dewhitch"
)

// Of describes the settings of a process, with nothing learnt yet.
func Of(node string, s *dw.Settings, classes, plans []string) Image {
	m := Image{Node: node, Instances: s.Instances, Self: s.Self, Zones: s.Zones, Classes: classes}
	for i, p := range s.Plans {
		m.Plans = append(m.Plans, Plan{Name: name(plans, i), Rate: p.Rate, Burst: p.Burst, Ceiling: p.CeilingRate})
	}
	return m
}

func name(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return fmt.Sprint("#", i)
}

// ErrForeign says that a snapshot is another deployment's.
var ErrForeign = errors.New("of another deployment")

// Fit turns what m holds into the terms of now's settings, in place: classes and plans go by name. What belongs to one
// that is gone or has changed is left out, and dropped says how much; what is no number spoils the whole.
func Fit(m, now *Image) (l *dw.State, dropped int, err error) {
	if m.Node != now.Node || m.Instances != now.Instances || m.Self != now.Self || m.Zones != now.Zones {
		return nil, 0, fmt.Errorf("%w: %s, gateway %d of %d", ErrForeign, m.Node, m.Self, m.Instances)
	}
	l = &m.State
	if err := Check(m); err != nil {
		return nil, 0, err
	}
	class := make([]int, len(now.Classes)) // by index now, the index then
	for i, c := range now.Classes {
		if class[i] = slices.Index(m.Classes, c); class[i] < 0 {
			dropped++ // nothing is known of it
		}
	}
	sizes := make([]float64, len(class))
	for i, was := range class {
		if sizes[i] = 1; was >= 0 {
			sizes[i] = l.ClassSizes[was]
		}
	}
	l.ClassSizes = sizes
	for i := range l.Servers {
		v := &l.Servers[i]
		verdicts := make([]dw.FailureStatistics, len(class))
		for k, was := range class {
			if was >= 0 && was < len(v.Failures) {
				verdicts[k] = v.Failures[was]
			}
		}
		v.Failures = verdicts
	}
	kept := l.Customers[:0]
	for _, c := range l.Customers {
		if c.Plan = slices.Index(now.Plans, m.Plans[c.Plan]); c.Plan < 0 {
			dropped++
			continue
		}
		kept = append(kept, c)
	}
	l.Customers = kept
	return l, dropped, nil
}

// Check tells that all numbers are such as a gateway can have: the module takes them as they are.
func Check(m *Image) error {
	l := &m.State
	ok := len(l.ClassSizes) == len(m.Classes) && len(l.ZoneFailureShare) <= m.Zones
	within := func(least, most float64, all ...float64) {
		for _, v := range all {
			ok = ok && v >= least && v <= most // not so for what is no number
		}
	}
	const many, years = 1e12, 1e9
	within(0, many, l.SentAttempts, l.EndpointRequests, l.ThrottleRequests, l.ThrottleAccepts, l.RetryBudget)
	within(0, many, l.CounterCallRate, l.CounterMinLatency)
	within(1e-9, many, l.Latency, l.IdleLatency, l.MeanWeight)
	within(1e-9, many, l.ClassSizes...)
	within(0, 1-1e-9, l.ZoneFailureShare...)
	for _, v := range l.Servers {
		within(1e-9, many, v.Latency)
		within(-many, many, v.SlowStartBudget, v.Rating)
		for _, d := range v.Failures {
			within(0, 1000, float64(d.Count))
		}
	}
	for _, c := range l.Customers {
		ok = ok && c.Plan >= 0 && c.Plan < len(m.Plans) && c.Spread > 0 && c.Spread <= m.Instances && c.Window > 0
		within(-many, many, c.Level, c.WindowTotal, c.OwnInWindow)
		within(0, many, c.OwnRate, c.OthersRate, c.Demand, c.DemandSpan)
		within(-years, years, c.WindowElapsed)
		within(-many, many, c.Predicted)
	}
	if !ok {
		return fmt.Errorf("%w: a number out of bounds", ErrBroken)
	}
	return nil
}
