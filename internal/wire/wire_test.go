package wire

import (
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"

	dw "dewhitch"
)

const settingsText = `{"NInstances":2,"MyNumber":1,"Areas":["a","b"],"Az":1,"Tick":4000000,"Unknown":{"x":[1]},` +
	`"RequestClasses":[{"Aim":400000000,"Deadline":800000000,"Effect":"keyed","Group":"cell","Points":3}],` +
	`"Contracts":[{"QuotaRate":1.5,"Depth":6,"Open":2,"CapRate":3,"HardBurst":9,"Tolerance":1}],` +
	`"Caps":{"TryLimit":3,"RetryAfter":true,"MaxRetryAfter":500000000},"Feedback":{"Source":"answers",` +
	`"Fields":["inflight","novel"]},"FamilyInfo":{"Counter":true,"CountLimit":50000000,"UnitsTop":4},` +
	`"Weights":"nominal","MembershipMode":"on_request"}`

// readRound reads a round that must be valid.
func readRound(t *testing.T, s string) Round {
	t.Helper()
	r, err := NewReader(strings.NewReader(s)).Read()
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestEvents guards against a value that is decoded into the wrong field of an event, and against an absent value (-) that is not
// decoded as the zero value.
func TestEvents(t *testing.T) {
	cases := []struct {
		line string
		want any
	}{
		{"kill gateway_3", Kill{}},
		{"submit gateway_3 r-brwyere 0 1 91f03b7c55d20a64 240000000 2.5 3 1 6", dw.Arrival{ID: "r-brwyere", Plan: 1,
			Customer: 0x91f03b7c55d20a64, Remaining: 240e6, Units: 2.5, Spread: 3, FirstGateway: 1, Repeat: true, Write: true}},
		{"response gateway_3 r-a 1 86 51 1 18500000 0 3 inflight:4,novel:9,qps:2.5", dw.AttemptEnded{Request: "r-a", Final: true,
			Used: 86, Server: 51, Outcome: dw.OutcomeOK, Latency: 18500000, TrueUnits: 3,
			Load: dw.Load{Has: dw.HasInflight | dw.HasRate, Inflight: 4, Rate: 2.5}}},
		{"response gateway_3 r-a 0 - 51 4 1 2 - -", dw.AttemptEnded{Request: "r-a", Server: 51, Latency: 1, Attempt: 2,
			Outcome: dw.OutcomeConnectFailed}},
		{"established gateway_3 r-a 0 51 9", dw.AnswerStarted{Request: "r-a", Server: 51, Latency: 9}},
		{"vanished gateway_3 r-a", dw.ClientDeparted{Request: "r-a"}},
		{"ring gateway_3 sweep", dw.TimerFired{ID: "sweep"}},
		{"health gateway_3 747 3 1400000 -", dw.HealthChecked{Server: 747, Outcome: dw.OutcomeTimeout, Latency: 1400000}},
		{"peer gateway_3 2 6869", dw.PeerMessage{From: 2, Data: []byte("hi")}},
		{"peer gateway_3 2 -", dw.PeerMessage{From: 2}},
		{"ledger_reply gateway_3 sweep 1 2150000 38", dw.CounterAnswered{Name: "sweep", Latency: 2150000, Total: 38}},
		{"peers_known gateway_3 1 41 2\nm 0 0 0 51 - 1 1\nm 3 1 2 74 6100000000 1.5 0", dw.EndpointList{Kind: dw.ListCached,
			Version: 41, Servers: []dw.Endpoint{{ID: 51, Rating: 1},
				{ID: 74, Cell: 3, Zone: 1, Kind: 2, StartedAt: 6100000000, Rating: 1.5, State: dw.Draining}}}},
		{"peers_known gateway_3 2 41 0", dw.EndpointList{Kind: dw.ListFailed, Version: 41}},
	}
	for _, c := range cases {
		r := readRound(t, "round 8412250000\n"+c.line+"\ncommit\n")
		if r.Now != 8412250000 || len(r.Messages) != 1 || r.Messages[0].Gateway != "gateway_3" {
			t.Errorf("%s: got round %+v, want one message at 8412250000 for gateway_3", c.line, r)
		} else if got := r.Messages[0].Body; !reflect.DeepEqual(got, c.want) {
			t.Errorf("%s:\n got %+v\nwant %+v", c.line, got, c.want)
		}
	}
}

// TestSettings guards against settings that are lost or changed. Only unknown keys and unknown names of reported fields are
// ignored.
func TestSettings(t *testing.T) {
	h := readRound(t, "round 1\nhello gateway_1 77 "+settingsText+"\ncommit\n").Messages[0].Body.(Hello)
	want := Hello{Seed: 77, Settings: dw.Settings{Instances: 2, Self: 1, Zones: 2, Zone: 1, Tick: 4e6,
		Classes: []dw.Class{{Objective: 400e6, Deadline: 800e6, Idempotency: dw.IdempotentByKey, DedupScope: dw.DedupCell, Weight: 3}},
		Plans:   []dw.Plan{{Rate: 1.5, Burst: 6, MaxInFlight: 2, CeilingRate: 3, CeilingBurst: 9, Tolerance: 1}},
		Counter: true, CounterTimeout: 50e6, MaxUnits: 4, MaxAttempts: 3, MaxRetryAfter: 500e6, ListOnRequest: true,
		Reports: dw.ReportsInAnswers, ReportFields: dw.HasInflight, RatingsDiffer: true}}
	if !reflect.DeepEqual(h, want) {
		t.Errorf("settings differ:\n got %+v\nwant %+v", h, want)
	}
}

// malformed lists inputs with one fault each, and the line, message and field that the error must name.
var malformed = []struct {
	input          string
	line           int
	message, field string
}{
	{"rond 1\ncommit\n", 1, "round", "-"},
	{"round x\ncommit\n", 1, "round", "clock"},
	{"round 1\n", 2, "commit", "-"},
	{"round 1\nnovel gateway_1\ncommit\n", 2, "novel", "-"},
	{"round 1\nkill\ncommit\n", 2, "kill", "-"},
	{"round 1\nkill gateway_1 2\ncommit\n", 2, "kill", "-"},
	{"round 1\nvanished gateway_1  r-a\ncommit\n", 2, "vanished", "-"},
	{"round 1\nvanished gateway_1 -\ncommit\n", 2, "vanished", "Req"},
	{"round 1\nkill gateway_1\nsubmit gateway_1 r 0 0 zz 1 1 1 0 0\ncommit\n", 3, "submit", "Caller"},
	{"round 1\nsubmit gateway_1 r 0 0 a 1 NaN 1 0 0\ncommit\n", 2, "submit", "SizeUnits"},
	{"round 1\nsubmit gateway_1 r -1 0 a 1 1 1 0 0\ncommit\n", 2, "submit", "Priority"},
	{"round 1\nresponse gateway_1 r 0 0 1 8 1 0 0 -\ncommit\n", 2, "response", "Reason"},
	{"round 1\nresponse gateway_1 r 2 0 1 1 1 0 0 -\ncommit\n", 2, "response", "NoMore"},
	{"round 1\nresponse gateway_1 r 0 0 4294967296 1 1 0 0 -\ncommit\n", 2, "response", "Server"},
	{"round 1\nresponse gateway_1 r 0 0 1 1 1 0 0 util\ncommit\n", 2, "response", "Metrics"},
	{"round 1\npeer gateway_1 1 6\ncommit\n", 2, "peer", "Raw"},
	{"round 1\npeers_known gateway_1 0 1 0\ncommit\n", 2, "peers_known", "Scope"},
	{"round 1\npeers_known gateway_1 4 1 -1\ncommit\n", 2, "peers_known", "Members"},
	{"round 1\npeers_known gateway_1 4 1 1\nm 0 0 0 7 0 1 3\ncommit\n", 3, "m", "State"},
	{"round 1\npeers_known gateway_1 4 1 2\nm 0 0 0 7 0 1 1\ncommit\n", 4, "m", "-"},
	{"round 1\nhello gateway_1 1 {\ncommit\n", 2, "hello", "Config"},
	{"round 1\nhello gateway_1 x {}\ncommit\n", 2, "hello", "Seed"},
	{"round 1\nhello gateway_1 1 {\"RequestClasses\":[{\"Effect\":\"odd\"}]}\ncommit\n", 2, "hello", "Config"},
}

// TestMalformed guards against malformed input that is accepted, or whose error names another line, message or field.
func TestMalformed(t *testing.T) {
	for _, c := range malformed {
		_, err := NewReader(strings.NewReader(c.input)).Read()
		var e *Error
		if !errors.As(err, &e) || e.Line != c.line || e.Message != c.message || e.Field != c.field {
			t.Errorf("%q: got %v, want line %d, message %s, field %s", c.input, err, c.line, c.message, c.field)
		}
	}
}

// TestActions guards against a changed line of an action or of the report of a panic.
func TestActions(t *testing.T) {
	cases := []struct {
		action dw.Action
		want   string
	}{
		{dw.StartAttempt{Request: "r-a", Server: 51530247, Timeout: 80e6}, "deliver g r-a 51530247 80000000\n"},
		{dw.CancelAttempt{Request: "r-a", Attempt: 1}, "undo_send g r-a 1\n"},
		{dw.Reject{Request: "r-a", RetryAfter: 250e6}, "deny g r-a 250000000\n"},
		{dw.Fail{Request: "r-a"}, "finish_error g r-a\n"},
		{dw.SetTimer{At: 8912250000, ID: "x"}, "remind g 8912250000 x\n"},
		{dw.CounterAdd{Name: "n", Add: -1.5, TTL: 3e9}, "bump g n -1.5 3000000000\n"},
		{dw.HealthCheck{Server: 7}, "probe g 7\n"},
		{dw.SubscribeEndpoints{}, "stream_changes g 1\n"},
	}
	for _, c := range cases {
		if got := string(AppendAction(nil, "g", c.action)); got != c.want {
			t.Errorf("%T: got %q, want %q", c.action, got, c.want)
		}
	}
	if got := string(AppendException(nil, "g", "a\nb")); got != "exception g a b\n" {
		t.Errorf("line of a panic: got %q", got)
	}
}

// FuzzRead checks that any input is read or rejected with an *Error that has a line number, and that none causes a panic.
func FuzzRead(f *testing.F) {
	for _, c := range malformed {
		f.Add(c.input)
	}
	f.Add("round 1\nhello gateway_1 77 " + settingsText + "\ncommit\n")
	f.Add("round 1\nsubmit gateway_3 r 0 1 91f03b7c55d20a64 240000000 2.5 3 1 6\ncommit\n")
	f.Fuzz(func(t *testing.T, in string) {
		r := NewReader(strings.NewReader(in))
		for {
			_, err := r.Read()
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				var e *Error
				if !errors.As(err, &e) || e.Line < 1 {
					t.Fatalf("got error %v, want a wire error with a line number", err)
				}
				return
			}
		}
	})
}
