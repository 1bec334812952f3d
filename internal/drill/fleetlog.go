package drill

import (
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The rules of the fleet, by what its processes log.
const (
	rulePlans      = "plans" // two different plans of one epoch
	ruleEpochOrder = "back"  // a process that applies an older epoch after a newer one
)

// fleetLog follows what the processes log of the fleet. The texts that it matches are part of the program's log format.
type fleetLog struct {
	cluster *cluster

	mu            sync.Mutex
	leaderOf      map[string]string // by gateway, the leader that it logged last
	applied       map[string]epoch  // by gateway, the epoch that its present process applied last
	plans         map[epoch]*fleetPlan
	order         []epoch // of the plans, as they were first logged
	leaderMoments []Moment
	evacuations   int
	closed        bool // the drill is over: lines of processes that end are not counted
}

// close ignores all further lines.
func (f *fleetLog) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

// epoch numbers plans: by the generation of the log, then by the entry.
type epoch struct{ founding, number uint64 }

func (e epoch) less(o epoch) bool {
	return e.founding < o.founding || e.founding == o.founding && e.number < o.number
}

// fleetPlan is one plan.
type fleetPlan struct {
	digest    string
	firstAt   time.Time            // when the first gateway applied it
	appliedAt map[string]time.Time // by gateway, when it applied this plan or a later one
}

func newFleetLog(cl *cluster) *fleetLog {
	return &fleetLog{cluster: cl, leaderOf: map[string]string{}, applied: map[string]epoch{}, plans: map[epoch]*fleetPlan{}}
}

// FleetResult is what the processes logged of the fleet.
type FleetResult struct {
	Plans       int         `json:"plans"`
	Evacuations int         `json:"leaves"`        // of zones or paths, by the fleet itself
	SeenMedian  float64     `json:"seen_median_s"` // until a gateway applied a plan, since it was settled or the last fault ended
	SeenWorst   float64     `json:"seen_worst_s"`
	Slowest     Application `json:"slowest"`
	Leaders     []Moment    `json:"leaders"` // each change that a gateway logged
}

// line reads one line of a process's log.
func (f *fleetLog) line(g *gateway, line string) {
	if !strings.Contains(line, `"msg":"fleet: `) && !strings.Contains(line, `"msg":"serving"`) {
		return
	}
	var v struct {
		Msg, Epoch, Digest, Why string
		TS                      float64
	}
	if json.Unmarshal([]byte(line), &v) != nil {
		return
	}
	at := time.Unix(0, int64(v.TS*1e9))
	text := strings.TrimPrefix(v.Msg, "fleet: ")
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.closed:
	case v.Msg == "serving": // a new process
		delete(f.applied, g.name)
		delete(f.leaderOf, g.name)
	case strings.HasPrefix(text, "plan "):
		f.planApplied(g, v.Epoch, v.Digest, at)
	case strings.HasSuffix(text, " leads"):
		f.leaderOf[g.name] = strings.TrimSuffix(text, " leads")
		f.leaderMoments = append(f.leaderMoments, Moment{at.Sub(f.cluster.startedAt).Seconds(), g.name + ": " + text})
	case strings.HasPrefix(text, "zone "):
		if strings.HasSuffix(text, " out") {
			f.evacuations++
		}
		f.cluster.record("%s: %s: %s", g.name, text, v.Why)
	default:
		f.cluster.record("%s: %s", g.name, text)
	}
}

// planApplied records that a gateway applied a plan, and checks the epoch and the digest. The caller holds the lock.
func (f *fleetLog) planApplied(g *gateway, text, digest string, at time.Time) {
	founding, number, _ := strings.Cut(text, ".")
	var e epoch
	e.founding, _ = strconv.ParseUint(founding, 10, 64)
	e.number, _ = strconv.ParseUint(number, 10, 64)
	if e.less(f.applied[g.name]) {
		f.cluster.checker.report(at, ruleEpochOrder, "%s goes back from %v to %v", g.name, f.applied[g.name], e)
	}
	f.applied[g.name] = e
	p := f.plans[e]
	if p == nil {
		p = &fleetPlan{digest: digest, firstAt: at, appliedAt: map[string]time.Time{}}
		f.plans[e] = p
		f.order = append(f.order, e)
		f.cluster.record("plan %s settled", text)
	}
	if p.digest != digest {
		f.cluster.checker.report(at, rulePlans, "%s has another plan of epoch %s", g.name, text)
	}
	if at.Before(p.firstAt) {
		p.firstAt = at
	}
	for _, o := range f.order {
		if !e.less(o) && f.plans[o].appliedAt[g.name].IsZero() {
			f.plans[o].appliedAt[g.name] = at
		}
	}
}

