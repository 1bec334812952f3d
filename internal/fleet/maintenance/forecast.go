package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"time"
)

// Forecast is the expected course of a request, simulated with a Scheduler.
type Forecast struct {
	Steps   []ForecastStep `json:"turns"`           // machines whose maintenance ended, in the order in which it ended
	Elapsed time.Duration  `json:"took"`            // simulated time until the request ended or got stuck
	Spare   float64        `json:"spare"`           // lowest spare capacity, as a fraction of the capacity of all servers
	MaxOut  int            `json:"most_out"`        // highest number of servers out of service at the same time
	Stuck   []string       `json:"stuck,omitempty"` // machines whose maintenance does not end, with the reason
}

// ForecastStep is the maintenance of one machine. Times are since the start of the forecast.
type ForecastStep struct {
	Name string        `json:"name"`
	Free time.Duration `json:"free"` // time of the release
	Done time.Duration `json:"done"` // time of the proof of health
}

// Parameters of the simulation.
const (
	forecastTick                 = 200 * time.Millisecond // simulated time between two steps
	forecastAckDelay             = 400 * time.Millisecond // time until all gateways have acknowledged an announcement
	forecastObservationInterval  = time.Second            // time between two load reports on a returned machine
	forecastServedPerObservation = 2                      // served attempts in each load report
	forecastMaxIdle              = time.Minute            // time without an active machine after which the request counts as stuck
	forecastMaxDuration          = 24 * time.Hour         // limit on the simulated time
)

// forecastRun is the state of one simulation.
type forecastRun struct {
	cfg          Config
	scheduler    *Scheduler
	schedule     Schedule
	servers      map[string]Server
	acknowledged map[string]uint64        // acknowledged announcement IDs by machine
	releasedAt   map[string]time.Duration // release times of machines that are not Done, by name
	releasedTime time.Duration            // time that each machine stays released
	load         float64                  // load as a fraction of the capacity of all servers
	startedAt    int64                    // start of the simulation in Unix ms
	now          time.Duration            // simulated time since startedAt
	result       Forecast
}

// Simulate returns the forecast of a request on a fleet without faults, in which each machine stays released for as long as the request
// allows. load is a fraction of the capacity of all servers, startCapacity the fraction of its capacity that a server has when it starts.
// It returns an error if the fleet would reject the request.
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

// newForecastRun returns a simulation that starts when all servers are warm.
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
		releasedTime: time.Duration(c.ForMS) * time.Millisecond,
		load:         load,
		startedAt:    startedAt + cfg.SlowStart.Milliseconds(),
		result:       Forecast{Spare: 1},
	}
}

func (f *forecastRun) unixMS() int64 { return f.startedAt + f.now.Milliseconds() }

// simulateMachines simulates the acknowledgements and load reports of the gateways and the operator's work, for each machine.
func (f *forecastRun) simulateMachines() {
	r := &f.schedule.Requests[0]
	for i := range r.Machines {
		m := &r.Machines[i]
		age := time.Duration(f.unixMS()-m.Since) * time.Millisecond
		switch m.State {
		case Announced:
			if age >= forecastAckDelay {
				f.acknowledged[m.Name] = m.AnnouncementID
			}
		case Released:
			f.simulateReleasedMachine(r, m, age)
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

// simulateReleasedMachine records the release of a machine, and restarts its server at the end of the maintenance, whatever the
// kind. age is the time since the release.
func (f *forecastRun) simulateReleasedMachine(r *Request, m *Machine, age time.Duration) {
	if _, ok := f.releasedAt[m.Name]; !ok {
		f.releasedAt[m.Name] = f.now
	}
	if age < f.releasedTime-forecastTick {
		return
	}
	server := f.servers[m.Name]
	server.Since = f.unixMS()
	f.servers[m.Name] = server
	f.schedule.endWork(r, m, f.unixMS(), "")
}

// updateExtremes updates the highest number of servers that are out, and the lowest spare capacity.
func (f *forecastRun) updateExtremes(startCapacity float64) {
	out := 0
	capacity := 0.0 // sum of the servers' capacities; a warm server has 1
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

// capacityFraction returns the fraction of its full capacity that a server has now. It grows linearly during slow start.
func (f *forecastRun) capacityFraction(s Server, startCapacity float64) float64 {
	age := time.Duration(f.unixMS()-s.Since) * time.Millisecond
	if s.Since <= 0 || age >= f.cfg.SlowStart {
		return 1
	}
	return startCapacity + (1-startCapacity)*age.Seconds()/f.cfg.SlowStart.Seconds()
}

// stuck returns true if no machine is out of service, and more than forecastMaxIdle has passed since the last maintenance ended, or since
// the start if none has ended.
func (f *forecastRun) stuck(r *Request) bool {
	active := slices.ContainsFunc(r.Machines, func(m Machine) bool { return m.State != Waiting && !m.ended() })
	if active || f.now <= forecastMaxIdle {
		return false
	}
	steps := f.result.Steps
	return len(steps) == 0 || f.now-steps[len(steps)-1].Done > forecastMaxIdle
}

// step advances the schedule. One simulated gateway stands for all.
func (f *forecastRun) step() {
	observed := Observations{
		Servers: f.servers,
		Members: map[string]Member{"g": {Reachable: true, Fresh: true, Withdrawn: maps.Clone(f.acknowledged)}},
		Rate:    f.load * float64(len(f.servers)),
	}
	f.schedule, _ = f.scheduler.Step(f.now, f.unixMS(), f.schedule, observed)
}
