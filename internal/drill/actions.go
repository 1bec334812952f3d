package drill

import (
	"fmt"
	"time"

	"go.starlark.net/starlark"

	"dewhitch/internal/standin/link"
)

// registerFunc adds a function to the predeclared names of scenario files.
type registerFunc func(name string, f func(*builtinCall) (starlark.Value, error))

// actions registers the functions for actions on servers, links, machines under maintenance and gateways. Scenario files use the
// names of these functions and of their arguments.
func (b *scenarioBuilder) actions(add registerFunc) {
	b.serverActions(add)
	b.linkActions(add)
	b.maintenanceAction(add)
	b.gatewayActions(add)
	b.commandActions(add)
}

// serverAction describes an action on each server of a target. It may take one number, which must lie between min and max.
type serverAction struct {
	word           string // name of the function in scenario files
	argument       string // name of the number; empty if the action takes none
	min, max       float64
	do             func(cluster *cluster, server string, v float64)
	announcesDrain bool // true if, with Options.AnnounceFaults, discovery lists the servers as draining, or as up if endsFault
	endsFault      bool // true if the action makes the servers healthy
}

func (b *scenarioBuilder) serverActions(add registerFunc) {
	update := func(change func(m *serverModel, v float64)) func(*cluster, string, float64) {
		return func(cluster *cluster, server string, v float64) {
			cluster.server(server).update(func(m *serverModel) { change(m, v) })
		}
	}
	for _, a := range []serverAction{
		{word: "silent", announcesDrain: true, do: update(func(m *serverModel, _ float64) { m.mode = silent })},
		{word: "slow", argument: "times", min: 1, max: 1000, announcesDrain: true, do: update(func(m *serverModel, v float64) { m.slowFactor = v })},
		{word: "failing", argument: "share", min: 0, max: 1, announcesDrain: true, do: update(func(m *serverModel, v float64) {
			m.mode = failing
			m.failRatio = v
		})},
		{word: "down", announcesDrain: true, do: func(cluster *cluster, server string, _ float64) { cluster.server(server).stop() }},
		{word: "well", announcesDrain: true, endsFault: true, do: func(cluster *cluster, server string, _ float64) { cluster.server(server).recover() }},
		{word: "drain", do: func(cluster *cluster, server string, _ float64) { cluster.setDraining(server, true) }},
		{word: "undrain", do: func(cluster *cluster, server string, _ float64) { cluster.setDraining(server, false) }},
	} {
		add(a.word, func(c *builtinCall) (starlark.Value, error) { return b.serverAction(c, a) })
	}
}

// serverAction parses the call of a server action.
func (b *scenarioBuilder) serverAction(c *builtinCall, a serverAction) (starlark.Value, error) {
	var t target
	v := number(1)
	arguments := []any{"target", &t}
	if a.argument != "" {
		arguments = append(arguments, a.argument, &v)
	}
	if err := c.unpack(arguments...); err != nil {
		return nil, err
	}
	_, servers := b.resolve(t)
	if len(servers) == 0 {
		return nil, fmt.Errorf("%s(%s): expected servers", a.word, t)
	}
	if a.argument != "" {
		if err := checkRange(a.argument, float64(v), a.min, a.max); err != nil {
			return nil, err
		}
	}
	do := func(cluster *cluster) {
		for _, server := range servers {
			a.do(cluster, server, float64(v))
			if cluster.AnnounceFaults && a.announcesDrain {
				cluster.setDraining(server, !a.endsFault)
			}
		}
	}
	return actionValue{text: c.text(), do: do, targets: servers}, nil
}

// linkAction describes an action on the links between two targets, in one direction or both, with optional numbers.
type linkAction struct {
	word      string   // name of the function in scenario files
	arguments []string // names of the numbers
	change    func(s *link.State, values map[string]float64, how string)
}

func (b *scenarioBuilder) linkActions(add registerFunc) {
	for _, a := range []linkAction{
		{word: "cut", change: func(s *link.State, _ map[string]float64, how string) {
			s.Silent = how == "silent"
			s.Refused = how == "refused"
		}},
		{word: "delay", arguments: []string{"ms", "jitter", "loss"}, change: func(s *link.State, values map[string]float64, _ string) {
			s.Delay = time.Duration(values["ms"] * 1e6)
			s.Jitter = time.Duration(values["jitter"] * 1e6)
			s.Loss = min(1, values["loss"])
		}},
		{word: "throttle", arguments: []string{"rate"}, change: func(s *link.State, values map[string]float64, _ string) {
			s.Rate = int(values["rate"])
		}},
		{word: "mend", change: func(s *link.State, _ map[string]float64, _ string) { *s = link.State{} }},
	} {
		add(a.word, func(c *builtinCall) (starlark.Value, error) { return b.linkAction(c, a) })
	}
	add("reset", func(c *builtinCall) (starlark.Value, error) {
		var from, to target
		if err := c.unpack("a", &from, "b", &to); err != nil {
			return nil, err
		}
		return actionValue{text: c.text(), do: func(cluster *cluster) { cluster.eachPair(b, from, to, cluster.net.Reset) }}, nil
	})
	add("heal", func(c *builtinCall) (starlark.Value, error) {
		return actionValue{text: "heal()", do: func(cluster *cluster) { cluster.net.Heal() }}, c.unpack()
	})
	add("lapse", func(c *builtinCall) (starlark.Value, error) {
		if b.scenario.Discovery != "registry" {
			return nil, fmt.Errorf("lapse(): expected fleet(found = \"registry\")")
		}
		return actionValue{text: "lapse()", do: func(cluster *cluster) { cluster.expireSessions() }}, c.unpack()
	})
}

