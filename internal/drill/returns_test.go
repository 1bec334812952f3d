package drill

import (
	"math"
	"testing"
	"time"
)

// A restarted server that was sent too much, or never its full rate, is found by the arrivals alone.
func TestReturned(t *testing.T) {
	began := time.Now()
	play := func(rate func(age float64) float64) ServerReturn {
		cl := &cluster{Scenario: &Scenario{Length: 40 * time.Second}, startedAt: began, checker: newRuleChecker(nil, nil)}
		for _, name := range []string{"server-a1", "server-b1"} {
			cl.servers = append(cl.servers, &server{cluster: cl, name: name})
		}
		cl.restarts = []serverRestart{{cl.servers[1], began.Add(5 * time.Second)}}
		for at, due := 0.0, 0.0; at < 40; at += 0.001 {
			now := began.Add(time.Duration(at * 1e9))
			if math.Mod(at, 1.0/30) < 0.001 {
				cl.checker.arrivalsByServer["server-a1"] = append(cl.checker.arrivalsByServer["server-a1"], now)
			}
			if age := at - 5; age > 0 {
				if due += rate(age) * 0.001; due >= 1 {
					due--
					cl.checker.arrivalsByServer["server-b1"] = append(cl.checker.arrivalsByServer["server-b1"], now)
				}
			}
		}
		all := cl.measureReturns()
		if len(all) != 1 {
			t.Fatalf("%+v", all)
		}
		return all[0]
	}
	if r := play(func(age float64) float64 { return 30 * min(1, 0.22+0.06*age) }); r.Worst > 0.7 || r.Full < 8 || r.Full > 13 {
		t.Errorf("sent as it warms up: %+v", r)
	}
	if r := play(func(age float64) float64 { return 60 }); r.Worst < 3 || r.Slack < 2 || r.Full > 2 {
		t.Errorf("sent at once: %+v", r)
	}
	if r := play(func(age float64) float64 { return 3 }); r.Full != 0 {
		t.Errorf("never its full rate: %+v", r)
	}
}
