package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Forecast is what work on machines will come to, by the same code that orders it.
type Forecast struct {
	Turns   []ForecastStep `json:"turns"`
	Elapsed time.Duration  `json:"took"`
	Spare   float64        `json:"spare"` // of what all servers can do, the least that is left beside the load
	MaxOut  int            `json:"most_out"`
	Stuck   []string       `json:"stuck,omitempty"` // machines that never get their turn, with what keeps them
}

// ForecastStep is one machine's.
type ForecastStep struct {
	Name string        `json:"name"`
	Free time.Duration `json:"free"` // after the beginning
	Done time.Duration `json:"done"`
}

const (
	aheadStep  = 200 * time.Millisecond
	aheadAcks  = 400 * time.Millisecond // until all gateways have acknowledged
	aheadProof = time.Second            // between two fetches that prove a machine
	aheadMost  = 24 * time.Hour
)

// Simulate plays a request on a fleet in which nothing else goes wrong: each machine is worked on for as long as the request allows.
// load is of what all servers can do, start the share of that which a cold one has.
func Simulate(cfg Config, servers map[string]Server, c Command, load, start float64) (a Forecast, err error) {
	o, b := New(cfg), Schedule{Roster: map[string]int64{}}
	servers = maps.Clone(servers)
	began := int64(1)
	for _, s := range servers {
		began = max(began, s.Since)
	}
	began += cfg.SlowStart.Milliseconds() // all are warm
	if err := request(&b, c, began); err != nil {
		return a, err
	}
	spell := time.Duration(c.ForMS) * time.Millisecond
	free, a := map[string]time.Duration{}, Forecast{Spare: 1}
	acked := map[string]uint64{}
	for now := time.Duration(0); now < aheadMost; now += aheadStep {
		unix := began + now.Milliseconds()
		out, can := 0, 0.0
		r := &b.Requests[0]
		for i := range r.Machines {
			m := &r.Machines[i]
			age := time.Duration(unix-m.Since) * time.Millisecond
			switch m.State {
			case Announced:
				if age >= aheadAcks {
					acked[m.Name] = m.Turn
				}
			case Free:
				if _, ok := free[m.Name]; !ok {
					free[m.Name] = now
				}
				if age >= spell-aheadStep {
					s := servers[m.Name]
					s.Since = unix
					servers[m.Name] = s
					b.over(r, m, unix, "")
				}
			case Back:
				if now%aheadProof == 0 {
					o.Observe(now, m.Name, 2, 0, 0, 0)
				}
			case Done:
				if f, ok := free[m.Name]; ok {
					a.Turns = append(a.Turns, ForecastStep{m.Name, f, now})
					delete(free, m.Name)
				}
			}
		}
		away := b.Withdrawn()
		for name, s := range servers {
			if _, gone := away[name]; gone {
				out++
				continue
			}
			part := 1.0
			if age := time.Duration(unix-s.Since) * time.Millisecond; s.Since > 0 && age < cfg.SlowStart {
				part = start + (1-start)*age.Seconds()/cfg.SlowStart.Seconds()
			}
			can += part
		}
		a.MaxOut, a.Spare = max(a.MaxOut, out), min(a.Spare, can/float64(len(servers))-load)
		if r.ended() {
			a.Elapsed = now
			return a, nil
		}
		if !slices.ContainsFunc(r.Machines, func(m Machine) bool { return m.State != Waiting && m.State != Done && m.State != Cancelled }) && now > time.Minute {
			if last := a.Turns; len(last) == 0 || now-last[len(last)-1].Done > time.Minute {
				a.Elapsed = now
				break // nothing moves any more
			}
		}
		f := Observations{Servers: servers, Members: map[string]Member{"g": {Reachable: true, Fresh: true, Withdrawn: maps.Clone(acked)}}, Rate: load * float64(len(servers))}
		b, _ = o.Step(now, unix, b, f)
	}
	for _, m := range b.Requests[0].Machines {
		if m.State != Done {
			a.Stuck = append(a.Stuck, fmt.Sprintf("%s: %s", m.Name, m.Note))
		}
	}
	return a, nil
}
