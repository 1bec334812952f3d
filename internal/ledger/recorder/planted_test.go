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

// faultyRecorder is a Recorder that loses, doubles or changes the first posting of one event for one customer.
type faultyRecorder struct {
	*recorder.Recorder
	event      ledger.Event
	customer   uint64
	fault      string // "lost", "doubled" or "wrong units"
	injected   atomic.Bool
	injectedAt atomic.Int64 // Unix time in nanoseconds
}

func (r *faultyRecorder) Post(p ledger.Posting) {
	if p.Event != r.event || p.Key.Customer != r.customer || !r.injected.CompareAndSwap(false, true) {
		r.Recorder.Post(p)
		return
	}
	r.injectedAt.Store(time.Now().UnixNano())
	switch r.fault {
	case "doubled":
		r.Recorder.Post(p)
		r.Recorder.Post(p)
	case "wrong units":
		p.Units += 1e6
		r.Recorder.Post(p)
	}
}

// gateway holds the parts of a gateway in one process, with a recorder that may be faulty.
type gateway struct {
	addr     string
	recorder *recorder.Recorder
	logs     *observer.ObservedLogs
}

// startGateway starts a gateway whose backends answer immediately. faulty may be nil.
func startGateway(t *testing.T, o recorder.Options, faulty *faultyRecorder) *gateway {
	return startGatewayWithBackends(t, o, faulty, standin.Always(standin.Step{}))
}

// startGatewayWithBackends starts a gateway whose backends behave by a script. faulty may be nil.
func startGatewayWithBackends(t *testing.T, o recorder.Options, faulty *faultyRecorder, script standin.Script) *gateway {
	t.Helper()
	backends, err := standin.NewBackends(2, false, script)
	if err != nil {
		t.Fatal(err)
	}
	sharedCounter, err := standin.NewCounter()
	if err != nil {
		t.Fatal(err)
	}
	level, logs := observer.New(zapcore.InfoLevel)
	o.Log = zap.New(level)
	o.Names = ledger.Names{Plans: []string{"basic", "fleet"}, Classes: []string{"space-query", "booking"}}
	o.Limits = ledger.Limits{Rows: 1000, Open: 1000, RecentPostings: 1000}
	o.OverdueAfter = 5 * time.Second
	rec := recorder.New(ledger.New(o.Limits, false), ledger.Names{}, nil, o)
	if faulty == nil {
		faulty = &faultyRecorder{}
	}
	faulty.Recorder = rec

	set := dw.Settings{Instances: 1, Zones: 1, Tick: 4e6, Counter: true, CounterTimeout: 1e9, MaxUnits: 4, MaxAttempts: 6,
		MayCancel: true, MaxRetryAfter: 5e8, ConnectTimeout: 1e9, DrainGrace: 5e8, StartCapacity: 0.2,
		Classes: []dw.Class{{Objective: 5e9, Deadline: 1e10, Weight: 1}, {Objective: 5e9, Deadline: 1e10, Weight: 5, Idempotency: dw.IdempotentByKey, DedupWindow: 3e9}},
		Plans:   []dw.Plan{{Rate: 5, Burst: 10, WeightFactor: 1, OverQuotaCost: 1}, {Rate: 500, Burst: 1000, WeightFactor: 1, OverQuotaCost: 1}}}
	names := backend.Names{Plans: o.Names.Plans}
	pools := backend.New(names, backend.Limits{MaxConns: 64, BackendIdleTimeout: 15 * time.Second, ConnectTimeout: time.Second}, faulty)
	counterClient := counter.New(sharedCounter.Addr(), 3*time.Second, time.Second, faulty, o.Log)
	planner, err := core.NewPlanner(set, 1, core.NewClock(), pools, counterClient, faulty, o.Log)
	if err != nil {
		t.Fatal(err)
	}
	rec.SetTallyReader(planner.ReadTallies)
	commands := &limits.Commands{Commands: &platform.Commands{Planner: planner, Recorder: faulty, Settings: set,
		Names: settings.Names{Classes: o.Names.Classes, Plans: o.Names.Plans}}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &front.Server{Listener: l, MaxSessions: 64, NewCommands: func() front.Commands { return commands },
		Bounds: front.NewBounds(64 << 20), Log: o.Log}
	ctx, stop := context.WithCancel(context.Background())
	var background, fronts sync.WaitGroup
	background.Go(func() { planner.Run(ctx) })
	background.Go(func() { pools.Run(ctx) })
	background.Go(func() { counterClient.Run(ctx) })
	background.Go(func() { rec.Run(ctx) })
	serveCtx, stopServing := context.WithCancel(ctx)
	fronts.Go(func() { server.Serve(serveCtx) })
	list := core.EndpointUpdate{}
	for i, b := range backends.Nodes {
		list.List.Servers = append(list.List.Servers, dw.Endpoint{ID: dw.ServerID(i + 1)})
		list.Addrs = append(list.Addrs, b.Addr())
	}
	if err := planner.UpdateEndpoints(list); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stopServing()
		fronts.Wait()
		stop()
		background.Wait()
		backends.Close()
		sharedCounter.Close()
	})
	return &gateway{l.Addr().String(), rec, logs}
}

