package drill

import (
	"encoding/json"
	"fmt"
	"net/url"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// The rules of the fleet, by what its processes say.
const (
	rulePlans = "plans" // two plans of one epoch
	ruleBack  = "back"  // an epoch that goes back in a process
)

// fleetLog follows what processes say of the fleet, line by line.
type fleetLog struct {
	w      *world
	mu     sync.Mutex
	leader map[string]string // by gateway, whom it takes for the leader
	acts   map[string]epoch  // by gateway, in its present life
	plans  map[epoch]*plan
	order  []epoch
	leads  []Moment
	leaves int
	over   bool // the drill is: what processes say as they end counts no more
}

// close ends the following.
func (f *fleetLog) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.over = true
}

// epoch as it is written, for its order.
type epoch struct{ founding, number uint64 }

func (e epoch) less(o epoch) bool {
	return e.founding < o.founding || e.founding == o.founding && e.number < o.number
}

type plan struct {
	digest string
	first  time.Time
	seen   map[string]time.Time // by gateway: when it first acted on this one or a later one
}

func newFleetLog(w *world) *fleetLog {
	return &fleetLog{w: w, leader: map[string]string{}, acts: map[string]epoch{}, plans: map[epoch]*plan{}}
}

// FleetResult is what a drill showed of the fleet.
type FleetResult struct {
	Plans      int      `json:"plans"`
	Leaves     int      `json:"leaves"`        // of zones, or of ways between two, by the fleet itself
	SeenMedian float64  `json:"seen_median_s"` // until a gateway acted on a plan, since that was settled or the last trouble ended
	SeenWorst  float64  `json:"seen_worst_s"`
	Slowest    Sighting `json:"slowest"`
	Leaders    []Moment `json:"leaders"` // by what a majority of the gateways say
}

// line takes a line of a process's log.
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
	case f.over:
	case v.Msg == "serving": // a new life
		delete(f.acts, g.name)
		delete(f.leader, g.name)
	case strings.HasPrefix(text, "plan "):
		f.plan(g, v.Epoch, v.Digest, at)
	case strings.HasSuffix(text, " leads"):
		f.leader[g.name] = strings.TrimSuffix(text, " leads")
		f.leads = append(f.leads, Moment{at.Sub(f.w.began).Seconds(), g.name + ": " + text})
	case strings.HasPrefix(text, "zone "):
		if strings.HasSuffix(text, " out") {
			f.leaves++
		}
		f.w.say("%s: %s: %s", g.name, text, v.Why)
	default:
		f.w.say("%s: %s", g.name, text)
	}
}

func (f *fleetLog) plan(g *gateway, text, digest string, at time.Time) {
	founding, number, _ := strings.Cut(text, ".")
	var e epoch
	e.founding, _ = strconv.ParseUint(founding, 10, 64)
	e.number, _ = strconv.ParseUint(number, 10, 64)
	if e.less(f.acts[g.name]) {
		f.w.judge.Fault(at, ruleBack, "%s goes back from %v to %v", g.name, f.acts[g.name], e)
	}
	f.acts[g.name] = e
	p := f.plans[e]
	if p == nil {
		p = &plan{digest: digest, first: at, seen: map[string]time.Time{}}
		f.plans[e] = p
		f.order = append(f.order, e)
		f.w.say("plan %s settled", text)
	}
	if p.digest != digest {
		f.w.judge.Fault(at, rulePlans, "%s has another plan of epoch %s", g.name, text)
	}
	if at.Before(p.first) {
		p.first = at
	}
	for _, o := range f.order {
		if !e.less(o) && f.plans[o].seen[g.name].IsZero() {
			f.plans[o].seen[g.name] = at
		}
	}
}

// Sighting is when one gateway first acted on one plan. Times are in seconds since the load began.
type Sighting struct {
	Gateway string  `json:"gateway"`
	Plan    string  `json:"plan"`
	Settled float64 `json:"settled"` // when the first gateway acted on it
	Counted float64 `json:"counted"` // from then on, or since the last trouble that ended meanwhile
	Took    float64 `json:"took"`    // s, from Counted
}

// String tells it in one line.
func (s Sighting) String() string {
	return fmt.Sprintf("%s, plan %s settled at %.3f s, counted from %.3f s", s.Gateway, s.Plan, s.Settled, s.Counted)
}

func (f *fleetLog) sighting(gateway string, e epoch, settled, counted time.Time, took float64) Sighting {
	return Sighting{Gateway: gateway, Plan: fmt.Sprintf("%d.%d", e.founding, e.number), Settled: settled.Sub(f.w.began).Seconds(),
		Counted: counted.Sub(f.w.began).Seconds(), Took: took}
}

