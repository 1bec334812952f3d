package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Forecast is the expected course of a request, simulated with the Scheduler itself.
type Forecast struct {
	Steps   []ForecastStep `json:"turns"`
	Elapsed time.Duration  `json:"took"`
	Spare   float64        `json:"spare"`           // lowest capacity beyond the load, as a fraction of the capacity of all servers
	MaxOut  int            `json:"most_out"`        // servers
	Stuck   []string       `json:"stuck,omitempty"` // machines that never have their turn, with what blocks them
}

// ForecastStep is the turn of one machine. The times are from the start of the forecast.
type ForecastStep struct {
	Name string        `json:"name"`
	Free time.Duration `json:"free"`
	Done time.Duration `json:"done"`
}

// Parameters of the simulation.
const (
	forecastTick                 = 200 * time.Millisecond
	forecastAckDelay             = 400 * time.Millisecond // until all gateways have acknowledged a turn
	forecastObservationInterval  = time.Second            // between two observations of a returned machine
	forecastServedPerObservation = 2                      // attempts in each of them
	forecastMaxIdle              = time.Minute            // without a turn, until the rest is stuck
	forecastMaxDuration          = 24 * time.Hour
)

// forecastRun is the state of one simulation.
type forecastRun struct {
	cfg          Config
	scheduler    *Scheduler
	schedule     Schedule
	servers      map[string]Server
	acknowledged map[string]uint64        // turn by machine
	releasedAt   map[string]time.Duration // of machines with a turn that is not done
	workTime     time.Duration            // of each machine
	load         float64                  // fraction of the capacity of all servers
	startedAt    int64                    // Unix ms
	now          time.Duration            // since then
	result       Forecast
}

// Simulate plays a request on a fleet without any other fault: each machine is free for as long as the request allows. load is a fraction
// of the capacity of all servers, start the fraction of its capacity that a server has when it starts. It returns the error of a request
// that would be refused.
func Simulate(cfg Config, servers map[string]Server, c Command, load, startCapacity float64) (Forecast, error) {
	run := newForecastRun(cfg, servers, c, load)
	if err := submitRequest(&run.schedule, c, run.startedAt); err != nil {
		return Forecast{}, err
	}
	for ; run.now < forecastMaxDuration; run.now += forecastTick {
		run.simulateMachines()
		run.updateExtremes(startCapacity)
		r := &run.schedule.Requests[0]
		if r.ended() {
			run.result.Elapsed = run.now
			return run.result, nil
		}
		if run.stuck(r) {
			run.result.Elapsed = run.now
			break
		}
		run.step()
	}
	for _, m := range run.schedule.Requests[0].Machines {
		if m.State != Done {
			run.result.Stuck = append(run.result.Stuck, fmt.Sprintf("%s: %s", m.Name, m.Note))
		}
	}
	return run.result, nil
}

// newForecastRun starts at a time at which all servers are warm.
func newForecastRun(cfg Config, servers map[string]Server, c Command, load float64) *forecastRun {
	startedAt := int64(1)
	for _, s := range servers {
		startedAt = max(startedAt, s.Since)
	}
	return &forecastRun{
		cfg:          cfg,
		scheduler:    New(cfg),
		schedule:     Schedule{Roster: map[string]int64{}},
		servers:      maps.Clone(servers),
		acknowledged: map[string]uint64{},
		releasedAt:   map[string]time.Duration{},
		workTime:     time.Duration(c.ForMS) * time.Millisecond,
		load:         load,
		startedAt:    startedAt + cfg.SlowStart.Milliseconds(),
		result:       Forecast{Spare: 1},
	}
}

func (f *forecastRun) unix() int64 { return f.startedAt + f.now.Milliseconds() }

// simulateMachines plays the gateways and the operator on each machine.
func (f *forecastRun) simulateMachines() {
	r := &f.schedule.Requests[0]
	for i := range r.Machines {
		m := &r.Machines[i]
		age := time.Duration(f.unix()-m.Since) * time.Millisecond
		switch m.State {
		case Announced:
			if age >= forecastAckDelay {
				f.acknowledged[m.Name] = m.AnnouncementID
			}
		case Released:
			f.workOn(r, m, age)
		case Returned:
			if f.now%forecastObservationInterval == 0 {
				f.scheduler.Observe(f.now, m.Name, forecastServedPerObservation, 0, 0, 0)
			}
		case Done:
			if releasedAt, ok := f.releasedAt[m.Name]; ok {
				f.result.Steps = append(f.result.Steps, ForecastStep{m.Name, releasedAt, f.now})
				delete(f.releasedAt, m.Name)
			}
		}
	}
}

// workOn restarts a machine at the end of its work.
func (f *forecastRun) workOn(r *Request, m *Machine, age time.Duration) {
	if _, ok := f.releasedAt[m.Name]; !ok {
		f.releasedAt[m.Name] = f.now
	}
	if age < f.workTime-forecastTick {
		return
	}
	server := f.servers[m.Name]
	server.Since = f.unix()
	f.servers[m.Name] = server
	f.schedule.endWork(r, m, f.unix(), "")
}

// updateExtremes updates the extremes: the machines that are out, and the capacity beyond the load.
func (f *forecastRun) updateExtremes(startCapacity float64) {
	out := 0
	capacity := 0.0 // in warm servers
	withdrawn := f.schedule.Withdrawn()
	for name, s := range f.servers {
		if _, isWithdrawn := withdrawn[name]; isWithdrawn {
			out++
			continue
		}
		capacity += f.capacityFraction(s, startCapacity)
	}
	f.result.MaxOut = max(f.result.MaxOut, out)
	f.result.Spare = min(f.result.Spare, capacity/float64(len(f.servers))-f.load)
}

// capacityFraction is the fraction of its capacity that a server has; it grows linearly over the slow start.
func (f *forecastRun) capacityFraction(s Server, startCapacity float64) float64 {
	age := time.Duration(f.unix()-s.Since) * time.Millisecond
	if s.Since <= 0 || age >= f.cfg.SlowStart {
		return 1
	}
	return startCapacity + (1-startCapacity)*age.Seconds()/f.cfg.SlowStart.Seconds()
}

// stuck tells whether no machine has a turn, and none had one for forecastMaxIdle.
func (f *forecastRun) stuck(r *Request) bool {
	active := slices.ContainsFunc(r.Machines, func(m Machine) bool { return m.State != Waiting && !m.ended() })
	if active || f.now <= forecastMaxIdle {
		return false
	}
	steps := f.result.Steps
	return len(steps) == 0 || f.now-steps[len(steps)-1].Done > forecastMaxIdle
}

// step advances the schedule, with one gateway that acknowledges for all.
func (f *forecastRun) step() {
	observed := Observations{
		Servers: f.servers,
		Members: map[string]Member{"g": {Reachable: true, Fresh: true, Withdrawn: maps.Clone(f.acknowledged)}},
		Rate:    f.load * float64(len(f.servers)),
	}
	f.schedule, _ = f.scheduler.Step(f.now, f.unix(), f.schedule, observed)
}
