package drill

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Time spans that results are measured over.
const (
	worstWindowSeconds = 5                       // length of the window of Result.WorstServed
	endSpan            = 5 * time.Second         // length of the window of ServerFault.SentAtEnd
	probeFreeTime      = 2500 * time.Millisecond // time after a fault before the fleet can send its first probe
)

// Result is the result of a drill. Its ratios are fractions of the value of all requests; the value of a request is the priority
// weight of its class times the price of its plan.
type Result struct {
	Scenario          string            `json:"scenario"`
	Seed              uint64            `json:"seed"`
	Coordinated       bool              `json:"coordinated"`
	Processes         int               `json:"processes"`
	Requests          int               `json:"reqs"`
	Served            float64           `json:"served"`                  // ratio of the value served in time
	WorstServed       float64           `json:"worst_5s"`                // ratio of the value served in time in the worst five seconds
	Outcomes          map[string]int    `json:"ends"`                    // number of requests by outcome
	Lost              int               `json:"lost"`                    // number of requests without an answer
	ViolationsByRule  map[string]int    `json:"rules"`                   // number of violations by rule
	DepartedClients   DepartedClients   `json:"left"`                    // requests whose client departed
	CPUPerRequest     float64           `json:"cpu_us_per_req"`          // processor time in microseconds per request
	FleetBytes        float64           `json:"fleet_bytes_per_s"`       // bytes per second between gateways, per gateway
	Fleet             *FleetResult      `json:"fleet,omitempty"`         // nil if the gateways ran uncoordinated, without the fleet view
	Work              *WorkResult       `json:"work,omitempty"`          // nil if no maintenance was requested
	SlowStarts        []SlowStartResult `json:"returns,omitempty"`       // restarts of servers
	ServerFaults      []ServerFault     `json:"troubles,omitempty"`      // faults of servers
	ServedBySecond    []float64         `json:"served_by_second"`        // ratio of the value served in time, by second
	SentToZones       map[string][]int  `json:"sent_by_second_to_zones"` // number of attempts by zone and second
	SentToServers     map[string][]int  `json:"-"`                       // number of attempts by server and second
	Timeline          []TimelineEvent   `json:"timeline"`
	Violations        []string          `json:"breaches,omitempty"`             // descriptions of the first violations
	UnmetExpectations []string          `json:"expectations_not_met,omitempty"` // positions and descriptions
}

// ServerFault counts the attempts that were sent to servers with a fault of the scenario. Times are in seconds since the start of
// the load.
type ServerFault struct {
	Action      string             `json:"what"`            // action that caused the fault, as written in the file
	At          float64            `json:"at"`              // start of the fault
	Until       float64            `json:"until"`           // end of the fault, or of the drill
	Sent        int                `json:"sent"`            // number of attempts during the fault
	SentAtEnd   int                `json:"sent_in_last_5s"` // number of attempts in the fault's last five seconds
	LastRequest map[string]float64 `json:"last_req_after"`  // seconds from At to the last request of each gateway
	// LastBeforeProbes is like LastRequest, but covers only the time before the fleet can send a probe. It shows when each
	// gateway evacuated the servers.
	LastBeforeProbes map[string]float64 `json:"last_req_before_probes"`
}

// LastSendTimes returns the earliest and the latest time in LastBeforeProbes, or zeros if it is empty.
func (f ServerFault) LastSendTimes() (first, last float64) {
	times := slices.Sorted(maps.Values(f.LastBeforeProbes))
	if len(times) == 0 {
		return 0, 0
	}
	return times[0], times[len(times)-1]
}

// result collects what the parts of the drill recorded. It is called after the processes have exited.
func (c *cluster) result() *Result {
	total := c.generator.sum(0, len(c.generator.seconds))
	r := &Result{
		Scenario:    c.Name,
		Seed:        c.Seed,
		Coordinated: c.coordinated(),
		Processes:   len(c.gateways),
		Served:      total.servedRatio(),
		WorstServed: 1,
		Outcomes:    map[string]int{},
		Lost:        total.outcomes[unanswered],
		Timeline:    c.timeline,
	}
	for outcome := range outcomeCount {
		r.Outcomes[outcomeNames[outcome]] = total.outcomes[outcome]
		r.Requests += total.outcomes[outcome]
	}
	c.addSeconds(r)
	cpu := time.Duration(0)
	for _, g := range c.gateways {
		cpu += g.cpu
	}
	r.CPUPerRequest = cpu.Seconds() * 1e6 / float64(max(1, r.Requests))
	r.DepartedClients = c.checker.departedClients()
	c.addViolations(r)
	r.SentToZones, r.SentToServers = c.checker.countBySecond(c.startedAt, len(r.ServedBySecond))
	c.addFaults(r)
	r.SlowStarts = c.measureSlowStarts()
	r.Work = c.workResult()
	if c.coordinated() {
		r.Fleet = c.fleetLog.result()
	}
	c.checkExpectations(r)
	return r
}

