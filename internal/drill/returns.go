package drill

import (
	"math"
	"sort"
	"time"

	"dewhitch/internal/standin"
)

// Return is how a server that came back cold was fed by all gateways together.
type Return struct {
	Server string  `json:"server"`
	At     float64 `json:"at"`    // seconds since the load began
	Worst  float64 `json:"worst"` // what it was sent in a second against what it could do in that second: the most while it was cold
	Slack  float64 `json:"slack"` // the same against that and three roots of it: what chance alone brings
	Full   float64 `json:"full"`  // seconds until it got four fifths of what the others got; 0: never
}

// restart is a server's coming back.
type restart struct {
	s  *server
	at time.Time
}

const (
	fullShare = 0.8
	fullSpan  = 2 * time.Second
	stepTime  = 100 * time.Millisecond
)

// returned judges how each server that came back was fed.
func (w *world) returned() (all []Return) {
	w.mu.Lock()
	restarts := append([]restart(nil), w.restarts...)
	w.mu.Unlock()
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	over := w.began.Add(w.Length)
	for i, b := range restarts {
		end := over // of this life
		for _, later := range restarts[i+1:] {
			if later.s == b.s {
				end = later.at
				break
			}
		}
		r := Return{Server: b.s.name, At: b.at.Sub(w.began).Seconds()}
		m := machine{cores: coresEach, mean: meanWork.Seconds(), slow: 1, started: b.at, cold: true}
		for t := b.at; t.Add(time.Second).Before(end); t = t.Add(stepTime) {
			if t.Sub(b.at) < standin.ColdSpan {
				n, could := float64(count(w.judge.sends[b.s.name], t, t.Add(time.Second))), m.capacity(t.Add(time.Second/2))
				r.Worst = max(r.Worst, n/could)
				r.Slack = max(r.Slack, n/(could+3*math.Sqrt(could)))
			}
			if r.Full == 0 && t.Add(fullSpan).Before(end) {
				others, total := 0, 0
				for _, s := range w.servers {
					if n := count(w.judge.sends[s.name], t, t.Add(fullSpan)); s != b.s && n > 0 {
						others, total = others+1, total+n
					}
				}
				own := float64(count(w.judge.sends[b.s.name], t, t.Add(fullSpan)))
				if others > 0 && own >= fullShare*float64(total)/float64(others) {
					r.Full = t.Add(fullSpan / 2).Sub(b.at).Seconds()
				}
			}
		}
		all = append(all, r)
	}
	return all
}

// count tells how many of times in order are within a span.
func count(times []time.Time, from, to time.Time) int {
	at := func(t time.Time) int { return sort.Search(len(times), func(i int) bool { return !times[i].Before(t) }) }
	return at(to) - at(from)
}