// Application is when one gateway first applied one plan or a later one. Times are in seconds since the load began.
type Application struct {
	Gateway     string  `json:"gateway"`
	Plan        string  `json:"plan"`
	SettledAt   float64 `json:"settled"` // when the first gateway applied it
	CountedFrom float64 `json:"counted"` // SettledAt, or the end of the last fault since then
	Elapsed     float64 `json:"took"`    // since CountedFrom
}

// String describes the application without its duration.
func (a Application) String() string {
	return fmt.Sprintf("%s, plan %s settled at %.3f s, counted from %.3f s", a.Gateway, a.Plan, a.SettledAt, a.CountedFrom)
}

// application describes the application of a plan by a gateway.
func (f *fleetLog) application(gateway string, e epoch, settledAt, countedFrom time.Time, elapsed float64) Application {
	return Application{
		Gateway:     gateway,
		Plan:        fmt.Sprintf("%d.%d", e.founding, e.number),
		SettledAt:   settledAt.Sub(f.cluster.startedAt).Seconds(),
		CountedFrom: countedFrom.Sub(f.cluster.startedAt).Seconds(),
		Elapsed:     elapsed,
	}
}

// majorityLeader is the leader by most gateways' logs; of equal ones the first gateway; empty: none.
func (f *fleetLog) majorityLeader() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	votes := map[string]int{}
	for _, name := range f.leaderOf {
		votes[name]++
	}
	best := ""
	for _, g := range f.cluster.gateways {
		if votes[g.name] > votes[best] {
			best = g.name
		}
	}
	return best
}

// result measures how long the gateways took to apply plans. For a gateway that applied one after a fault of the script had ended, the
// time is counted from that end.
func (f *fleetLog) result() *FleetResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &FleetResult{Plans: len(f.plans), Evacuations: f.evacuations, Leaders: f.leaderMoments}
	events := f.cluster.eventTimes()
	var all []float64
	for e, p := range f.plans {
		for name, at := range p.appliedAt {
			since := p.firstAt
			for _, event := range events {
				if event.After(since) && event.Before(at) {
					since = event
				}
			}
			elapsed := max(0, at.Sub(since).Seconds())
			all = append(all, elapsed)
			if elapsed > r.Slowest.Elapsed {
				r.Slowest = f.application(name, e, p.firstAt, since, elapsed)
			}
		}
	}
	if len(all) == 0 {
		return r
	}
	sort.Float64s(all)
	r.SeenMedian = all[len(all)/2]
	r.SeenWorst = all[len(all)-1]
	return r
}

// eventTimes are the times of the script's events and of the processes' returns, which are the timeline's lines without a process's name.
func (cl *cluster) eventTimes() (times []time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	for _, m := range cl.timeline {
		if !strings.HasPrefix(m.What, "plan ") && !strings.Contains(m.What, ": ") {
			times = append(times, cl.startedAt.Add(time.Duration(m.At*1e9)))
		}
	}
	return times
}

// leader is the gateway that leads the fleet; empty: none is known.
func (cl *cluster) leader() string { return cl.fleetLog.majorityLeader() }

// waitFormed waits until every process has applied a plan and there is a leader.
func (f *fleetLog) waitFormed(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		n := len(f.applied)
		f.mu.Unlock()
		if n == len(f.cluster.gateways) && f.majorityLeader() != "" {
			return nil
		}
	}
	return fmt.Errorf("after %v the processes are no fleet: %d of %d have a plan", timeout, len(f.applied), len(f.cluster.gateways))
}
