package drill

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"dewhitch/internal/golden"
)

// TestGoldenScenario guards against changes of the vocabulary of scenario files, which authors of scenarios rely on. It loads a
// file that uses every function with every argument.
func TestGoldenScenario(t *testing.T) {
	s, err := Load("scenario.star", golden.Read(t, "scenario.star"), Size{})
	if err != nil {
		t.Fatal(err)
	}
	var b []byte
	for _, e := range s.Events {
		b = fmt.Appendf(b, "%v %s: %s %q\n", e.At, e.Pos, e.Text, e.targets)
	}
	golden.Compare(t, "events.txt", b)
	got := *s
	got.Events = nil
	if want := (Scenario{Name: "scenario", Zones: []string{"a", "b", "c"}, Gateways: 3, Servers: 5, Customers: 50, Load: 0.25, Rate: 75,
		Length: 100 * time.Second, DepartRatio: 0.125, Class: "keyed", Discovery: "registry", Regions: map[string]string{"a": "north", "b": "north", "c": "south"},
		Expects: []Expect{{Pos: "scenario.star:24:7", MinServed: 0.9, MinWorstServed: 0.8, MaxLost: 1, MaxSent: 2, From: 3 * time.Second, To: 4 * time.Second,
			Targets: []string{"server-b1", "server-b2", "server-b3", "server-b4", "server-b5"}, MaxExcused: 5, MaxEvacuations: 6, MinPlans: 7, MinWorked: 9,
			MaxOverload: 10.5, MaxFullTime: 11.5, MaxApplyTime: 8.5, hasLost: true, hasExcused: true},
			{Pos: "scenario.star:26:7", MaxLost: -1, MaxSent: -1, MaxExcused: -1, MaxEvacuations: -1}}}); !reflect.DeepEqual(got, want) {
		t.Errorf("\n got %+v\nwant %+v", got, want)
	}
	if s, err = Load("x.star", []byte("fleet()"), Size{}); err != nil {
		t.Fatal(err)
	}
	if want := (&Scenario{Name: "x", Zones: []string{"a", "b", "c"}, Gateways: 2, Servers: 4, Customers: 40, Load: 0.6, Length: time.Minute,
		Coordinated: true, Class: "mixed", Discovery: "seeds", Regions: map[string]string{}}); !reflect.DeepEqual(s, want) {
		t.Errorf("defaults\n got %+v\nwant %+v", s, want)
	}
}

// TestGoldenNames guards against changes of the names that authors of scenarios and readers of results rely on: the functions of
// scenario files, the scenarios of the library, and the rules that results count violations by.
func TestGoldenNames(t *testing.T) {
	all, err := List()
	if err != nil {
		t.Fatal(err)
	}
	b := []byte("words\n")
	for _, w := range slices.Sorted(maps.Keys((&scenarioBuilder{}).vocabulary())) {
		b = fmt.Appendln(b, w)
	}
	b = append(b, "scenarios\n"...)
	for _, s := range all {
		b = fmt.Appendln(b, s.Name)
	}
	b = append(b, "rules\n"...)
	for _, r := range []string{ruleLost, ruleInvalidAnswer, ruleOverlap, ruleRepeat, ruleDrain, ruleCeiling, ruleOverload, ruleFree, ruleDeparted, ruleUnexpectedExit} {
		b = fmt.Appendln(b, r)
	}
	golden.Compare(t, "names.txt", b)
}

// TestGoldenResults guards against changes of the JSON that drill run --json and drill rest write, which scripts that compare
// drills read. Every field is set.
func TestGoldenResults(t *testing.T) {
	var b []byte
	for _, v := range []any{
		Result{Scenario: "calm", Seed: 1, Coordinated: true, Processes: 2, Requests: 3, Served: 0.25, WorstServed: 0.125, Outcomes: map[string]int{"served": 4},
			Lost: 5, ViolationsByRule: map[string]int{"lost": 6}, DepartedClients: DepartedClients{Waiting: 7, Forwarded: 8, ForwardedLate: 9, AttemptsLate: 10}, CPUPerRequest: 11.5, FleetBytes: 12.5,
			Fleet: &FleetResult{Plans: 13, Evacuations: 14, ApplyMedian: 15.5, ApplyWorst: 16.5,
				Slowest: PlanApplication{Gateway: "gateway-a1", Plan: "1.2", SettledAt: 17.5, CountedFrom: 18.5, Elapsed: 19.5}, Leaders: []TimelineEvent{{At: 20.5, Text: "gateway-a2"}}},
			Work:       &WorkResult{Requested: 21, Completed: []MachineMaintenance{{Machine: "server-a1", FreeAt: 22.5, ReturnedAt: 23.5}}, MaxConcurrent: 24, Duration: 25.5},
			SlowStarts: []SlowStartResult{{Server: "server-a2", At: 26.5, MaxLoadRatio: 27.5, MaxExcessRatio: 28.5, FullRateAfter: 29.5}},
			ServerFaults: []ServerFault{{Action: "silent", At: 30.5, Until: 31.5, Sent: 32, SentAtEnd: 33, LastRequest: map[string]float64{"gateway-a3": 34.5},
				LastBeforeProbes: map[string]float64{"gateway-a4": 35.5}}},
			ServedBySecond: []float64{36.5}, SentToZones: map[string][]int{"zone a": {37}}, SentToServers: map[string][]int{"server-a3": {38}},
			Timeline: []TimelineEvent{{At: 39.5, Text: "heal()"}}, Violations: []string{"a breach"}, UnmetExpectations: []string{"an expectation"}},
		Result{},
		IdleFleetResult{Processes: 1, FormTime: 2.5, CPU: 3.5, MaxCPU: 4.5, Sent: 5.5, MaxSent: 6.5, ApplyMedian: 7.5, ApplyWorst: 8.5, Memory: 9.5},
	} {
		text, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		b = append(append(b, text...), '\n')
	}
	golden.Compare(t, "results.json", b)
}
