package recorder_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	dw "dewhitch"
	"dewhitch/internal/backend"
	"dewhitch/internal/config/settings"
	"dewhitch/internal/core"
	"dewhitch/internal/counter"
	"dewhitch/internal/front"
	"dewhitch/internal/front/limits"
	"dewhitch/internal/front/platform"
	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/recorder"
	"dewhitch/internal/standin"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// crooked stands between an owner and the desk, and falsifies one posting on one customer.
type crooked struct {
	*recorder.Recorder
	event   ledger.Event
	haulier uint64
	how     string // lost, doubled, wrong units
	done    atomic.Bool
	at      atomic.Int64
}

func (c *crooked) Post(p ledger.Posting) {
	if p.Event != c.event || p.Key.Customer != c.haulier || !c.done.CompareAndSwap(false, true) {
		c.Recorder.Post(p)
		return
	}
	c.at.Store(time.Now().UnixNano())
	switch c.how {
	case "doubled":
		c.Recorder.Post(p)
		c.Recorder.Post(p)
	case "wrong units":
		p.Units += 1e6
		c.Recorder.Post(p)
	}
}

// gateway is the parts of a gateway in one process, with a desk whose owners may be crooked.
type gateway struct {
	addr string
	desk *recorder.Recorder
	logs *observer.ObservedLogs
}

func start(t *testing.T, o recorder.Options, plant *crooked) *gateway {
	return startAt(t, o, plant, standin.Always(standin.Step{}))
}

func startAt(t *testing.T, o recorder.Options, plant *crooked, script standin.Script) *gateway {
	t.Helper()
	backends, err := standin.NewBackends(2, false, script)
	if err != nil {
		t.Fatal(err)
	}
	shared, err := standin.NewCounter()
	if err != nil {
		t.Fatal(err)
	}
	level, logs := observer.New(zapcore.InfoLevel)
	o.Log = zap.New(level)
	o.Names = ledger.Names{Plans: []string{"basic", "fleet"}, Classes: []string{"space-query", "booking"}}
	o.Limits = ledger.Limits{Rows: 1000, Open: 1000, Flight: 1000}
	o.OverdueAfter = 5 * time.Second
	d := recorder.New(ledger.New(o.Limits, false), ledger.Names{}, nil, o)
	if plant == nil {
		plant = &crooked{}
	}
	plant.Recorder = d

	set := dw.Settings{Instances: 1, Zones: 1, Tick: 4e6, Counter: true, CounterTimeout: 1e9, MaxUnits: 4, MaxAttempts: 6,
		MayCancel: true, MaxRetryAfter: 5e8, ConnectTimeout: 1e9, DrainGrace: 5e8, StartCapacity: 0.2,
		Classes: []dw.Class{{Objective: 5e9, Deadline: 1e10, Weight: 1}, {Objective: 5e9, Deadline: 1e10, Weight: 5, Idempotency: dw.IdempotentByKey, DedupWindow: 3e9}},
		Plans:   []dw.Plan{{Rate: 5, Burst: 10, WeightFactor: 1, OverQuotaCost: 1}, {Rate: 500, Burst: 1000, WeightFactor: 1, OverQuotaCost: 1}}}
	names := backend.Names{Plans: o.Names.Plans}
	pools := backend.New(names, backend.Limits{MaxConns: 64, BackendIdleTimeout: 15 * time.Second, ConnectTimeout: time.Second}, plant)
	count := counter.New(shared.Addr(), 3*time.Second, time.Second, plant, o.Log)
	planner, err := core.NewPlanner(set, 1, core.NewClock(), pools, count, plant, o.Log)
	if err != nil {
		t.Fatal(err)
	}
	d.Tallies(planner.ReadTallies)
	commands := &limits.Commands{Commands: &platform.Commands{Planner: planner, Recorder: plant, Settings: set,
		Names: settings.Names{Classes: o.Names.Classes, Plans: o.Names.Plans}}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &front.Server{Listener: l, MaxSessions: 64, NewCommands: func() front.Commands { return commands },
		Bounds: front.NewBounds(64 << 20), Log: o.Log}
	work, stop := context.WithCancel(context.Background())
	var all, fronts sync.WaitGroup
	all.Go(func() { planner.Run(work) })
	all.Go(func() { pools.Run(work) })
	all.Go(func() { count.Run(work) })
	all.Go(func() { d.Run(work) })
	taking, stopTaking := context.WithCancel(work)
	fronts.Go(func() { server.Serve(taking) })
	list := core.EndpointUpdate{}
	for i, b := range backends.Nodes {
		list.List.Servers = append(list.List.Servers, dw.Endpoint{ID: dw.ServerID(i + 1)})
		list.Addrs = append(list.Addrs, b.Addr())
	}
	if err := planner.UpdateEndpoints(list); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stopTaking()
		fronts.Wait()
		stop()
		all.Wait()
		backends.Close()
		shared.Close()
	})
	return &gateway{l.Addr().String(), d, logs}
}

