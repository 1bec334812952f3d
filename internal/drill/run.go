package drill

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

// Options say how to play a scenario.
type Options struct {
	Program       string // dewhitch, built
	Dir           string // for the processes' files; it must be empty
	Seed          uint64
	Uncoordinated bool
	Told          bool      // without the fleet view, but discovery tells of servers' troubles as they begin and end
	Lines         io.Writer // a line a second; nil: none
}

// Result is what a drill came to.
type Result struct {
	Scenario    string           `json:"scenario"`
	Seed        uint64           `json:"seed"`
	Coordinated bool             `json:"coordinated"`
	Processes   int              `json:"processes"`
	Reqs        int              `json:"reqs"`
	Served      float64          `json:"served"`   // of the worth asked
	Worst       float64          `json:"worst_5s"` // the same, in the worst five seconds
	Ends        map[string]int   `json:"ends"`
	Lost        int              `json:"lost"`
	Rules       map[string]int   `json:"rules"` // breaches by name
	Left        Left             `json:"left"`
	CPU         float64          `json:"cpu_us_per_req"`
	FleetBytes  float64          `json:"fleet_bytes_per_s"` // a gateway, between gateways
	Fleet       *FleetResult     `json:"fleet,omitempty"`
	Work        *WorkResult      `json:"work,omitempty"`
	Returns     []Return         `json:"returns,omitempty"`
	Troubles    []Trouble        `json:"troubles,omitempty"`
	Seconds     []float64        `json:"served_by_second"`
	ZoneSends   map[string][]int `json:"sent_by_second_to_zones"`
	ServerSends map[string][]int `json:"-"`
	Timeline    []Moment         `json:"timeline"`
	Breaches    []string         `json:"breaches,omitempty"`
	Fallen      []string         `json:"expectations_not_met,omitempty"`
}

// Trouble is what was sent to servers that the script made ill, from then on until they were well again.
type Trouble struct {
	What    string             `json:"what"`
	At      float64            `json:"at"`
	Until   float64            `json:"until"`
	Sent    int                `json:"sent"`
	Last    int                `json:"sent_in_last_5s"`
	LastReq map[string]float64 `json:"last_req_after"` // by gateway, seconds after the beginning
	// The same of those before the first probe could be, by which it is seen how the gateways left.
	Leaving map[string]float64 `json:"last_req_before_probes"`
}

const beforeProbes = 2500 * time.Millisecond

// Left is when the first and the last gateway sent their last req there before any probe, in seconds after the beginning.
func (t Trouble) Left() (first, last float64) {
	at := slices.Sorted(maps.Values(t.Leaving))
	if len(at) == 0 {
		return 0, 0
	}
	return at[0], at[len(at)-1]
}

// ErrFell says that a check fell; the result tells which.
var ErrFell = errors.New("drill: a check fell")

// Run plays a scenario to its end, or to the first breach. The error is ErrFell if a rule was broken or an expectation
// not met, and another if the drill could not be played.
func Run(ctx context.Context, s *Scenario, o Options) (*Result, error) {
	w := &world{Scenario: s, Options: o}
	defer w.close()
	if err := w.open(); err != nil {
		return nil, err
	}
	w.began = time.Now()
	load, stopLoad := context.WithDeadline(ctx, w.began.Add(s.Length))
	defer stopLoad()
	looks, stopLooks := context.WithCancel(ctx)
	defer stopLooks()
	w.stop = stopLoad
	w.all.Go(func() { w.look(looks) })
	w.all.Go(func() { w.watchRules(looks) })
	w.all.Go(func() { w.script(load) })
	if o.Lines != nil {
		w.all.Go(func() { w.lines(load) })
	}
	w.load.run(load)
	w.rest(ctx)
	stopLooks()
	if err := ctx.Err(); err != nil {
		return nil, err
	}
	bytes := w.fleetBytes()
	took := time.Since(w.began).Seconds()
	w.end()
	w.judge.settle(time.Now(), true)
	r := w.result()
	r.FleetBytes = bytes / took
	if len(r.Breaches) > 0 || len(r.Fallen) > 0 {
		return r, ErrFell
	}
	return r, nil
}

// script carries the events out, each at its time.
func (w *world) script(ctx context.Context) {
	for _, e := range w.Events {
		wait(ctx, time.Until(w.began.Add(e.At)))
		if ctx.Err() != nil {
			return
		}
		w.say("%s", e.Text)
		e.Do(w)
	}
}

