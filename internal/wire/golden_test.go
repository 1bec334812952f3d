package wire

import (
	"bytes"
	"reflect"
	"testing"

	dw "dewhitch"
	"dewhitch/internal/golden"
)

// goldenRound reads the one round of a golden file.
func goldenRound(t *testing.T, name string) Round {
	t.Helper()
	r, err := NewReader(bytes.NewReader(golden.Read(t, name))).Read()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestGoldenEvents guards against a changed name, order or meaning of a field. The simulator writes the lines, and the program
// simadapter reads them; the golden round has every message with all of its fields.
func TestGoldenEvents(t *testing.T) {
	load := dw.Load{Has: dw.HasInflight | dw.HasQueue | dw.HasUtil | dw.HasLatency | dw.HasRate | dw.HasErrors,
		Inflight: 1.5, Queue: 2.5, Util: 0.5, LatencyMS: 3.25, Rate: 4.5, Errors: 0.25}
	probed := dw.Load{Has: load.Has, Inflight: 11.5, Queue: 12.5, Util: 0.75, LatencyMS: 13.25, Rate: 14.5, Errors: 0.125}
	want := []any{
		Kill{},
		dw.Arrival{ID: "r-1", Class: 2, Plan: 3, Customer: 0x91f03b7c55d20a64, Remaining: 240000001, Units: 2.5, Spread: 4, FirstGateway: 5, Repeat: true, Write: true},
		dw.Arrival{ID: "r-2", Customer: 1, Remaining: 1, Units: 1, Spread: 1, Repeat: true},
		dw.Arrival{ID: "r-3", Customer: 2, Remaining: 1, Units: 1, Spread: 1, Write: true},
		dw.AnswerStarted{Request: "r-4", Attempt: 6, Server: 51, Latency: 9000001},
		dw.AttemptEnded{Request: "r-5", Attempt: 7, Server: 52, Outcome: dw.OutcomeOK, Final: true, Latency: 18500001, Used: 86, TrueUnits: 3.5, Load: load},
		dw.ClientDeparted{Request: "r-6"},
		dw.TimerFired{ID: "sweep-1"},
		dw.HealthChecked{Server: 747, Outcome: dw.OutcomeTimeout, Latency: 1400001, Load: probed},
		dw.PeerMessage{From: 8, Data: []byte("hi")},
		dw.CounterAnswered{Name: "q-1", Outcome: dw.OutcomeRejected, Latency: 2150001, Total: 38.5},
		dw.EndpointList{Kind: dw.ListCached, Version: 41, Servers: []dw.Endpoint{
			{ID: 74, Cell: 3, Zone: 1, Kind: 2, StartedAt: 6100000001, Rating: 1.5, State: dw.Draining}}},
		dw.EndpointList{Kind: dw.ListFailed, Version: 42},
		dw.EndpointList{Kind: dw.ListDelta, Version: 43, Servers: []dw.Endpoint{
			{ID: 75, Cell: 4, Zone: 5, Kind: 6, StartedAt: 6100000002, Rating: 2.5, State: dw.Ready},
			{ID: 76, Cell: 7, Zone: 8, Kind: 9, Rating: 3.5, State: dw.Removed}}},
		dw.EndpointList{Kind: dw.ListFull, Version: 44, Servers: []dw.Endpoint{
			{ID: 77, Cell: 10, Zone: 11, Kind: 12, StartedAt: 6100000003, Rating: 4.5, State: dw.Ready}}},
	}
	for _, o := range []dw.Outcome{dw.OutcomeError, dw.OutcomeOK, dw.OutcomeRejected, dw.OutcomeTimeout, dw.OutcomeConnectFailed,
		dw.OutcomeReset, dw.OutcomeCancelled, dw.OutcomeNotSent} {
		want = append(want, dw.HealthChecked{Server: 1, Outcome: o, Latency: 1})
	}
	r := goldenRound(t, "events.txt")
	if r.Now != 8412250001 || len(r.Messages) != len(want) {
		t.Fatalf("round at %d with %d messages, want one at 8412250001 with %d", r.Now, len(r.Messages), len(want))
	}
	for i, m := range r.Messages {
		if m.Gateway != "gateway_3" || !reflect.DeepEqual(m.Body, want[i]) {
			t.Errorf("line %d, gateway %q:\n got %+v\nwant %+v", m.Line, m.Gateway, m.Body, want[i])
		}
	}
}

// TestGoldenHello guards against a changed or lost key of the settings object. The simulator writes the message that starts a
// gateway; the golden message has every key.
func TestGoldenHello(t *testing.T) {
	r := goldenRound(t, "hello.txt")
	want := Hello{Seed: 77, Settings: dw.Settings{Instances: 6, Self: 5, Zones: 3, Zone: 1, Tick: 91,
		Classes: []dw.Class{
			{Objective: 41, ObjectiveStretch: 44.5, Deadline: 42, LateWeight: 0.375, Weight: 45.5, Idempotency: dw.Idempotent, DedupScope: dw.DedupAll, DedupWindow: 43, Streaming: true},
			{Objective: 51, ObjectiveStretch: 54.5, Deadline: 52, LateWeight: 0.875, Weight: 55.5, Idempotency: dw.IdempotentByKey, DedupScope: dw.DedupZone, DedupWindow: 53, Streaming: true},
			{Objective: 61, ObjectiveStretch: 64.5, Deadline: 62, LateWeight: 0.5, Weight: 65.5, Idempotency: dw.NotIdempotent, DedupScope: dw.DedupCell, DedupWindow: 63, Streaming: true}},
		Plans: []dw.Plan{
			{Rate: 15.5, Burst: 12.5, MaxInFlight: 17, CeilingRate: 11.5, CeilingBurst: 13.5, Tolerance: 16.5, WeightFactor: 14.5, OverQuotaValue: 0.25, OverQuotaCost: 0.75},
			{Rate: 25.5, Burst: 22.5, MaxInFlight: 27, CeilingRate: 21.5, CeilingBurst: 23.5, Tolerance: 26.5, WeightFactor: 24.5, OverQuotaValue: 0.125, OverQuotaCost: 0.625}},
		Counter: true, CounterTimeout: 32, CounterFee: 31.5, MeterPeriod: 33, MaxUnits: 34.5, UnitsCorrected: true,
		MaxAttempts: 4, ParallelAttempts: true, MayCancel: true, MayProbe: true, MayMessagePeers: true, MaxRetryAfter: 1003, ConnectTimeout: 1002,
		ListOnRequest: true, Reports: dw.ReportsInAnswers, RatingsDiffer: true,
		ReportFields: dw.HasInflight | dw.HasQueue | dw.HasUtil | dw.HasLatency | dw.HasRate | dw.HasErrors,
		AnswerSlack:  71, PollWithin: 72, SlowStartSpan: 73, OverloadSpan: 74, DrainGrace: 75, OverloadMultiple: 76.5, StartCapacity: 0.775,
		CrossZonePrice: 81.5, LatePrice: 82.5, ProbePrice: 83.5, WastePrice: 84.5}}
	if r.Now != 7 || len(r.Messages) != 1 || r.Messages[0].Gateway != "gateway_1" || r.Messages[0].Line != 2 {
		t.Fatalf("got round %+v, want one message at 7 for gateway_1 on line 2", r)
	}
	if got := r.Messages[0].Body; !reflect.DeepEqual(got, want) {
		t.Errorf(" got %+v\nwant %+v", got, want)
	}
}

// TestGoldenActions guards against a changed line of an action, with each of its fields, or of the report of a panic. The
// simulator reads these lines.
func TestGoldenActions(t *testing.T) {
	var b []byte
	for _, a := range []dw.Action{
		dw.StartAttempt{Request: "r-1", Server: 51530247, Timeout: 80000001, StartWithin: 11},
		dw.CancelAttempt{Request: "r-2", Attempt: 3},
		dw.Reject{Request: "r-3", Reason: dw.ReasonCeiling, RetryAfter: 250000001},
		dw.Reject{Request: "r-4", Reason: dw.ReasonOverload},
		dw.Fail{Request: "r-5", Reason: dw.ReasonExhausted},
		dw.SetTimer{At: 8912250001, ID: "sweep-1"},
		dw.CounterAdd{Name: "q-1", Customer: 7, Add: -1.5, TTL: 3000000001},
		dw.CounterAdd{Name: "q-2", Customer: 8, Add: 1e21, TTL: 1},
		dw.HealthCheck{Server: 747},
		dw.SubscribeEndpoints{},
		dw.TallyChanged{Customer: 9, Units: 2.5},
	} {
		b = AppendAction(b, "gateway_3", a)
	}
	golden.Compare(t, "actions.txt", AppendException(b, "gateway_3", "panic:  of\n two\tlines"))
}

// TestGoldenErrors guards against a changed text of the errors at which the program simadapter exits. Each error names the line,
// message and field that it is about.
func TestGoldenErrors(t *testing.T) {
	var b []byte
	for _, c := range malformed {
		_, err := NewReader(bytes.NewReader([]byte(c.input))).Read()
		b = append(append(b, err.Error()...), '\n')
	}
	golden.Compare(t, "errors.txt", b)
}
