package drill

import (
	"math"
	"testing"
	"time"
)

// TestMeasureSlowStarts guards against a wrong measurement of slow starts, on which the expectations fed and full of scenarios
// depend. From the times of arrivals alone, it must distinguish a server that is loaded as its capacity grows from one that gets
// too much at once and from one that never gets its full rate.
func TestMeasureSlowStarts(t *testing.T) {
	startedAt := time.Now()
	measure := func(rate func(age float64) float64) SlowStartResult {
		cluster := &cluster{Scenario: &Scenario{Length: 40 * time.Second}, startedAt: startedAt, checker: newRuleChecker(nil, nil)}
		for _, name := range []string{"server-a1", "server-b1"} {
			cluster.servers = append(cluster.servers, &server{cluster: cluster, name: name})
		}
		cluster.restarts = []serverRestart{{cluster.servers[1], startedAt.Add(5 * time.Second)}}
		for at, due := 0.0, 0.0; at < 40; at += 0.001 {
			now := startedAt.Add(time.Duration(at * 1e9))
			if math.Mod(at, 1.0/30) < 0.001 {
				cluster.checker.arrivalsByServer["server-a1"] = append(cluster.checker.arrivalsByServer["server-a1"], now)
			}
			if age := at - 5; age > 0 {
				if due += rate(age) * 0.001; due >= 1 {
					due--
					cluster.checker.arrivalsByServer["server-b1"] = append(cluster.checker.arrivalsByServer["server-b1"], now)
				}
			}
		}
		all := cluster.measureSlowStarts()
		if len(all) != 1 {
			t.Fatalf("got the slow starts %+v, expected one", all)
		}
		return all[0]
	}
	if r := measure(func(age float64) float64 { return 30 * min(1, 0.22+0.06*age) }); r.MaxLoadRatio > 0.7 || r.FullRateAfter < 8 || r.FullRateAfter > 13 {
		t.Errorf("load that grows with the capacity: got %+v, expected a ratio up to 0.7 and full rate after 8 to 13 s", r)
	}
	if r := measure(func(age float64) float64 { return 60 }); r.MaxLoadRatio < 3 || r.MaxExcessRatio < 2 || r.FullRateAfter > 2 {
		t.Errorf("full load at once: got %+v, expected ratios of at least 3 and 2 and full rate within 2 s", r)
	}
	if r := measure(func(age float64) float64 { return 3 }); r.FullRateAfter != 0 {
		t.Errorf("a tenth of the full rate: got %+v, expected never to be full", r)
	}
}