// sendRequests sends mixed commands of the customers 1 to 4, and waits for the answers.
func (g *gateway) sendRequests(t *testing.T, rounds int) {
	t.Helper()
	c, err := standin.Dial(g.addr, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(time.Minute))
	for i := range rounds {
		for customerNumber := 1; customerNumber <= 4; customerNumber++ {
			customer, plan := fmt.Sprintf("%016x", customerNumber), []string{"basic", "fleet"}[customerNumber%2]
			args := "t=" + plan + ",d=9000,spread=1,first=0"
			if err := c.Send([]string{"SVC.QUERY", customer, fmt.Sprintf("q%d-%d", customerNumber, i), "c=space-query,units=2," + args},
				[]string{"SVC.SUBMIT", customer, fmt.Sprintf("b%d-%d", customerNumber, i), fmt.Sprintf("c=booking,units=1,k=k%d-%d,", customerNumber, i) + args},
				[]string{"LIMIT.GET", customer, args},
				[]string{"LIMIT.ADJUST", customer, "1", args},
				[]string{"LIMIT.ADJUST", customer, "-1", args}); err != nil {
				t.Fatal(err)
			}
			for range 5 {
				if v, err := c.Reply(); err != nil || v.Kind == '-' && !strings.HasPrefix(v.Text, "BUSY") {
					t.Fatalf("customer %d: got the answer %v, error %v", customerNumber, v, err)
				}
			}
		}
	}
}

// alarms returns the log entries of the raised alarms.
func (g *gateway) alarms() []observer.LoggedEntry {
	return g.logs.FilterMessage("the books do not add up").All()
}

// TestNoFalseAlarms guards against false alarms: without a fault, frequent audits between the postings of open requests must
// raise none.
func TestNoFalseAlarms(t *testing.T) {
	g := startGateway(t, recorder.Options{AuditInterval: 5 * time.Millisecond}, nil)
	g.sendRequests(t, 8)
	// The front posts the end of a request after it has written the answer, which the client may receive first.
	g.eventually(t, "the last answers", func(r recorder.Report) bool { return r.Open == 0 })
	g.recorder.Audit(true)
	if a := g.alarms(); len(a) > 0 {
		t.Fatalf("unexpected alarm: %v", a[0].ContextMap())
	}
	r := g.recorder.Report()
	if r.Total.N[ledger.FrontTaken] != 8*4*5 || r.Open != 0 || r.Total.Ended() != 8*4*5 {
		t.Errorf("%d requests taken, %d ended, %d open, expected 160, 160 and 0", r.Total.N[ledger.FrontTaken], r.Total.Ended(), r.Open)
	}
}

// eventually waits until ok returns true for a report, and fails the test if an alarm was raised or after 20 s. what names the
// awaited state.
func (g *gateway) eventually(t *testing.T, what string, ok func(recorder.Report) bool) {
	t.Helper()
	for began := time.Now(); !ok(g.recorder.Report()); time.Sleep(10 * time.Millisecond) {
		if time.Since(began) > 20*time.Second {
			r := g.recorder.Report()
			t.Fatalf("%s: not reached within 20 s: %d requests taken, %d with departed clients, %d with failed writes, %d open", what, r.Total.N[ledger.FrontTaken], r.Total.N[ledger.FrontClientDeparted],
				r.Total.N[ledger.FrontWriteFailed], r.Open)
		}
	}
	if a := g.alarms(); len(a) > 0 {
		t.Fatalf("%s: unexpected alarm: %v", what, a[0].ContextMap())
	}
}