// addSeconds adds the served ratio of each second, and the lowest one over worstWindowSeconds.
func (c *cluster) addSeconds(r *Result) {
	for i := range c.generator.seconds {
		if i+worstWindowSeconds <= max(worstWindowSeconds, int(c.Length.Seconds())) {
			s := c.generator.sum(i, i+worstWindowSeconds)
			r.WorstServed = min(r.WorstServed, s.servedRatio())
		}
		r.ServedBySecond = append(r.ServedBySecond, c.generator.sum(i, i+1).servedRatio())
	}
}

// addViolations adds the violations of rules. Lost requests violate a rule even if none of them reached a server.
func (c *cluster) addViolations(r *Result) {
	var violations []violation
	r.ViolationsByRule, violations = c.checker.violations()
	if r.Lost > 0 {
		r.ViolationsByRule[ruleLost] = max(r.ViolationsByRule[ruleLost], r.Lost)
		if len(violations) == 0 {
			r.Violations = append(r.Violations, fmt.Sprintf("lost: %d requests have no answer", r.Lost))
		}
	}
	for _, v := range violations {
		text := fmt.Sprintf("%s at %.1f s: %s", v.rule, v.at.Sub(c.startedAt).Seconds(), v.text)
		r.Violations = append(r.Violations, text+c.traces.forRequest(v.requestID))
	}
}

// addFaults adds the measurement of each fault that the scenario injected into servers.
func (c *cluster) addFaults(r *Result) {
	for i, e := range c.Events {
		action, _, _ := strings.Cut(e.Text, "(")
		if slices.Contains([]string{"silent", "slow", "down", "failing"}, action) {
			r.ServerFaults = append(r.ServerFaults, c.measureFault(e, c.faultEnd(i)))
		}
	}
}

// faultEnd returns the time of the event that ends the fault of an event, or the drill's length if there is none.
func (c *cluster) faultEnd(event int) time.Duration {
	for _, later := range c.Events[event+1:] {
		if strings.HasPrefix(later.Text, "well(") && slices.Equal(c.Events[event].targets, later.targets) {
			return later.At
		}
	}
	return c.Length
}

// measureFault measures what was sent to the targets of an event from the event until a time of the drill.
func (c *cluster) measureFault(e Event, until time.Duration) ServerFault {
	servers := nameSet(e.targets)
	from, to := c.startedAt.Add(e.At), c.startedAt.Add(until)
	fault := ServerFault{Action: e.Text, At: e.At.Seconds(), Until: until.Seconds()}
	var last map[string]time.Time
	fault.Sent, last = c.checker.countArrivals(servers, from, to)
	fault.LastRequest = secondsSince(from, last)
	fault.SentAtEnd, _ = c.checker.countArrivals(servers, to.Add(-endSpan), to)
	_, last = c.checker.countArrivals(servers, from, from.Add(min(probeFreeTime, to.Sub(from))))
	fault.LastBeforeProbes = secondsSince(from, last)
	return fault
}

// nameSet returns a set of the names.
func nameSet(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

// secondsSince converts times, by name, to seconds since from.
func secondsSince(from time.Time, times map[string]time.Time) map[string]float64 {
	since := map[string]float64{}
	for name, at := range times {
		since[name] = at.Sub(from).Seconds()
	}
	return since
}

// fleetBytes returns the number of bytes sent between gateways, per gateway.
func (c *cluster) fleetBytes() float64 {
	sum := int64(0)
	for _, a := range c.gateways {
		for _, b := range c.gateways {
			if a != b {
				sum += c.net.Bytes(a.name, b.name)
			}
		}
	}
	return float64(sum) / float64(len(c.gateways))
}
