package wire

import (
	"bytes"
	"reflect"
	"testing"

	dw "dewhitch"
	"dewhitch/internal/golden"
)

func goldenRound(t *testing.T, name string) Round {
	t.Helper()
	r, err := NewReader(bytes.NewReader(golden.Read(t, name))).Read()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// The lines of a round that the simulator writes and the adapter reads: each message, with each of its fields.
func TestGoldenEvents(t *testing.T) {
	load := dw.Load{Has: dw.HasInflight | dw.HasQueue | dw.HasUtil | dw.HasLatency | dw.HasRate | dw.HasErrors,
		Inflight: 1.5, Queue: 2.5, Util: 0.5, LatencyMS: 3.25, Rate: 4.5, Errors: 0.25}
	probed := dw.Load{Has: load.Has, Inflight: 11.5, Queue: 12.5, Util: 0.75, LatencyMS: 13.25, Rate: 14.5, Errors: 0.125}
	want := []any{
		Kill{},
		dw.Arrival{ID: "r-1", Class: 2, Plan: 3, Customer: 0x91f03b7c55d20a64, Remaining: 240000001, Units: 2.5, Spread: 4, First: 5, Repeat: true, Write: true},
		dw.Arrival{ID: "r-2", Customer: 1, Remaining: 1, Units: 1, Spread: 1, Repeat: true},
		dw.Arrival{ID: "r-3", Customer: 2, Remaining: 1, Units: 1, Spread: 1, Write: true},
		dw.Started{Request: "r-4", Attempt: 6, Server: 51, Latency: 9000001},
		dw.Ended{Request: "r-5", Attempt: 7, Server: 52, Outcome: dw.OutcomeOK, Final: true, Latency: 18500001, Used: 86, TrueUnits: 3.5, Load: load},
		dw.ClientGone{Request: "r-6"},
		dw.TimerFired{ID: "sweep-1"},
		dw.Probed{Server: 747, Outcome: dw.OutcomeTimeout, Latency: 1400001, Load: probed},
		dw.Told{From: 8, Data: []byte("hi")},
		dw.Counted{Name: "q-1", Outcome: dw.OutcomeRejected, Latency: 2150001, Total: 38.5},
		dw.ServerList{Kind: dw.ListCached, Version: 41, Servers: []dw.ServerEntry{
			{ID: 74, Cell: 3, Zone: 1, Kind: 2, Since: 6100000001, Rating: 1.5, State: dw.Draining}}},
		dw.ServerList{Kind: dw.ListFailed, Version: 42},
		dw.ServerList{Kind: dw.ListDelta, Version: 43, Servers: []dw.ServerEntry{
			{ID: 75, Cell: 4, Zone: 5, Kind: 6, Since: 6100000002, Rating: 2.5, State: dw.Ready},
			{ID: 76, Cell: 7, Zone: 8, Kind: 9, Rating: 3.5, State: dw.Gone}}},
		dw.ServerList{Kind: dw.ListFull, Version: 44, Servers: []dw.ServerEntry{
			{ID: 77, Cell: 10, Zone: 11, Kind: 12, Since: 6100000003, Rating: 4.5, State: dw.Ready}}},
	}
	for _, o := range []dw.Outcome{dw.OutcomeError, dw.OutcomeOK, dw.OutcomeRejected, dw.OutcomeTimeout, dw.OutcomeConnectFailed,
		dw.OutcomeReset, dw.OutcomeCancelled, dw.OutcomeNotSent} {
		want = append(want, dw.Probed{Server: 1, Outcome: o, Latency: 1})
	}
	r := goldenRound(t, "events.txt")
	if r.Now != 8412250001 || len(r.Messages) != len(want) {
		t.Fatalf("%d, %d messages, want %d", r.Now, len(r.Messages), len(want))
	}
	for i, m := range r.Messages {
		if m.Gateway != "gateway_3" || !reflect.DeepEqual(m.Body, want[i]) {
			t.Errorf("line %d of %q:\n got %+v\nwant %+v", m.Line, m.Gateway, m.Body, want[i])
		}
	}
}

// The message that starts an instance, with each key of the settings object. The simulator writes it.
func TestGoldenHello(t *testing.T) {
	r := goldenRound(t, "hello.txt")
	want := Hello{Seed: 77, Settings: dw.Settings{Instances: 6, Self: 5, Zones: 3, Zone: 1, Tick: 91,
		Classes: []dw.Class{
			{Aim: 41, AimStretch: 44.5, Deadline: 42, LateWorth: 0.375, Points: 45.5, Effect: dw.Safe, Group: dw.GroupAll, DedupWindow: 43, Streaming: true},
			{Aim: 51, AimStretch: 54.5, Deadline: 52, LateWorth: 0.875, Points: 55.5, Effect: dw.Keyed, Group: dw.GroupZone, DedupWindow: 53, Streaming: true},
			{Aim: 61, AimStretch: 64.5, Deadline: 62, LateWorth: 0.5, Points: 65.5, Effect: dw.Unsafe, Group: dw.GroupCell, DedupWindow: 63, Streaming: true}},
		Plans: []dw.Plan{
			{Rate: 15.5, Burst: 12.5, Open: 17, CeilingRate: 11.5, CeilingBurst: 13.5, Tolerance: 16.5, Price: 14.5, BeyondEarns: 0.25, OverrunCost: 0.75},
			{Rate: 25.5, Burst: 22.5, Open: 27, CeilingRate: 21.5, CeilingBurst: 23.5, Tolerance: 26.5, Price: 24.5, BeyondEarns: 0.125, OverrunCost: 0.625}},
		Counter: true, CounterTimeout: 32, CounterFee: 31.5, MeterPeriod: 33, MaxUnits: 34.5, TruedUp: true,
		MaxAttempts: 4, ParallelTries: true, MayCancel: true, MayProbe: true, MayTell: true, MaxRetryAfter: 1003, ConnectTimeout: 1002,
		ListOnRequest: true, Reports: dw.ReportsInAnswers, RatingsTell: true,
		ReportFields: dw.HasInflight | dw.HasQueue | dw.HasUtil | dw.HasLatency | dw.HasRate | dw.HasErrors,
		AnswerSlack:  71, AskWithin: 72, ColdSpan: 73, FallSpan: 74, DrainGrace: 75, FallMultiple: 76.5, StartCapacity: 0.775,
		CrossZonePrice: 81.5, LatePrice: 82.5, ProbePrice: 83.5, WastePrice: 84.5}}
	if r.Now != 7 || len(r.Messages) != 1 || r.Messages[0].Gateway != "gateway_1" || r.Messages[0].Line != 2 {
		t.Fatalf("%+v", r)
	}
	if got := r.Messages[0].Body; !reflect.DeepEqual(got, want) {
		t.Errorf(" got %+v\nwant %+v", got, want)
	}
}

// The lines that the simulator reads: each action with each of its fields, and the report of a panic.
func TestGoldenActions(t *testing.T) {
	var b []byte
	for _, a := range []dw.Action{
		dw.Send{Request: "r-1", Server: 51530247, Timeout: 80000001, Within: 11},
		dw.Cancel{Request: "r-2", Attempt: 3},
		dw.Refuse{Request: "r-3", Why: dw.WhyCeiling, RetryAfter: 250000001},
		dw.Refuse{Request: "r-4", Why: dw.WhyServers},
		dw.Fail{Request: "r-5", Why: dw.WhyGaveUp},
		dw.SetTimer{At: 8912250001, ID: "sweep-1"},
		dw.Count{Name: "q-1", Customer: 7, Add: -1.5, TTL: 3000000001},
		dw.Count{Name: "q-2", Customer: 8, Add: 1e21, TTL: 1},
		dw.Probe{Server: 747},
		dw.Subscribe{},
		dw.Drawn{Customer: 9, Units: 2.5},
	} {
		b = AppendAction(b, "gateway_3", a)
	}
	golden.Compare(t, "actions.txt", AppendException(b, "gateway_3", "panic:  of\n two\tlines"))
}

// The error lines that end the adapter, each with its line, message and field.
func TestGoldenErrors(t *testing.T) {
	var b []byte
	for _, c := range malformed {
		_, err := NewReader(bytes.NewReader([]byte(c.in))).Read()
		b = append(append(b, err.Error()...), '\n')
	}
	golden.Compare(t, "errors.txt", b)
}
