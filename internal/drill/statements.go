package drill

import (
	"cmp"
	"fmt"
	"slices"

	"go.starlark.net/starlark"
)

// setFleet parses the statement fleet(...). Scenario files use the names of its arguments.
func (b *scenarioBuilder) setFleet(c *builtinCall) (starlark.Value, error) {
	if b.hasFleet {
		return nil, fmt.Errorf("a second fleet; expected one")
	}
	b.hasFleet = true
	scenario := &b.scenario
	scenario.Gateways, scenario.Servers, scenario.Customers = 2, 4, 40
	scenario.Coordinated = true
	zones := starlark.NewList([]starlark.Value{starlark.String("a"), starlark.String("b"), starlark.String("c")})
	regions := starlark.NewDict(0)
	load, length, rate, leave := number(0.6), number(60), number(0), number(0)
	if err := c.unpack(
		"zones?", &zones,
		"gateways?", &scenario.Gateways,
		"servers?", &scenario.Servers,
		"hauliers?", &scenario.Customers,
		"Load?", &load,
		"length?", &length,
		"coordinated?", &scenario.Coordinated,
		"rate?", &rate,
		"cls?", &scenario.Class,
		"found?", &scenario.Discovery,
		"regions?", &regions,
		"leave?", &leave,
	); err != nil {
		return nil, err
	}
	scenario.Load = float64(load)
	scenario.Rate = float64(rate)
	scenario.DepartRatio = float64(leave)
	scenario.Length = seconds(length)
	if b.size.Gateways > 0 {
		scenario.Gateways = b.size.Gateways
	}
	for _, check := range []func() error{
		func() error { return scenario.setZones(zones) },
		scenario.checkRanges,
		scenario.checkClass,
		func() error { return scenario.setRegions(regions) },
		scenario.checkDiscovery,
	} {
		if err := check(); err != nil {
			return nil, err
		}
	}
	return starlark.None, nil
}

// setZones sets the zones. It returns an error unless they are distinct letters from a to z.
func (s *Scenario) setZones(zones *starlark.List) error {
	for i := range zones.Len() {
		zone, ok := starlark.AsString(zones.Index(i))
		if !ok || len(zone) != 1 || zone < "a" || zone > "z" || slices.Contains(s.Zones, zone) {
			return fmt.Errorf("zones: %v; expected letters from a to z, each once", zones.Index(i))
		}
		s.Zones = append(s.Zones, zone)
	}
	if len(s.Zones) == 0 {
		return fmt.Errorf("zones: none; expected one at least")
	}
	return nil
}

// checkRanges returns an error if a number of the fleet is outside its bounds.
func (s *Scenario) checkRanges() error {
	for _, v := range []struct {
		what     string
		value    float64
		min, max float64
	}{
		{"gateways", float64(s.Gateways), 1, float64(maxGateways / len(s.Zones))},
		{"servers", float64(s.Servers), 1, float64(maxServers / len(s.Zones))},
		{"hauliers", float64(s.Customers), 1, maxCustomers},
		{"load", s.Load, 0.01, 1.5},
		{"rate", s.Rate, 0, maxRate},
		{"leave", s.DepartRatio, 0, 1},
		{"length", s.Length.Seconds(), 1, maxLength.Seconds()},
	} {
		if err := checkRange(v.what, v.value, v.min, v.max); err != nil {
			return err
		}
	}
	return nil
}

func (s *Scenario) checkClass() error {
	if !slices.Contains([]string{"mixed", "safe", "keyed", "unsafe"}, s.Class) {
		return fmt.Errorf("cls = %q; expected mixed, safe, keyed or unsafe", s.Class)
	}
	return nil
}

func (s *Scenario) checkDiscovery() error {
	if !slices.Contains([]string{"seeds", "registry"}, s.Discovery) {
		return fmt.Errorf("found = %q; expected seeds or registry", s.Discovery)
	}
	return nil
}