// TestSessionEndsWithManyOpen guards against entries that stay open when a client closes its connection. The session has as many
// open requests as it may, at backends that never answer; each request must end, and each attempt must be cancelled and its end
// reported to the planner.
func TestSessionEndsWithManyOpen(t *testing.T) {
	g := startGatewayWithBackends(t, recorder.Options{AuditInterval: 5 * time.Millisecond}, nil, standin.Always(standin.Step{Behaviour: standin.Stall}))
	c, err := standin.Dial(g.addr, 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	const requestCount = 60
	for i := range requestCount {
		if err := c.Send([]string{"SVC.SUBMIT", "0000000000000003", fmt.Sprintf("s%d", i),
			fmt.Sprintf("c=booking,t=fleet,d=9000,spread=1,first=0,k=k%d", i)}); err != nil {
			t.Fatal(err)
		}
	}
	refused := func(r recorder.Report) uint64 { return r.Total.N[ledger.FrontRejected] }
	g.eventually(t, "open", func(r recorder.Report) bool {
		return r.Total.N[ledger.FrontTaken] == requestCount && r.Total.N[ledger.PlanTaken] == requestCount
	})
	c.Close()
	g.eventually(t, "ended", func(r recorder.Report) bool {
		return r.Open == 0 && r.Total.N[ledger.FrontClientDeparted]+r.Total.N[ledger.FrontWriteFailed]+refused(r) == requestCount &&
			r.Total.N[ledger.FrontClientDeparted] > 0 && r.Total.N[ledger.AttemptStarted] == r.Total.AttemptsEnded()
	})
}

// TestClientNeverReads guards against mismatches with a client that sends requests and never reads, until the gateway closes the
// session. Answers that were written completely must count as served and the rest as failed writes or departed clients, and no
// audit may find a mismatch.
func TestClientNeverReads(t *testing.T) {
	g := startGateway(t, recorder.Options{AuditInterval: 20 * time.Millisecond}, nil)
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

// TestInjectedFaultIsReported guards against faults that the audits miss or report late. One fault in each journal must be
// reported within five seconds, with one audit a second as in production; the alarm must name the customer, plan and class, be
// raised only once while it is active, and be in the alarm file.
func TestInjectedFaultIsReported(t *testing.T) {
	for _, c := range []struct {
		event ledger.Event
		fault string
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
		{ledger.CallStarted, "doubled", "account"},
	} {
		t.Run(fmt.Sprintf("%v %s", c.event, c.fault), func(t *testing.T) {
			t.Parallel()
			file := filepath.Join(t.TempDir(), "alarms.jsonl")
			faulty := &faultyRecorder{event: c.event, customer: 3, fault: c.fault}
			g := startGateway(t, recorder.Options{AuditInterval: time.Second, AlarmFile: file}, faulty)
			g.sendRequests(t, 2)
			if !faulty.injected.Load() {
				t.Fatal("the fault was not injected: no posting matched")
			}
			for began := time.Now(); len(g.alarms()) == 0; time.Sleep(10 * time.Millisecond) {
				if time.Since(began) > 20*time.Second {
					t.Fatal("no alarm was raised within 20 s")
				}
			}
			reportedAfter := g.alarms()[0].Time.Sub(time.Unix(0, faulty.injectedAt.Load()))
			t.Logf("reported after %v", reportedAfter.Round(time.Millisecond))
			if reportedAfter > 5*time.Second {
				t.Error("the alarm was raised later than 5 s after the fault")
			}
			time.Sleep(1200 * time.Millisecond) // one more audit, which must not raise it again
			seen := map[string]int{}
			for _, a := range g.alarms() {
				m := a.ContextMap()
				seen[fmt.Sprint(m["check"], m["class"])]++
				if m["haulier"] != "0000000000000003" || c.class != "" && m["class"] != c.class ||
					m["plan"] != "fleet" && m["class"] != "account" || len(m["last_postings"].([]any)) == 0 {
					t.Errorf("the alarm has wrong or missing fields: %v", m)
				}
			}
			for what, n := range seen {
				if n > 1 {
					t.Errorf("the alarm %s was raised %d times, expected once", what, n)
				}
			}
			text, err := os.ReadFile(file)
			var first struct{ State, Haulier string }
			if err == nil {
				err = json.Unmarshal([]byte(strings.Split(string(text), "\n")[0]), &first)
			}
			if err != nil || first.State != "raised" || first.Haulier != "0000000000000003" {
				t.Errorf("the alarm file does not begin with the alarm: error %v, content %s", err, text)
			}
		})
	}
}

// TestAlarmIsCleared guards against alarms that stay active after the mismatch is gone. The front posts that a request was served
// before the other journals have its postings, which raises an alarm. The missing postings follow and must clear it.
func TestAlarmIsCleared(t *testing.T) {
	g := startGateway(t, recorder.Options{AuditInterval: 20 * time.Millisecond}, nil)
	g.sendRequests(t, 1)
	p := ledger.Posting{Event: ledger.FrontTaken, Key: g.recorder.Row(9, 0, 0), Ref: g.recorder.Ref(), Units: 1e6}
	g.recorder.Post(p)
	p.Event = ledger.FrontServed // before any decision
	g.recorder.Post(p)
	waitForLog := func(message string) bool {
		for range 1000 {
			if g.logs.FilterMessage(message).Len() > 0 {
				return true
			}
			time.Sleep(10 * time.Millisecond)
		}
		return false
	}
	if !waitForLog("the books do not add up") {
		t.Fatal("no alarm was raised")
	}
	for _, e := range []ledger.Event{ledger.PlanTaken, ledger.PlanSent, ledger.AttemptStarted, ledger.AttemptOK, ledger.PlanNotified,
		ledger.PlanServed} {
		p.Event = e
		g.recorder.Post(p)
	}
	if !waitForLog("the books add up again") {
		t.Error("the alarm was not cleared")
	}
}
