package settings

import (
	"reflect"
	"strings"
	"testing"

	dw "dewhitch"
	"dewhitch/internal/golden"
)

// goldenSettings is the expected content of settings.json.
var goldenSettings = dw.Settings{Instances: 6, Self: 5, Zones: 3, Zone: 1, Tick: 91,
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
	CrossZonePrice: 81.5, LatePrice: 82.5, ProbePrice: 83.5, WastePrice: 84.5}

// goldenNames holds the expected names of settings.json.
var goldenNames = Names{Zones: []string{"lake-a", "lake-b", "lake-c"}, Kinds: []string{"small", "large"},
	Classes: []string{"quote", "order", "charge"}, Plans: []string{"wide", "slim"}, ConnIdle: 1001}

// TestGoldenSettings guards against a change in how the settings object is read, with every key. The simulator's hello message
// and the node's configuration file contain it; the gateway reads it at its start.
func TestGoldenSettings(t *testing.T) {
	s, names, err := Decode(golden.Read(t, "settings.json"))
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(s, goldenSettings) {
		t.Errorf("settings\n got %+v\nwant %+v", s, goldenSettings)
	}
	if !reflect.DeepEqual(names, goldenNames) {
		t.Errorf("names\n got %+v\nwant %+v", names, goldenNames)
	}
	if err := s.Check(); err != nil {
		t.Error(err)
	}
}

// TestGoldenSettingsWords guards against a change in the meaning of the settings' named values, and compares the errors for
// unknown names, which contain the key, with the golden file.
func TestGoldenSettingsWords(t *testing.T) {
	text := string(golden.Read(t, "settings.json"))
	for _, c := range []struct {
		old, new string
		want     func(*dw.Settings)
	}{
		{`"MembershipMode":"on_request"`, `"MembershipMode":"pushed"`, func(s *dw.Settings) { s.ListOnRequest = false }},
		{`"MembershipMode":"on_request"`, `"MembershipMode":""`, func(s *dw.Settings) { s.ListOnRequest = false }},
		{`"Source":"answers"`, `"Source":"probe"`, func(s *dw.Settings) { s.Reports = dw.ReportsInProbes }},
		{`"Source":"answers"`, `"Source":"none"`, func(s *dw.Settings) { s.Reports = dw.ReportsNone }},
		{`"Source":"answers"`, `"Source":""`, func(s *dw.Settings) { s.Reports = dw.ReportsNone }},
		{`"Weights":"nominal"`, `"Weights":"none"`, func(s *dw.Settings) { s.RatingsDiffer = false }},
		{`"Weights":"nominal"`, `"Weights":""`, func(s *dw.Settings) { s.RatingsDiffer = false }},
		{`"RetryAfter":true`, `"RetryAfter":false`, func(s *dw.Settings) { s.MaxRetryAfter = 0 }},
		{`"Group":"all"`, `"Group":""`, func(*dw.Settings) {}},
	} {
		want := goldenSettings
		c.want(&want)
		got, _, err := Decode([]byte(strings.Replace(text, c.old, c.new, 1)))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("%s: error %v\n got %+v\nwant %+v", c.new, err, got, want)
		}
	}
	var messages []byte
	for _, old := range []string{`"MembershipMode":"on_request"`, `"Source":"answers"`, `"Effect":"safe"`, `"Group":"zone"`} {
		key, _, _ := strings.Cut(old, ":")
		_, _, err := Decode([]byte(strings.Replace(text, old, key+`:"odd"`, 1)))
		if err == nil {
			t.Fatalf("%s: an unknown value was accepted", key)
		}
		messages = append(append(messages, err.Error()...), '\n')
	}
	golden.Compare(t, "faults.txt", messages)
}
