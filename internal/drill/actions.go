package drill

import (
	"fmt"
	"time"

	"go.starlark.net/starlark"

	"dewhitch/internal/standin/link"
)

// actions are the words for what is done to servers, ways and processes.
func (b *builder) actions(add func(string, func(*call) (starlark.Value, error))) {
	// onServers is an action on each server of a target, with a number beside it that has bounds.
	onServers := func(name, what string, least, most float64, do func(w *world, server string, v float64)) {
		add(name, func(c *call) (starlark.Value, error) {
			var t target
			v := number(1)
			pairs := []any{"target", &t}
			if what != "" {
				pairs = append(pairs, what, &v)
			}
			if err := c.unpack(pairs...); err != nil {
				return nil, err
			}
			_, servers := b.resolve(t)
			if len(servers) == 0 {
				return nil, fmt.Errorf("%s(%s): expected servers", name, t)
			}
			if what != "" {
				if err := within(what, float64(v), least, most); err != nil {
					return nil, err
				}
			}
			return act{c.text(), func(w *world) {
				for _, s := range servers {
					do(w, s, float64(v))
					if w.Told && name != "drain" && name != "undrain" {
						w.drain(s, name != "well")
					}
				}
			}, servers}, nil
		})
	}
	onServers("silent", "", 0, 0, func(w *world, s string, _ float64) { w.server(s).set(func(m *machine) { m.mode = silent }) })
	onServers("slow", "times", 1, 1000, func(w *world, s string, v float64) { w.server(s).set(func(m *machine) { m.slow = v }) })
	onServers("failing", "share", 0, 1, func(w *world, s string, v float64) {
		w.server(s).set(func(m *machine) { m.mode, m.share = failing, v })
	})
	onServers("down", "", 0, 0, func(w *world, s string, _ float64) { w.server(s).down() })
	onServers("well", "", 0, 0, func(w *world, s string, _ float64) { w.server(s).well() })
	onServers("drain", "", 0, 0, func(w *world, s string, _ float64) { w.drain(s, true) })
	onServers("undrain", "", 0, 0, func(w *world, s string, _ float64) { w.drain(s, false) })

	// onWays is an action on the ways between two targets.
	onWays := func(name string, numbers []string, change func(v map[string]float64, how string) func(*link.State)) {
		add(name, func(c *call) (starlark.Value, error) {
			var from, to target
			oneWay, how := false, "silent"
			values := make([]number, len(numbers))
			pairs := []any{"a", &from, "b", &to, "one_way?", &oneWay, "how?", &how}
			for i, n := range numbers {
				pairs = append(pairs, n+"?", &values[i])
			}
			if err := c.unpack(pairs...); err != nil {
				return nil, err
			}
			if how != "silent" && how != "refused" {
				return nil, fmt.Errorf("how = %q; expected silent or refused", how)
			}
			v := map[string]float64{}
			for i, n := range numbers {
				if err := within(n, float64(values[i]), 0, 1e9); err != nil {
					return nil, err
				}
				v[n] = float64(values[i])
			}
			return act{text: c.text(), do: func(w *world) {
				for _, a := range w.names(b, from) {
					for _, z := range w.names(b, to) {
						w.net.Set(a, z, change(v, how))
						if !oneWay {
							w.net.Set(z, a, change(v, how))
						}
					}
				}
			}}, nil
		})
	}
	onWays("cut", nil, func(_ map[string]float64, how string) func(*link.State) {
		return func(s *link.State) { s.Silent, s.Refused = how == "silent", how == "refused" }
	})
	onWays("delay", []string{"ms", "jitter", "loss"}, func(v map[string]float64, _ string) func(*link.State) {
		return func(s *link.State) {
			s.Delay, s.Jitter = time.Duration(v["ms"]*1e6), time.Duration(v["jitter"]*1e6)
			s.Loss = min(1, v["loss"])
		}
	})
	onWays("throttle", []string{"rate"}, func(v map[string]float64, _ string) func(*link.State) {
		return func(s *link.State) { s.Rate = int(v["rate"]) }
	})
	onWays("mend", nil, func(map[string]float64, string) func(*link.State) {
		return func(s *link.State) { *s = link.State{} }
	})
	add("reset", func(c *call) (starlark.Value, error) {
		var from, to target
		if err := c.unpack("a", &from, "b", &to); err != nil {
			return nil, err
		}
		return act{text: c.text(), do: func(w *world) {
			for _, a := range w.names(b, from) {
				for _, z := range w.names(b, to) {
					w.net.Reset(a, z)
				}
			}
		}}, nil
	})
	add("heal", func(c *call) (starlark.Value, error) {
		return act{text: "heal()", do: func(w *world) { w.net.Heal() }}, c.unpack()
	})

	add("lapse", func(c *call) (starlark.Value, error) {
		if b.s.Found != "registry" {
			return nil, fmt.Errorf("lapse(): expected fleet(found = \"registry\")")
		}
		return act{text: "lapse()", do: func(w *world) { w.lapse() }}, c.unpack()
	})

	add("work", func(c *call) (starlark.Value, error) {
		var t, at target
		kind, spell := "restart", number(4)
		if err := c.unpack("machines", &t, "at", &at, "kind?", &kind, "seconds?", &spell); err != nil {
			return nil, err
		}
		machines, servers := b.resolve(t)
		if len(servers) > 0 {
			machines = servers // a zone's, as gateways are asked for by name
		}
		gateways, _ := b.resolve(at)
		if len(machines) == 0 || len(gateways) == 0 && at.kind != "leader" {
			return nil, fmt.Errorf("work(%s, %s): expected servers or gateways, and a gateway that is asked", t, at)
		}
		if err := within("seconds", float64(spell), 0.5, 600); err != nil {
			return nil, err
		}
		return act{text: c.text(), do: func(w *world) { w.work(w.names(b, at), machines, kind, seconds(spell)) }}, nil
	})

	// onGateways is an action on each gateway of a target, or on the leader.
	onGateways := func(name, what string, least, most float64, needed bool, do func(w *world, g *gateway, d time.Duration, fresh bool)) {
		add(name, func(c *call) (starlark.Value, error) {
			var t target
			v, fresh := number(0), false
			pairs := []any{"target", &t}
			if what != "" {
				word := what
				if !needed {
					word += "?"
				}
				pairs = append(pairs, word, &v)
				if name != "stall" {
					pairs = append(pairs, "fresh?", &fresh)
				}
			}
			if err := c.unpack(pairs...); err != nil {
				return nil, err
			}
			gateways, _ := b.resolve(t)
			if len(gateways) == 0 && t.kind != "leader" {
				return nil, fmt.Errorf("%s(%s): expected gateways", name, t)
			}
			if err := within(what, float64(v), least, most); needed && err != nil {
				return nil, err
			}
			return act{text: c.text(), do: func(w *world) {
				for _, g := range w.names(b, t) {
					if g := w.gateway(g); g != nil {
						do(w, g, seconds(v), fresh)
					}
				}
			}}, nil
		})
	}
	onGateways("stall", "seconds", 0.01, 60, true, func(w *world, g *gateway, d time.Duration, _ bool) { w.stall(g, d) })
	for _, verb := range []string{"freeze", "thaw"} {
		add(verb, func(c *call) (starlark.Value, error) {
			var t target
			why := c.pos()
			if err := c.unpack("target", &t, "why?", &why); err != nil {
				return nil, err
			}
			gateways, _ := b.resolve(t)
			if len(gateways) == 0 && t.kind != "leader" {
				return nil, fmt.Errorf("%s(%s): expected gateways", verb, t)
			}
			return act{text: c.text(), do: func(w *world) {
				for _, g := range w.names(b, t) {
					w.settle(w.gateway(g), verb, why)
				}
			}}, nil
		})
	}
	onGateways("kill", "back", 0, 600, false, func(w *world, g *gateway, d time.Duration, fresh bool) { w.kill(g, d, fresh) })
	onGateways("term", "back", 0, 600, false, func(w *world, g *gateway, d time.Duration, fresh bool) { w.term(g, d, fresh) })
}

// Unpack implements starlark.Unpacker: a target is what gateways, servers and zones are named by.
func (t *target) Unpack(v starlark.Value) error {
	o, ok := v.(target)
	if !ok {
		return fmt.Errorf("got %s, expected gateways, servers or a zone", v.Type())
	}
	*t = o
	return nil
}
