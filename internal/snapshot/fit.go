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
func Fit(m, now *Image) (l *dw.Learnt, dropped int, err error) {
	if m.Node != now.Node || m.Instances != now.Instances || m.Self != now.Self || m.Zones != now.Zones {
		return nil, 0, fmt.Errorf("%w: %s, gateway %d of %d", ErrForeign, m.Node, m.Self, m.Instances)
	}
	l = &m.Learnt
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
			sizes[i] = l.Sizes[was]
		}
	}
	l.Sizes = sizes
	for i := range l.Servers {
		v := &l.Servers[i]
		verdicts := make([]dw.LearntVerdict, len(class))
		for k, was := range class {
			if was >= 0 && was < len(v.Verdicts) {
				verdicts[k] = v.Verdicts[was]
			}
		}
		v.Verdicts = verdicts
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
	l := &m.Learnt
	ok := len(l.Sizes) == len(m.Classes) && len(l.Cut) <= m.Zones
	within := func(least, most float64, all ...float64) {
		for _, v := range all {
			ok = ok && v >= least && v <= most // not so for what is no number
		}
	}
	const many, years = 1e12, 1e9
	within(0, many, l.Sent, l.Wanted, l.Tried, l.Good, l.Budget)
	within(0, many, l.CallRate, l.CallQuickest)
	within(1e-9, many, l.Latency, l.Idle, l.Worth)
	within(1e-9, many, l.Sizes...)
	within(0, 1-1e-9, l.Cut...)
	for _, v := range l.Servers {
		within(1e-9, many, v.Latency)
		within(-many, many, v.Fed, v.Rating)
		for _, d := range v.Verdicts {
			within(0, 1000, float64(d.Failed))
		}
	}
	for _, c := range l.Customers {
		ok = ok && c.Plan >= 0 && c.Plan < len(m.Plans) && c.Spread > 0 && c.Spread <= m.Instances && c.Window > 0
		within(-many, many, c.Level, c.Total, c.Mine)
		within(0, many, c.Own, c.Others, c.Asked, c.AskedIn)
		within(-years, years, c.Past)
		within(-many, many, c.Predicted)
	}
	if !ok {
		return fmt.Errorf("%w: a number out of bounds", ErrBroken)
	}
	return nil
}
