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
	rulePlanConflict = "plans" // two different plans of one epoch
	ruleEpochOrder   = "back"  // a process that applies an older epoch after a newer one
)

// fleetLog follows what the processes log of the fleet. The texts that it matches are part of the program's log format.
type fleetLog struct {
	cluster *cluster

	mu               sync.Mutex
	leaderByGateway  map[string]string // by gateway, the leader that it logged last
	appliedByGateway map[string]epoch  // by gateway, the epoch that its present process applied last
	plans            map[epoch]*fleetPlan
	epochs           []epoch // of the plans, as they were first logged
	leaderChanges    []TimelineEvent
	evacuations      int
	closed           bool // the drill is over: lines of processes that end are not counted
}

// close ignores all further lines.
func (f *fleetLog) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

// epoch numbers plans: by the generation of the log, then by the entry.
type epoch struct{ founding, number uint64 }

func (e epoch) less(other epoch) bool {
	return e.founding < other.founding || e.founding == other.founding && e.number < other.number
}

// fleetPlan is one plan.
type fleetPlan struct {
	digest    string
	firstAt   time.Time            // when the first gateway applied it
	appliedAt map[string]time.Time // by gateway, when it applied this plan or a later one
}

func newFleetLog(cluster *cluster) *fleetLog {
	return &fleetLog{cluster: cluster, leaderByGateway: map[string]string{}, appliedByGateway: map[string]epoch{}, plans: map[epoch]*fleetPlan{}}
}

// FleetResult is what the processes logged of the fleet.
type FleetResult struct {
	Plans       int             `json:"plans"`
	Evacuations int             `json:"leaves"`        // of zones or paths, by the fleet itself
	ApplyMedian float64         `json:"seen_median_s"` // until a gateway applied a plan, since it was settled or the last fault ended
	ApplyWorst  float64         `json:"seen_worst_s"`
	Slowest     PlanApplication `json:"slowest"`
	Leaders     []TimelineEvent `json:"leaders"` // each change that a gateway logged
}

// readLine reads one line of a process's log.
func (f *fleetLog) readLine(g *gateway, readLine string) {
	if !strings.Contains(readLine, `"msg":"fleet: `) && !strings.Contains(readLine, `"msg":"serving"`) {
		return
	}
	var v struct {
		Msg, Epoch, Digest, Why string
		TS                      float64
	}
	if json.Unmarshal([]byte(readLine), &v) != nil {
		return
	}
	at := time.Unix(0, int64(v.TS*1e9))
	text := strings.TrimPrefix(v.Msg, "fleet: ")
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.closed:
	case v.Msg == "serving": // a new process
		delete(f.appliedByGateway, g.name)
		delete(f.leaderByGateway, g.name)
	case strings.HasPrefix(text, "plan "):
		f.planApplied(g, v.Epoch, v.Digest, at)
	case strings.HasSuffix(text, " leads"):
		f.leaderByGateway[g.name] = strings.TrimSuffix(text, " leads")
		f.leaderChanges = append(f.leaderChanges, TimelineEvent{at.Sub(f.cluster.startedAt).Seconds(), g.name + ": " + text})
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
func (f *fleetLog) planApplied(g *gateway, epochText, digest string, at time.Time) {
	founding, number, _ := strings.Cut(epochText, ".")
	var e epoch
	e.founding, _ = strconv.ParseUint(founding, 10, 64)
	e.number, _ = strconv.ParseUint(number, 10, 64)
	if e.less(f.appliedByGateway[g.name]) {
		f.cluster.checker.report(at, ruleEpochOrder, "%s goes back from %v to %v", g.name, f.appliedByGateway[g.name], e)
	}
	f.appliedByGateway[g.name] = e
	plan := f.plans[e]
	if plan == nil {
		plan = &fleetPlan{digest: digest, firstAt: at, appliedAt: map[string]time.Time{}}
		f.plans[e] = plan
		f.epochs = append(f.epochs, e)
		f.cluster.record("plan %s settled", epochText)
	}
	if plan.digest != digest {
		f.cluster.checker.report(at, rulePlanConflict, "%s has another plan of epoch %s", g.name, epochText)
	}
	if at.Before(plan.firstAt) {
		plan.firstAt = at
	}
	for _, earlier := range f.epochs {
		if !e.less(earlier) && f.plans[earlier].appliedAt[g.name].IsZero() {
			f.plans[earlier].appliedAt[g.name] = at
		}
	}
}

// PlanApplication is when one gateway first applied one plan or a later one. Times are in seconds since the load began.
type PlanApplication struct {
	Gateway     string  `json:"gateway"`
	Plan        string  `json:"plan"`
	SettledAt   float64 `json:"settled"` // when the first gateway applied it
	CountedFrom float64 `json:"counted"` // SettledAt, or the end of the last fault since then
	Elapsed     float64 `json:"took"`    // since CountedFrom
}

// String describes the application without its duration.
func (a PlanApplication) String() string {
	return fmt.Sprintf("%s, plan %s settled at %.3f s, counted from %.3f s", a.Gateway, a.Plan, a.SettledAt, a.CountedFrom)
}

// application describes the application of a plan by a gateway.
func (f *fleetLog) application(gateway string, e epoch, settledAt, countedFrom time.Time, elapsed float64) PlanApplication {
	return PlanApplication{
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
	for _, name := range f.leaderByGateway {
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
	r := &FleetResult{Plans: len(f.plans), Evacuations: f.evacuations, Leaders: f.leaderChanges}
	events := f.cluster.eventTimes()
	var delays []float64
	for planEpoch, plan := range f.plans {
		for gateway, appliedAt := range plan.appliedAt {
			since := plan.firstAt
			for _, event := range events {
				if event.After(since) && event.Before(appliedAt) {
					since = event
				}
			}
			elapsed := max(0, appliedAt.Sub(since).Seconds())
			delays = append(delays, elapsed)
			if elapsed > r.Slowest.Elapsed {
				r.Slowest = f.application(gateway, planEpoch, plan.firstAt, since, elapsed)
			}
		}
	}
	if len(delays) == 0 {
		return r
	}
	sort.Float64s(delays)
	r.ApplyMedian = delays[len(delays)/2]
	r.ApplyWorst = delays[len(delays)-1]
	return r
}

// eventTimes are the times of the script's events and of the processes' returns, which are the timeline's lines without a process's name.
func (c *cluster) eventTimes() (times []time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, event := range c.timeline {
		if !strings.HasPrefix(event.Text, "plan ") && !strings.Contains(event.Text, ": ") {
			times = append(times, c.startedAt.Add(time.Duration(event.At*1e9)))
		}
	}
	return times
}

// leader is the gateway that leads the fleet; empty: none is known.
func (c *cluster) leader() string { return c.fleetLog.majorityLeader() }

// waitFormed waits until every process has applied a plan and there is a leader.
func (f *fleetLog) waitFormed(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		applied := len(f.appliedByGateway)
		f.mu.Unlock()
		if applied == len(f.cluster.gateways) && f.majorityLeader() != "" {
			return nil
		}
	}
	return fmt.Errorf("after %v the processes are no fleet: %d of %d have a plan", timeout, len(f.appliedByGateway), len(f.cluster.gateways))
}
