package drill

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Spans of a result.
const (
	worstSpan    = 5                       // seconds, of Result.Worst
	lastSpan     = 5 * time.Second         // of Trouble.Last
	beforeProbes = 2500 * time.Millisecond // after a fault, before the fleet can send a probe
)

// Result is the outcome of a drill. Ratios are of the value of the requests: priority weight times the plan's price.
type Result struct {
	Scenario    string           `json:"scenario"`
	Seed        uint64           `json:"seed"`
	Coordinated bool             `json:"coordinated"`
	Processes   int              `json:"processes"`
	Reqs        int              `json:"reqs"`
	Served      float64          `json:"served"`   // ratio, in time
	Worst       float64          `json:"worst_5s"` // the same, in the worst five seconds
	Ends        map[string]int   `json:"ends"`     // requests by their outcome
	Lost        int              `json:"lost"`     // requests without an answer
	Rules       map[string]int   `json:"rules"`    // violations by rule
	ClientsLeft ClientsLeft      `json:"left"`
	CPU         float64          `json:"cpu_us_per_req"`    // microseconds
	FleetBytes  float64          `json:"fleet_bytes_per_s"` // between gateways, per gateway
	Fleet       *FleetResult     `json:"fleet,omitempty"`
	Work        *WorkResult      `json:"work,omitempty"`
	Returns     []ServerReturn   `json:"returns,omitempty"`
	Troubles    []ServerFault    `json:"troubles,omitempty"`
	Seconds     []float64        `json:"served_by_second"`
	ZoneSends   map[string][]int `json:"sent_by_second_to_zones"`
	ServerSends map[string][]int `json:"-"`
	Timeline    []Moment         `json:"timeline"`
	Breaches    []string         `json:"breaches,omitempty"`
	Fallen      []string         `json:"expectations_not_met,omitempty"`
}

// ServerFault is what was sent to servers with a fault of the script. Times are in seconds since the load began.
type ServerFault struct {
	What        string             `json:"what"`
	At          float64            `json:"at"`
	Until       float64            `json:"until"`
	Sent        int                `json:"sent"`            // attempts
	Last        int                `json:"sent_in_last_5s"` // attempts
	LastRequest map[string]float64 `json:"last_req_after"`  // by gateway, seconds since At
	// LastBeforeProbes is the same before the first probe is possible: it shows when each gateway evacuated the servers.
	LastBeforeProbes map[string]float64 `json:"last_req_before_probes"`
}

// Left returns when the first and the last gateway sent their last request before any probe, in seconds since At.
func (t ServerFault) Left() (first, last float64) {
	at := slices.Sorted(maps.Values(t.LastBeforeProbes))
	if len(at) == 0 {
		return 0, 0
	}
	return at[0], at[len(at)-1]
}

// result collects what all parts of the drill recorded, after the processes have ended.
func (cl *cluster) result() *Result {
	all := cl.generator.sum(0, len(cl.generator.seconds))
	r := &Result{
		Scenario:    cl.Name,
		Seed:        cl.Seed,
		Coordinated: cl.coordinated(),
		Processes:   len(cl.gateways),
		Served:      all.servedRatio(),
		Worst:       1,
		Ends:        map[string]int{},
		Lost:        all.outcomes[unanswered],
		Timeline:    cl.timeline,
	}
	for o := range outcomes {
		r.Ends[outcomeNames[o]] = all.outcomes[o]
		r.Reqs += all.outcomes[o]
	}
	cl.addSeconds(r)
	cpu := time.Duration(0)
	for _, g := range cl.gateways {
		cpu += g.cpu
	}
	r.CPU = cpu.Seconds() * 1e6 / float64(max(1, r.Reqs))
	r.ClientsLeft = cl.checker.leftResult()
	cl.addViolations(r)
	r.ZoneSends, r.ServerSends = cl.checker.countBySecond(cl.startedAt, len(r.Seconds))
	cl.addFaults(r)
	r.Returns = cl.measureReturns()
	r.Work = cl.workResult()
	if cl.coordinated() {
		r.Fleet = cl.fleetLog.result()
	}
	cl.checkExpectations(r)
	return r
}

// addSeconds adds the served ratio of each second, and the worst one of worstSpan.
func (cl *cluster) addSeconds(r *Result) {
	for i := range cl.generator.seconds {
		if i+worstSpan <= max(worstSpan, int(cl.Length.Seconds())) {
			s := cl.generator.sum(i, i+worstSpan)
			r.Worst = min(r.Worst, s.servedRatio())
		}
		r.Seconds = append(r.Seconds, cl.generator.sum(i, i+1).servedRatio())
	}
}

// addViolations adds the violations of rules. Lost requests are one even if no server saw them.
func (cl *cluster) addViolations(r *Result) {
	var all []violation
	r.Rules, all = cl.checker.violations()
	if r.Lost > 0 {
		r.Rules[ruleLost] = max(r.Rules[ruleLost], r.Lost)
		if len(all) == 0 {
			r.Breaches = append(r.Breaches, fmt.Sprintf("lost: %d reqs have no answer", r.Lost))
		}
	}
	for _, v := range all {
		text := fmt.Sprintf("%s at %.1f s: %s", v.rule, v.at.Sub(cl.startedAt).Seconds(), v.text)
		r.Breaches = append(r.Breaches, text+cl.traces.of(v.id))
	}
}

// addFaults adds what was sent to servers with a fault of the script.
func (cl *cluster) addFaults(r *Result) {
	for i, e := range cl.Events {
		word, _, _ := strings.Cut(e.Text, "(")
		if slices.Contains([]string{"silent", "slow", "down", "failing"}, word) {
			r.Troubles = append(r.Troubles, cl.measureFault(e, cl.faultEnd(i)))
		}
	}
}

// faultEnd is the time of the event that ends the fault of another event, or the end of the drill.
func (cl *cluster) faultEnd(event int) time.Duration {
	for _, later := range cl.Events[event+1:] {
		if strings.HasPrefix(later.Text, "well(") && slices.Equal(cl.Events[event].targets, later.targets) {
			return later.At
		}
	}
	return cl.Length
}

// measureFault measures what was sent to the targets of an event, until a time of the drill.
func (cl *cluster) measureFault(e Event, until time.Duration) ServerFault {
	servers := setOf(e.targets)
	from, to := cl.startedAt.Add(e.At), cl.startedAt.Add(until)
	t := ServerFault{What: e.Text, At: e.At.Seconds(), Until: until.Seconds()}
	var last map[string]time.Time
	t.Sent, last = cl.checker.countArrivals(servers, from, to)
	t.LastRequest = secondsSince(from, last)
	t.Last, _ = cl.checker.countArrivals(servers, to.Add(-lastSpan), to)
	_, last = cl.checker.countArrivals(servers, from, from.Add(min(beforeProbes, to.Sub(from))))
	t.LastBeforeProbes = secondsSince(from, last)
	return t
}

func setOf(names []string) map[string]bool {
	set := map[string]bool{}
	for _, name := range names {
		set[name] = true
	}
	return set
}

func secondsSince(from time.Time, times map[string]time.Time) map[string]float64 {
	since := map[string]float64{}
	for name, at := range times {
		since[name] = at.Sub(from).Seconds()
	}
	return since
}

// fleetBytes is what was sent between gateways, in bytes per gateway.
func (cl *cluster) fleetBytes() float64 {
	sum := int64(0)
	for _, a := range cl.gateways {
		for _, b := range cl.gateways {
			if a != b {
				sum += cl.net.Bytes(a.name, b.name)
			}
		}
	}
	return float64(sum) / float64(len(cl.gateways))
}