// linkAction parses the call of a link action.
func (b *scenarioBuilder) linkAction(c *builtinCall, a linkAction) (starlark.Value, error) {
	var from, to target
	oneWay, how := false, "silent"
	numbers := make([]number, len(a.arguments))
	arguments := []any{"a", &from, "b", &to, "one_way?", &oneWay, "how?", &how}
	for i, name := range a.arguments {
		arguments = append(arguments, name+"?", &numbers[i])
	}
	if err := c.unpack(arguments...); err != nil {
		return nil, err
	}
	if how != "silent" && how != "refused" {
		return nil, fmt.Errorf("how = %q; expected silent or refused", how)
	}
	values := map[string]float64{}
	for i, name := range a.arguments {
		if err := checkRange(name, float64(numbers[i]), 0, 1e9); err != nil {
			return nil, err
		}
		values[name] = float64(numbers[i])
	}
	change := func(s *link.State) { a.change(s, values, how) }
	do := func(cluster *cluster) {
		cluster.eachPair(b, from, to, func(source, destination string) {
			cluster.net.Set(source, destination, change)
			if !oneWay {
				cluster.net.Set(destination, source, change)
			}
		})
	}
	return actionValue{text: c.text(), do: do}, nil
}

// eachPair calls f for each pair of a name in from and a name in to.
func (c *cluster) eachPair(b *scenarioBuilder, from, to target, f func(source, destination string)) {
	for _, source := range c.resolveNames(b, from) {
		for _, destination := range c.resolveNames(b, to) {
			f(source, destination)
		}
	}
}

// maintenanceAction registers work, which requests maintenance of servers or gateways at a gateway.
func (b *scenarioBuilder) maintenanceAction(add registerFunc) {
	add("work", func(c *builtinCall) (starlark.Value, error) {
		var t, at target
		kind, workTime := "restart", number(4)
		if err := c.unpack("machines", &t, "at", &at, "kind?", &kind, "seconds?", &workTime); err != nil {
			return nil, err
		}
		machines, servers := b.resolve(t)
		if len(servers) > 0 {
			machines = servers // a zone stands for its servers; maintenance of gateways needs a target of gateways
		}
		gateways, _ := b.resolve(at)
		if len(machines) == 0 || len(gateways) == 0 && at.kind != "leader" {
			return nil, fmt.Errorf("work(%s, %s): expected servers or gateways, and a gateway that takes the request", t, at)
		}
		if err := checkRange("seconds", float64(workTime), 0.5, 600); err != nil {
			return nil, err
		}
		do := func(cluster *cluster) {
			cluster.scheduleWork(cluster.resolveNames(b, at), machines, kind, seconds(workTime))
		}
		return actionValue{text: c.text(), do: do}, nil
	})
}

// gatewayAction describes an action on each gateway of a target, or on the leader, with a time in seconds.
type gatewayAction struct {
	word       string // name of the function in scenario files
	argument   string // name of the time
	required   bool   // true if the time must be given, between min and max seconds
	min, max   float64
	takesFresh bool // true if the call may have the argument fresh, by which the gateway loses its files
	do         func(cluster *cluster, g *gateway, d time.Duration, fresh bool)
}

func (b *scenarioBuilder) gatewayActions(add registerFunc) {
	for _, a := range []gatewayAction{
		{word: "stall", argument: "seconds", required: true, min: 0.01, max: 60,
			do: func(cluster *cluster, g *gateway, d time.Duration, _ bool) { cluster.stallGateway(g, d) }},
		{word: "kill", argument: "back", takesFresh: true, do: (*cluster).killGateway},
		{word: "term", argument: "back", takesFresh: true, do: (*cluster).terminateGateway},
	} {
		add(a.word, func(c *builtinCall) (starlark.Value, error) { return b.gatewayAction(c, a) })
	}
}

// gatewayAction parses the call of a gateway action.
func (b *scenarioBuilder) gatewayAction(c *builtinCall, a gatewayAction) (starlark.Value, error) {
	var t target
	v, fresh := number(0), false
	argument := a.argument
	if !a.required {
		argument += "?"
	}
	arguments := []any{"target", &t, argument, &v}
	if a.takesFresh {
		arguments = append(arguments, "fresh?", &fresh)
	}
	if err := c.unpack(arguments...); err != nil {
		return nil, err
	}
	if err := b.requireGateways(a.word, t); err != nil {
		return nil, err
	}
	if a.required {
		if err := checkRange(a.argument, float64(v), a.min, a.max); err != nil {
			return nil, err
		}
	}
	do := func(cluster *cluster) {
		for _, name := range cluster.resolveNames(b, t) {
			if g := cluster.gateway(name); g != nil {
				a.do(cluster, g, seconds(v), fresh)
			}
		}
	}
	return actionValue{text: c.text(), do: do}, nil
}

// requireGateways returns an error unless a target names gateways or the leader.
func (b *scenarioBuilder) requireGateways(name string, t target) error {
	gateways, _ := b.resolve(t)
	if len(gateways) == 0 && t.kind != "leader" {
		return fmt.Errorf("%s(%s): expected gateways", name, t)
	}
	return nil
}

// commandActions registers the operators' commands whose only argument is a reason. The default reason is the position in the
// file.
func (b *scenarioBuilder) commandActions(add registerFunc) {
	for _, verb := range []string{"freeze", "thaw"} {
		add(verb, func(c *builtinCall) (starlark.Value, error) {
			var t target
			why := c.position()
			if err := c.unpack("target", &t, "why?", &why); err != nil {
				return nil, err
			}
			if err := b.requireGateways(verb, t); err != nil {
				return nil, err
			}
			do := func(cluster *cluster) {
				for _, name := range cluster.resolveNames(b, t) {
					cluster.sendCommand(cluster.gateway(name), verb, why)
				}
			}
			return actionValue{text: c.text(), do: do}, nil
		})
	}
}