// rest gives a script that the load's end cut off a moment, and processes that are on their way back.
func (w *world) rest(ctx context.Context) {
	for _, g := range w.gateways {
		for end := time.Now().Add(patience); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
			g.mu.Lock()
			busy := len(g.hurt) > 0 && g.hurt[len(g.hurt)-1].to.IsZero() && !g.expects
			g.mu.Unlock()
			if !busy {
				break
			}
		}
	}
}

// watchRules ends the load at the first breach.
func (w *world) watchRules(ctx context.Context) {
	for ctx.Err() == nil {
		wait(ctx, 100*time.Millisecond)
		w.judge.settle(time.Now(), false)
		if counts, _ := w.judge.broken(); len(counts) > 0 {
			w.stop()
			return
		}
	}
}

// lines prints a line a second.
func (w *world) lines(ctx context.Context) {
	fmt.Fprintf(w.Lines, "%s, seed %d: %d gateways, %d servers in %d zones, %.0f reqs a second for %v\n", w.Name, w.Seed,
		len(w.gateways), len(w.servers), len(w.Zones), w.rate(), w.Length)
	told := 0
	for i := 1; ctx.Err() == nil; i++ {
		wait(ctx, time.Until(w.began.Add(time.Duration(i)*time.Second)))
		w.mu.Lock()
		news := slices.Clone(w.timeline[told:])
		told = len(w.timeline)
		w.mu.Unlock()
		for _, m := range news {
			fmt.Fprintf(w.Lines, "%6.1f  %s\n", m.At, m.What)
		}
		// What was sent in the last second is not all answered yet.
		s := w.load.sum(i-2, i-1)
		w.load.mu.Lock()
		open := w.load.open
		w.load.mu.Unlock()
		fmt.Fprintf(w.Lines, "%5ds  served %.3f of the worth; %s; open %d\n", i, s.share(), s, open)
	}
}

// end has all processes that live end as at a planned restart.
func (w *world) end() {
	w.fleet.close()
	var all sync.WaitGroup
	for _, g := range w.gateways {
		all.Go(func() {
			if g.Program().Over() {
				if !g.expected() {
					w.judge.Fault(time.Now(), ruleEnded, "%s ended of itself: %s", g.name, tail(g.Program().Log()))
				}
				return
			}
			g.ends(true)
			if err := g.End(patience); err != nil {
				w.judge.Fault(time.Now(), ruleEnded, "%v", err)
			}
			g.spent()
		})
	}
	all.Wait()
	for _, g := range w.gateways {
		if line, bad := g.Says("panic:", "DATA RACE", "fatal error:"); bad {
			w.judge.Fault(time.Now(), ruleEnded, "%s says: %s", g.name, line)
		}
	}
}

func (w *world) fleetBytes() float64 {
	sum := int64(0)
	for _, a := range w.gateways {
		for _, b := range w.gateways {
			if a != b {
				sum += w.net.Bytes(a.name, b.name)
			}
		}
	}
	return float64(sum) / float64(len(w.gateways))
}

func (w *world) result() *Result {
	all := w.load.sum(0, len(w.load.secs))
	r := &Result{Scenario: w.Name, Seed: w.Seed, Coordinated: w.coordinated(), Processes: len(w.gateways),
		Served: all.share(), Worst: 1, Ends: map[string]int{}, Lost: all.n[lost], Timeline: w.timeline}
	for o := range outcomes {
		r.Ends[outcomeNames[o]] = all.n[o]
		r.Reqs += all.n[o]
	}
	for i := range w.load.secs {
		s := w.load.sum(i, i+5)
		if i+5 <= max(5, int(w.Length.Seconds())) {
			r.Worst = min(r.Worst, s.share())
		}
		r.Seconds = append(r.Seconds, w.load.sum(i, i+1).share())
	}
	cpu := time.Duration(0)
	for _, g := range w.gateways {
		cpu += g.cpu
	}
	r.CPU = cpu.Seconds() * 1e6 / float64(max(1, r.Reqs))
	r.Left = w.judge.leavers()
	var breaches []breach
	r.Rules, breaches = w.judge.broken()
	if r.Lost > 0 {
		r.Rules[ruleLost] = max(r.Rules[ruleLost], r.Lost)
		if len(breaches) == 0 {
			r.Breaches = append(r.Breaches, fmt.Sprintf("lost: %d reqs have no answer", r.Lost))
		}
	}
	for _, b := range breaches {
		r.Breaches = append(r.Breaches, fmt.Sprintf("%s at %.1f s: %s", b.rule, b.at.Sub(w.began).Seconds(), b.text)+w.traces.of(b.id))
	}
	r.ZoneSends, r.ServerSends = w.judge.sentBySecond(w.began, len(r.Seconds))
	w.troubles(r)
	r.Returns = w.returned()
	r.Work = w.worked()
	if w.coordinated() {
		r.Fleet = w.fleet.result()
	}
	w.expectations(r)
	return r
}