// setRegions sets the regions of zones. It returns an error if a zone is not in the fleet or is in two regions.
func (s *Scenario) setRegions(regions *starlark.Dict) error {
	s.Regions = map[string]string{}
	for _, pair := range regions.Items() {
		region, ok := starlark.AsString(pair[0])
		list, isList := pair[1].(*starlark.List)
		if !ok || !isList || region == "" {
			return fmt.Errorf("regions: %v; expected {\"north\": [\"a\", \"b\"]}", regions)
		}
		for i := range list.Len() {
			zone, _ := starlark.AsString(list.Index(i))
			if !slices.Contains(s.Zones, zone) || s.Regions[zone] != "" {
				return fmt.Errorf("regions: %v; expected zones of %q, each once", list.Index(i), s.Zones)
			}
			s.Regions[zone] = region
		}
	}
	return nil
}

// addEvent parses the statement at(...).
func (b *scenarioBuilder) addEvent(c *builtinCall) (starlark.Value, error) {
	var when number
	var what starlark.Value
	if err := c.unpack("when", &when, "what", &what); err != nil {
		return nil, err
	}
	a, ok := what.(actionValue)
	if !ok {
		return nil, fmt.Errorf("at: got %s, expected an action such as silent(servers(\"b\"))", what.Type())
	}
	if err := checkRange("at", float64(when), 0, maxLength.Seconds()); err != nil {
		return nil, err
	}
	if len(b.scenario.Events) >= maxEvents {
		return nil, fmt.Errorf("more than %d events", maxEvents)
	}
	b.scenario.Events = append(b.scenario.Events, Event{seconds(when), c.position(), a.text, a.do, a.targets})
	return starlark.None, nil
}

// addExpect parses the statement expect(...). Scenario files use the names of its arguments.
func (b *scenarioBuilder) addExpect(c *builtinCall) (starlark.Value, error) {
	e := Expect{Pos: c.position(), MaxLost: -1, MaxSent: -1, MaxExcused: -1, MaxEvacuations: -1}
	var served, worst, from, to, applyTime, overload, fullTime number
	var targets starlark.Value
	if err := c.unpack(
		"served?", &served,
		"lost?", &e.MaxLost,
		"worst_5s?", &worst,
		"sent?", &e.MaxSent,
		"target?", &targets,
		"start?", &from,
		"end?", &to,
		"excused?", &e.MaxExcused,
		"leaves?", &e.MaxEvacuations,
		"plans?", &e.MinPlans,
		"seen?", &applyTime,
		"worked?", &e.MinWorked,
		"fed?", &overload,
		"full?", &fullTime,
	); err != nil {
		return nil, err
	}
	e.MinServed = float64(served)
	e.MinWorstServed = float64(worst)
	e.MaxApplyTime = float64(applyTime)
	e.MaxOverload = float64(overload)
	e.MaxFullTime = float64(fullTime)
	e.From = seconds(from)
	e.To = seconds(to)
	e.hasLost = e.MaxLost >= 0
	e.hasExcused = e.MaxExcused >= 0
	if err := b.checkExpect(&e, targets); err != nil {
		return nil, err
	}
	b.scenario.Expects = append(b.scenario.Expects, e)
	return starlark.None, nil
}

// checkExpect checks the numbers of an expectation and resolves its targets. It returns an error if one is invalid.
func (b *scenarioBuilder) checkExpect(e *Expect, targets starlark.Value) error {
	for what, v := range map[string]float64{"served": e.MinServed, "worst_5s": e.MinWorstServed} {
		if err := checkRange(what, v, 0, 1); err != nil {
			return err
		}
	}
	if e.MaxSent < 0 {
		return nil
	}
	t, ok := targets.(target)
	if !ok || e.To <= e.From {
		return fmt.Errorf("sent needs target, start and end, as in expect(sent = 20, target = servers(\"b\"), start = 10, end = 20)")
	}
	_, e.Targets = b.resolve(t)
	if len(e.Targets) == 0 {
		return fmt.Errorf("%s: expected servers", t)
	}
	return nil
}

// finish checks the whole scenario and sorts its events by time. Events of the same time keep the order of the file.
func (b *scenarioBuilder) finish(name string) (*Scenario, error) {
	if !b.hasFleet {
		return nil, fmt.Errorf("%s: no fleet(...)", name)
	}
	for _, e := range b.scenario.Events {
		if e.At >= b.scenario.Length {
			return nil, fmt.Errorf("%s: at %v, and the drill is over after %v", e.Pos, e.At, b.scenario.Length)
		}
	}
	slices.SortStableFunc(b.scenario.Events, func(x, y Event) int { return cmp.Compare(x.At, y.At) })
	return &b.scenario, nil
}