// work has four customers, 1 to 4, send mixed commands, and waits for the answers.
func (g *gateway) work(t *testing.T, rounds int) {
	t.Helper()
	c, err := standin.Dial(g.addr, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute))
	for i := range rounds {
		for h := 1; h <= 4; h++ {
			customer, plan := fmt.Sprintf("%016x", h), []string{"basic", "fleet"}[h%2]
			args := "t=" + plan + ",d=9000,spread=1,first=0"
			if err := c.Send([]string{"SVC.QUERY", customer, fmt.Sprintf("q%d-%d", h, i), "c=space-query,units=2," + args},
				[]string{"SVC.SUBMIT", customer, fmt.Sprintf("b%d-%d", h, i), fmt.Sprintf("c=booking,units=1,k=k%d-%d,", h, i) + args},
				[]string{"LIMIT.GET", customer, args},
				[]string{"LIMIT.ADJUST", customer, "1", args},
				[]string{"LIMIT.ADJUST", customer, "-1", args}); err != nil {
				t.Fatal(err)
			}
			for range 5 {
				if v, err := c.Reply(); err != nil || v.Kind == '-' && !strings.HasPrefix(v.Text, "BUSY") {
					t.Fatalf("haulier %d is answered %v, %v", h, v, err)
				}
			}
		}
	}
}

func (g *gateway) alarms() []observer.LoggedEntry {
	return g.logs.FilterMessage("the books do not add up").All()
}

// With nothing planted there is no alarm, whatever the moment of an audit.
func TestHonest(t *testing.T) {
	g := start(t, recorder.Options{AuditInterval: 5 * time.Millisecond}, nil)
	g.work(t, 8)
	// The front books what became of an answer once that is written, which its client may see first.
	g.eventually(t, "the last answers", func(r recorder.Report) bool { return r.Open == 0 })
	g.desk.Audit(true)
	if a := g.alarms(); len(a) > 0 {
		t.Fatalf("%v", a[0].ContextMap())
	}
	r := g.desk.Report()
	if r.Total.N[ledger.FrontTaken] != 8*4*5 || r.Open != 0 || r.Total.Ended() != 8*4*5 {
		t.Errorf("%d taken, %d ended, %d open", r.Total.N[ledger.FrontTaken], r.Total.Ended(), r.Open)
	}
}

// eventually waits for the books to say something.
func (g *gateway) eventually(t *testing.T, what string, ok func(recorder.Report) bool) {
	t.Helper()
	for began := time.Now(); !ok(g.desk.Report()); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 20*time.Second {
			r := g.desk.Report()
			t.Fatalf("%s: %d taken, %d gone, %d cut, %d open", what, r.Total.N[ledger.FrontTaken], r.Total.N[ledger.FrontClientLeft],
				r.Total.N[ledger.FrontWriteFailed], r.Open)
		}
	}
	if a := g.alarms(); len(a) > 0 {
		t.Fatalf("%s: %v", what, a[0].ContextMap())
	}
}