// troubles finds what went to ill servers.
func (w *world) troubles(r *Result) {
	for i, e := range w.Events {
		name, _, _ := strings.Cut(e.Text, "(")
		if !slices.Contains([]string{"silent", "slow", "down", "failing"}, name) {
			continue
		}
		until := w.Length
		for _, f := range w.Events[i+1:] {
			if strings.HasPrefix(f.Text, "well(") && slices.Equal(e.targets, f.targets) {
				until = f.At
				break
			}
		}
		servers := map[string]bool{}
		for _, s := range e.targets {
			servers[s] = true
		}
		from, to := w.began.Add(e.At), w.began.Add(until)
		t := Trouble{What: e.Text, At: e.At.Seconds(), Until: until.Seconds(), LastReq: map[string]float64{},
			Leaving: map[string]float64{}}
		var last map[string]time.Time
		t.Sent, last = w.judge.sentTo(servers, from, to)
		t.Last, _ = w.judge.sentTo(servers, to.Add(-5*time.Second), to)
		for g, at := range last {
			t.LastReq[g] = at.Sub(from).Seconds()
		}
		_, last = w.judge.sentTo(servers, from, from.Add(min(beforeProbes, to.Sub(from))))
		for g, at := range last {
			t.Leaving[g] = at.Sub(from).Seconds()
		}
		r.Troubles = append(r.Troubles, t)
	}
}

func (w *world) expectations(r *Result) {
	fell := func(e Expect, format string, a ...any) {
		r.Fallen = append(r.Fallen, e.Pos+": "+fmt.Sprintf(format, a...))
	}
	for _, e := range w.Expects {
		if r.Served < e.Served {
			fell(e, "served %.4f, expected %v", r.Served, e.Served)
		}
		if r.Worst < e.Worst {
			fell(e, "served %.4f in the worst 5 s, expected %v", r.Worst, e.Worst)
		}
		if e.hasLost && r.Lost > e.Lost {
			fell(e, "lost %d, expected %d", r.Lost, e.Lost)
		}
		if e.hasEx && r.Ends["excused"] > e.Excused {
			fell(e, "excused %d, expected %d", r.Ends["excused"], e.Excused)
		}
		if e.Worked > 0 && (r.Work == nil || len(r.Work.Turns) < e.Worked) {
			n := 0
			if r.Work != nil {
				n = len(r.Work.Turns)
			}
			fell(e, "%d machines were worked on, expected %d", n, e.Worked)
		}
		for _, b := range r.Returns {
			if e.Fed > 0 && b.Slack > e.Fed {
				fell(e, "%s was sent %.2f of what it bears, with three roots of it, in a second; expected %v", b.Server, b.Slack, e.Fed)
			}
			if e.Full > 0 && r.Fleet != nil && (b.Full == 0 || b.Full > e.Full) {
				fell(e, "%s had its full share after %.1f s (0: never), expected %v", b.Server, b.Full, e.Full)
			}
		}
		if f := r.Fleet; f != nil {
			if e.Leaves >= 0 && f.Leaves > e.Leaves {
				fell(e, "the fleet left zones %d times, expected %d", f.Leaves, e.Leaves)
			}
			if f.Plans < e.Plans {
				fell(e, "%d plans, expected %d", f.Plans, e.Plans)
			}
			if e.Seen > 0 && f.SeenWorst > e.Seen {
				fell(e, "a plan was acted on by all after %.2f s, expected %v: last by %v", f.SeenWorst, e.Seen, f.Slowest)
			}
		}
		if e.Sent >= 0 && len(e.Targets) > 0 {
			servers := map[string]bool{}
			for _, s := range e.Targets {
				servers[s] = true
			}
			if n, _ := w.judge.sentTo(servers, w.began.Add(e.From), w.began.Add(e.To)); n > e.Sent {
				fell(e, "sent %d to %s, expected %d", n, strings.Join(e.Targets, " "), e.Sent)
			}
		}
	}
}
