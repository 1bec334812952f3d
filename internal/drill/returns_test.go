package drill

import (
	"math"
	"testing"
	"time"
)

// A server that came back cold and was sent too much, or never its share, is seen by the book alone.
func TestReturned(t *testing.T) {
	began := time.Now()
	play := func(rate func(age float64) float64) Return {
		w := &world{Scenario: &Scenario{Length: 40 * time.Second}, began: began, judge: newJudge(nil, nil)}
		for _, name := range []string{"server-a1", "server-b1"} {
			w.servers = append(w.servers, &server{w: w, name: name})
		}
		w.restarts = []restart{{w.servers[1], began.Add(5 * time.Second)}}
		for at, due := 0.0, 0.0; at < 40; at += 0.001 {
			now := began.Add(time.Duration(at * 1e9))
			if math.Mod(at, 1.0/30) < 0.001 {
				w.judge.sends["server-a1"] = append(w.judge.sends["server-a1"], now)
			}
			if age := at - 5; age > 0 {
				if due += rate(age) * 0.001; due >= 1 {
					due--
					w.judge.sends["server-b1"] = append(w.judge.sends["server-b1"], now)
				}
			}
		}
		all := w.returned()
		if len(all) != 1 {
			t.Fatalf("%+v", all)
		}
		return all[0]
	}
	if r := play(func(age float64) float64 { return 30 * min(1, 0.22+0.06*age) }); r.Worst > 0.7 || r.Full < 8 || r.Full > 13 {
		t.Errorf("fed as it warms: %+v", r)
	}
	if r := play(func(age float64) float64 { return 60 }); r.Worst < 3 || r.Slack < 2 || r.Full > 2 {
		t.Errorf("fed at once: %+v", r)
	}
	if r := play(func(age float64) float64 { return 3 }); r.Full != 0 {
		t.Errorf("never its share: %+v", r)
	}
}