// led is whom most gateways take for the leader; empty: nobody.
func (f *fleetLog) led() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	votes := map[string]int{}
	for _, name := range f.leader {
		votes[name]++
	}
	best := ""
	for _, g := range f.w.gateways {
		if votes[g.name] > votes[best] {
			best = g.name
		}
	}
	return best
}

// result adds up how long plans took to be acted on. A gateway that was hurt or cut off meanwhile is counted from the end of
// the last trouble before it heard.
func (f *fleetLog) result() *FleetResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	r := &FleetResult{Plans: len(f.plans), Leaves: f.leaves, Leaders: f.leads}
	f.w.mu.Lock()
	timeline := slices.Clone(f.w.timeline)
	f.w.mu.Unlock()
	var ends []time.Time
	for _, m := range timeline {
		if !strings.HasPrefix(m.What, "plan ") && !strings.Contains(m.What, ": ") {
			ends = append(ends, f.w.began.Add(time.Duration(m.At*1e9)))
		}
	}
	var all []float64
	for e, p := range f.plans {
		for name, at := range p.seen {
			since := p.first
			for _, e := range ends {
				if e.After(since) && e.Before(at) {
					since = e
				}
			}
			took := max(0, at.Sub(since).Seconds())
			all = append(all, took)
			if took > r.Slowest.Took {
				r.Slowest = f.sighting(name, e, p.first, since, took)
			}
		}
	}
	if len(all) == 0 {
		return r
	}
	sort.Float64s(all)
	r.SeenMedian, r.SeenWorst = all[len(all)/2], all[len(all)-1]
	return r
}

// leader is the gateway that leads the fleet; empty: none is known.
func (w *world) leader() string { return w.fleet.led() }

// voters are the gateways that vote: the first of each zone, or of the first zone's, so that there are one, three or five.
func (w *world) voters() (names []string) {
	for i := 1; i <= w.Gateways && len(names) < 3; i++ {
		for _, z := range w.Zones {
			if len(names) < 5 {
				names = append(names, gatewayName(z, i))
			}
		}
	}
	if len(names)%2 == 0 {
		names = names[:len(names)-1]
	}
	return names
}

// fleetFile makes a gateway's fleet file, with a link of its own to each other gateway.
func (w *world) fleetFile(g *gateway) (string, error) {
	var b strings.Builder
	quoted := func(names []string) string {
		var q []string
		for _, n := range names {
			q = append(q, strconv.Quote(n))
		}
		return "[" + strings.Join(q, ", ") + "]"
	}
	seeds := slices.DeleteFunc(w.voters(), func(n string) bool { return n == g.name })
	if w.registry != nil {
		seeds = nil
	}
	fmt.Fprintf(&b, "[fleet]\nname = \"drill\"\nlisten = %q\nregion = %q\nvoters = %s\nseeds = %s\ndir = %q\n\n", g.talk, w.Regions[g.zone],
		quoted(w.voters()), quoted(seeds), g.File("fleet"))
	if w.registry != nil {
		l, err := w.net.Open(g.name, "registry", standin.OwnAddr(), w.registry.Addr(), false)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "[fleet.registry]\nservers = [%q]\n\n", l.Addr())
	}
	b.WriteString("[peers]\n")
	for _, o := range w.gateways {
		if o == g {
			continue
		}
		l, err := w.net.Open(g.name, o.name, standin.OwnAddr(), o.talk, true)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "%s = %q\n", o.name, l.Addr())
	}
	return b.String(), nil
}

// settle has a gateway have something settled; what it answers goes to the timeline.
func (w *world) settle(g *gateway, verb, why string) {
	if g == nil || !w.coordinated() {
		return
	}
	w.all.Go(func() {
		began := time.Now()
		text, _, err := g.post(verb, url.Values{"by": {"drill"}, "why": {why}}, 15*time.Second)
		if err != nil {
			w.say("%s: %s: %v", g.name, verb, err)
			return
		}
		w.say("%s: %s: %s after %v", g.name, verb, text, time.Since(began).Round(time.Millisecond))
	})
}

// formed waits until the processes are a fleet: each has heard of a leader and a plan.
func (f *fleetLog) formed(patience time.Duration) error {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		f.mu.Lock()
		n := len(f.acts)
		f.mu.Unlock()
		if n == len(f.w.gateways) && f.led() != "" {
			return nil
		}
	}
	return fmt.Errorf("after %v the processes are no fleet: %d of %d have a plan", patience, len(f.acts), len(f.w.gateways))
}