// A session ends with all that it may have open, at backends that never answer: each request is gone, each attempt cancelled
// and heard of, and nothing stays open.
func TestSessionEndsWithManyOpen(t *testing.T) {
	g := startAt(t, recorder.Options{AuditInterval: 5 * time.Millisecond}, nil, standin.Always(standin.Step{Behaviour: standin.Stall}))
	c, err := standin.Dial(g.addr, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	const many = 60
	for i := range many {
		if err := c.Send([]string{"SVC.SUBMIT", "0000000000000003", fmt.Sprintf("s%d", i),
			fmt.Sprintf("c=booking,t=fleet,d=9000,spread=1,first=0,k=k%d", i)}); err != nil {
			t.Fatal(err)
		}
	}
	answered := func(r recorder.Report) uint64 { return r.Total.N[ledger.FrontRejected] }
	g.eventually(t, "open", func(r recorder.Report) bool {
		return r.Total.N[ledger.FrontTaken] == many && r.Total.N[ledger.PlanTaken] == many
	})
	c.Close()
	g.eventually(t, "ended", func(r recorder.Report) bool {
		return r.Open == 0 && r.Total.N[ledger.FrontClientLeft]+r.Total.N[ledger.FrontWriteFailed]+answered(r) == many &&
			r.Total.N[ledger.FrontClientLeft] > 0 && r.Total.N[ledger.AttemptStarted] == r.Total.AttemptsEnded()
	})
}

// A client asks for more than it reads, until the gateway ends it: what was written whole is served, the rest is cut or
// gone, and no audit on the way finds anything.
func TestClientReadsNothing(t *testing.T) {
	g := start(t, recorder.Options{AuditInterval: 20 * time.Millisecond}, nil)
	c, err := standin.Dial(g.addr, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	body := strings.Repeat("x", 60<<10)
	go func() {
		for i := range 2000 {
			if c.Send([]string{"SVC.QUERY", "0000000000000003", fmt.Sprintf("r%d", i), "c=space-query,t=fleet,d=9000,spread=1,first=0", body}) != nil {
				return
			}
		}
	}()
	g.eventually(t, "ended", func(r recorder.Report) bool {
		n := &r.Total.N
		return r.Open == 0 && n[ledger.FrontWriteFailed] > 0 && n[ledger.FrontServed] > 0 && n[ledger.FrontTaken] == r.Total.Ended()
	})
}

// One miscount in each book is reported within five seconds, with audits a second apart as operators have them; it names
// the customer, plan and class; it is said once while it stands; and the alarm file has it.
func TestPlanted(t *testing.T) {
	for _, c := range []struct {
		event ledger.Event
		how   string
		class string
	}{
		{ledger.FrontTaken, "lost", "space-query"},
		{ledger.FrontServed, "doubled", ""},
		{ledger.FrontTaken, "wrong units", "space-query"},
		{ledger.PlanTaken, "lost", "space-query"},
		{ledger.PlanServed, "lost", ""},
		{ledger.AttemptStarted, "lost", ""},
		{ledger.AttemptOK, "lost", ""},
		{ledger.UnitsDrawn, "wrong units", "account"},
		{ledger.UnitsPushed, "lost", "account"},
		{ledger.CallAdded, "wrong units", "account"},
		{ledger.CallBegan, "doubled", "account"},
	} {
		t.Run(fmt.Sprintf("%v %s", c.event, c.how), func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "alarms.jsonl")
			plant := &crooked{event: c.event, haulier: 3, how: c.how}
			g := start(t, recorder.Options{AuditInterval: time.Second, AlarmFile: file}, plant)
			g.work(t, 2)
			if !plant.done.Load() {
				t.Fatal("nothing was planted")
			}
			for began := time.Now(); len(g.alarms()) == 0; time.Sleep(10 * time.Millisecond) {
				if time.Since(began) > 20*time.Second {
					t.Fatal("it is not reported")
				}
			}
			took := g.alarms()[0].Time.Sub(time.Unix(0, plant.at.Load()))
			t.Logf("reported after %v", took.Round(time.Millisecond))
			if took > 5*time.Second {
				t.Error("that is late")
			}
			time.Sleep(1200 * time.Millisecond) // an audit more: it is not said again
			seen := map[string]int{}
			for _, a := range g.alarms() {
				m := a.ContextMap()
				seen[fmt.Sprint(m["check"], m["class"])]++
				if m["haulier"] != "0000000000000003" || c.class != "" && m["class"] != c.class ||
					m["plan"] != "fleet" && m["class"] != "account" || len(m["last_postings"].([]any)) == 0 {
					t.Errorf("it names %v", m)
				}
			}
			for what, n := range seen {
				if n > 1 {
					t.Errorf("%s is said %d times", what, n)
				}
			}
			text, err := os.ReadFile(file)
			var first struct{ State, Haulier string }
			if err == nil {
				err = json.Unmarshal([]byte(strings.Split(string(text), "\n")[0]), &first)
			}
			if err != nil || first.State != "raised" || first.Haulier != "0000000000000003" {
				t.Errorf("the alarm file: %v, %s", err, text)
			}
		})
	}
}

// An alarm that is over is said to be: here one on what the module's tally holds, which the next account sets right.
func TestCleared(t *testing.T) {
	g := start(t, recorder.Options{AuditInterval: 20 * time.Millisecond}, nil)
	g.work(t, 1)
	p := ledger.Posting{Event: ledger.FrontTaken, Key: g.desk.Row(9, 0, 0), Ref: g.desk.Ref(), Units: 1e6}
	g.desk.Post(p)
	p.Event = ledger.FrontServed // before any decision
	g.desk.Post(p)
	until := func(message string) bool {
		for range 1000 {
			if g.logs.FilterMessage(message).Len() > 0 {
				return true
			}
			time.Sleep(10 * time.Millisecond)
		}
		return false
	}
	if !until("the books do not add up") {
		t.Fatal("no alarm")
	}
	for _, e := range []ledger.Event{ledger.PlanTaken, ledger.PlanSent, ledger.AttemptStarted, ledger.AttemptOK, ledger.PlanHeard,
		ledger.PlanServed} {
		p.Event = e
		g.desk.Post(p)
	}
	if !until("the books add up again") {
		t.Error("the alarm is not cleared")
	}
}
