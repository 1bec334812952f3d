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

// Rules that are checked from the fleet's log lines. The names are keys of results.
const (
	rulePlanConflict = "plans" // two gateways apply different plans of one epoch
	ruleEpochOrder   = "back"  // a process applies an older epoch after a newer one
)

// fleetLog reads the log lines of the processes about the fleet. The texts that it matches are part of the program's log format.
// It may be used by several goroutines.
type fleetLog struct {
	cluster *cluster

	mu               sync.Mutex
	leaderByGateway  map[string]string // leader that each gateway logged last
	appliedByGateway map[string]epoch  // epoch that the current process of each gateway applied last
	plans            map[epoch]*fleetPlan
	epochs           []epoch         // epochs of plans, in the order in which they were first logged
	leaderChanges    []TimelineEvent // changes of the leader, as each gateway logged them
	evacuations      int             // number of evacuations of zones that were logged
	closed           bool            // true once the drill has ended; log lines of the shutdown are ignored
}

// close makes readLine ignore all further lines.
func (f *fleetLog) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
}

// epoch identifies a plan by the generation of the fleet's log (founding) and the number of its entry. Epochs are ordered by
// founding, then by number.
type epoch struct{ founding, number uint64 }

// less returns true if e is older than other.
func (e epoch) less(other epoch) bool {
	return e.founding < other.founding || e.founding == other.founding && e.number < other.number
}

// fleetPlan records the application of one plan.
type fleetPlan struct {
	digest    string               // digest of the plan, as the first gateway logged it
	firstAt   time.Time            // time at which the first gateway applied it
	appliedAt map[string]time.Time // time at which each gateway first applied this plan or a later one
}

// newFleetLog returns a fleetLog without any lines.
func newFleetLog(cluster *cluster) *fleetLog {
	return &fleetLog{cluster: cluster, leaderByGateway: map[string]string{}, appliedByGateway: map[string]epoch{}, plans: map[epoch]*fleetPlan{}}
}

// FleetResult summarizes the log lines of the processes about the fleet.
type FleetResult struct {
	Plans       int             `json:"plans"`         // number of plans that gateways applied
	Evacuations int             `json:"leaves"`        // number of evacuations of zones or paths that the fleet decided
	ApplyMedian float64         `json:"seen_median_s"` // median of the seconds that a gateway took to apply a plan (see PlanApplication)
	ApplyWorst  float64         `json:"seen_worst_s"`  // longest time in seconds that a gateway took to apply a plan
	Slowest     PlanApplication `json:"slowest"`       // application with the longest time
	Leaders     []TimelineEvent `json:"leaders"`       // changes of the leader, as each gateway logged them
}

// readLine processes one line of a gateway's log.
func (f *fleetLog) readLine(g *gateway, line string) {
	if !strings.Contains(line, `"msg":"fleet: `) && !strings.Contains(line, `"msg":"serving"`) {
		return
	}
	var entry struct {
		Msg, Epoch, Digest, Why string
		TS                      float64
	}
	if json.Unmarshal([]byte(line), &entry) != nil {
		return
	}
	at := time.Unix(0, int64(entry.TS*1e9))
	text := strings.TrimPrefix(entry.Msg, "fleet: ")
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.closed:
	case entry.Msg == "serving": // a new process
		delete(f.appliedByGateway, g.name)
		delete(f.leaderByGateway, g.name)
	case strings.HasPrefix(text, "plan "):
		f.planApplied(g, entry.Epoch, entry.Digest, at)
	case strings.HasSuffix(text, " leads"):
		f.leaderByGateway[g.name] = strings.TrimSuffix(text, " leads")
		f.leaderChanges = append(f.leaderChanges, TimelineEvent{at.Sub(f.cluster.startedAt).Seconds(), g.name + ": " + text})
	case strings.HasPrefix(text, "zone "):
		if strings.HasSuffix(text, " out") {
			f.evacuations++
		}
		f.cluster.record("%s: %s: %s", g.name, text, entry.Why)
	default:
		f.cluster.record("%s: %s", g.name, text)
	}
}

// planApplied records that a gateway applied a plan, and checks the order of epochs and the plan's digest. The caller holds the
// lock.
func (f *fleetLog) planApplied(g *gateway, epochText, digest string, at time.Time) {
	founding, number, _ := strings.Cut(epochText, ".")
	var e epoch
	e.founding, _ = strconv.ParseUint(founding, 10, 64)
	e.number, _ = strconv.ParseUint(number, 10, 64)
	if e.less(f.appliedByGateway[g.name]) {
		f.cluster.checker.report(at, ruleEpochOrder, "%s went back from epoch %v to epoch %v", g.name, f.appliedByGateway[g.name], e)
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
		f.cluster.checker.report(at, rulePlanConflict, "%s applied a different plan of epoch %s", g.name, epochText)
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

// PlanApplication is the first application of a plan, or of a later one, by one gateway. Times are in seconds since the start of
// the load.
type PlanApplication struct {
	Gateway     string  `json:"gateway"`
	Plan        string  `json:"plan"`
	SettledAt   float64 `json:"settled"` // time at which the first gateway applied the plan
	CountedFrom float64 `json:"counted"` // SettledAt, or the last event of the scenario between it and the application
	Elapsed     float64 `json:"took"`    // seconds from CountedFrom to the application
}

// String returns the gateway, the plan and the times, without Elapsed.
func (a PlanApplication) String() string {
	return fmt.Sprintf("%s, plan %s settled at %.3f s, counted from %.3f s", a.Gateway, a.Plan, a.SettledAt, a.CountedFrom)
}

// application returns a PlanApplication with times relative to the start of the load.
func (f *fleetLog) application(gateway string, e epoch, settledAt, countedFrom time.Time, elapsed float64) PlanApplication {
	return PlanApplication{
		Gateway:     gateway,
		Plan:        fmt.Sprintf("%d.%d", e.founding, e.number),
		SettledAt:   settledAt.Sub(f.cluster.startedAt).Seconds(),
		CountedFrom: countedFrom.Sub(f.cluster.startedAt).Seconds(),
		Elapsed:     elapsed,
	}
}

// majorityLeader returns the leader that most gateways logged last. If several are equally frequent, it returns the first of them
// in the order of the gateways; if no gateway has logged a leader, it returns the empty string.
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

// result returns how long the gateways took to apply plans. If events of the scenario occurred between the settlement of a plan
// and its application by a gateway, the time is counted from the last of them, as a fault may have kept the plan from the gateway
// until then.
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

// eventTimes returns the times of the scenario's events, of the ends of stalls and restarts, and of the steps of maintenance. In
// the timeline these are the entries that neither start with "plan " nor contain ": ".
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

// leader returns the gateway that leads the fleet, or the empty string if none is known.
func (c *cluster) leader() string { return c.fleetLog.majorityLeader() }

// waitFormed waits until every process has applied a plan and a leader is known. It returns an error after timeout.
func (f *fleetLog) waitFormed(timeout time.Duration) error {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		applied := len(f.appliedByGateway)
		f.mu.Unlock()
		if applied == len(f.cluster.gateways) && f.majorityLeader() != "" {
			return nil
		}
	}
	return fmt.Errorf("the fleet did not form within %v: %d of %d processes have applied a plan", timeout, len(f.appliedByGateway), len(f.cluster.gateways))
}
