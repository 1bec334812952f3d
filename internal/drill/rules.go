package drill

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// The rules that every drill is held to, by the stand-ins' books.
const (
	ruleLost    = "lost"    // a req without its one final answer
	ruleAnswers = "answers" // an answer to no req, or one that no server made
	ruleTwoOut  = "two_out" // two fetches out for one req
	ruleRepeat  = "repeat"  // repeated beyond its class
	ruleDrain   = "drain"   // sent to a server that drains
	ruleCeiling = "ceiling" // beyond a plan's hard ceiling, over all gateways
	rulePushed  = "pushed"  // a server pushed over
	ruleFree    = "free"    // sent to a machine between its being free and its being given back
	ruleLeft    = "left"    // sent on long after its client had gone while it waited
	ruleEnded   = "ended"   // a process ended that nobody ended
	slack       = 50 * time.Millisecond
	ceilingLate = 150 * time.Millisecond // the ceiling's rate gives as much more
	leftLate    = 300 * time.Millisecond // after its client has gone, nothing that waited comes to a server
	beganLate   = 100 * time.Millisecond // after its client has gone, no attempt begins: the operators' term
)

// class of reqs, with what a rule needs of it.
type class struct {
	standin.Class
	query bool
}

// arrival is one command at a server, as its book has it.
type arrival struct {
	at, ended time.Time // ended by an answer; zero: not yet
	sent      time.Time // when its first byte left the gateway; zero: not known
	far       string    // the connection, by the address that the server sees
	link      interface{ Left(far string) time.Time }
	gateway   string
	server    string
	ran       bool // it may have run
	key       string
}

// sentBy tells that its first byte had left the gateway by then, so that the wire alone was what it waited for. Traces of six drills
// show such: begun 4 to 38 ms before the client left, and delayed by the drill's wire for 0.4 s.
func (a *arrival) sentBy(at time.Time) bool { return !a.sent.IsZero() && !a.sent.After(at) }

// left is when the fetch was over for its gateway; zero: it still is out.
func (a *arrival) left() time.Time {
	gone := a.link.Left(a.far)
	if !a.ended.IsZero() && (gone.IsZero() || a.ended.Before(gone)) {
		return a.ended
	}
	return gone
}

// history is all that came to servers of one req.
type history struct {
	arrivals []*arrival
	class    string
}

// breach is one rule broken once.
type breach struct {
	rule, text string
	id         string // of the request; empty: it is about none
	at         time.Time
}

// judge keeps the servers' books and finds what breaks a rule.
type judge struct {
	mu       sync.Mutex
	classes  map[string]class
	reqs     map[string]*history
	keys     map[string]*arrival  // the first that may have run under a key
	gone     map[string]time.Time // reqs that waited for their first fetch when their clients left
	departed map[string]time.Time // reqs whose clients left, whatever was out for them
	left     Left
	drains   map[string]time.Time
	free     map[string]time.Time // machines that somebody works on, since they were told that they may
	checks   []check
	ceilings map[string]*bucket // by customer
	plans    map[string]standin.Plan
	breaches []breach
	counts   map[string]int
	sends    map[string][]time.Time // by server, all that came
	by       map[[2]string][]time.Time
}

// check is a judgement on two fetches that waits until both of their ends can be known.
type check struct {
	due           time.Time
	id            string
	first, second *arrival
}

// bucket is what a ceiling leaves.
type bucket struct {
	level float64
	at    time.Time
}

// Left is what became of reqs whose clients left before any fetch of theirs had come to a server.
type Left struct {
	Waiting int `json:"waiting"`
	Sent    int `json:"sent_on"`
	Late    int `json:"sent_on_late"` // 0.3 s after, and more
	Begun   int `json:"begun_late"`   // attempts, further ones too, whose first byte left the gateway over 0.1 s after
}

const mostBreaches = 50

func newJudge(classes []class, plans []standin.Plan) *judge {
	j := &judge{classes: map[string]class{}, reqs: map[string]*history{}, keys: map[string]*arrival{},
		gone: map[string]time.Time{}, departed: map[string]time.Time{}, drains: map[string]time.Time{}, free: map[string]time.Time{},
		ceilings: map[string]*bucket{}, plans: map[string]standin.Plan{}, counts: map[string]int{},
		sends: map[string][]time.Time{}, by: map[[2]string][]time.Time{}}
	for _, c := range classes {
		j.classes[c.Name] = c
	}
	for _, p := range plans {
		j.plans[p.Name] = p
	}
	return j
}

// fault books a breach; the history of the req goes with it.
func (j *judge) fault(now time.Time, rule, id, format string, a ...any) {
	j.counts[rule]++
	if len(j.breaches) >= mostBreaches {
		return
	}
	text := fmt.Sprintf(format, a...)
	if h := j.reqs[id]; h != nil {
		var b strings.Builder
		for _, a := range h.arrivals {
			fmt.Fprintf(&b, "\n    %s %s -> %s, written at %s", clock(a.at), a.gateway, a.server, clock(a.sent))
			if l := a.left(); !l.IsZero() {
				fmt.Fprintf(&b, ", over after %v", l.Sub(a.at).Round(time.Millisecond))
			}
		}
		text += "; " + id + ", " + h.class + b.String()
	}
	j.breaches = append(j.breaches, breach{rule, text, id, now})
}

// clock is a time of day, to the millisecond.
func clock(at time.Time) string { return at.Format("15:04:05.000") }

// Fault books a breach that somebody else found.
func (j *judge) Fault(now time.Time, rule, format string, a ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.fault(now, rule, "", format, a...)
}

// arrived books a command at a server and judges what can be judged at once. ran: it was not turned away.
func (j *judge) arrived(c *standin.Command, a *arrival) {
	j.mu.Lock()
	defer j.mu.Unlock()
	h := j.reqs[c.ID]
	if h == nil {
		h = &history{class: c.Class}
		j.reqs[c.ID] = h
		j.ceiling(c, a.at)
		if at, gone := j.gone[c.ID]; gone {
			j.left.Sent++
			if late := a.at.Sub(at); late > leftLate+slack && !a.sentBy(at) {
				j.left.Late++
				j.fault(a.at, ruleLeft, c.ID, "sent on %v after its client had left, at %s", late, clock(at))
			}
		}
	}
	if at, gone := j.departed[c.ID]; gone && a.sent.Sub(at) > beganLate+slack {
		j.left.Begun++
		j.fault(a.at, ruleLeft, c.ID, "its first byte left the gateway %v after its client had left, at %s", a.sent.Sub(at), clock(at))
	}
	j.sends[a.server] = append(j.sends[a.server], a.at)
	way := [2]string{a.gateway, a.server}
	j.by[way] = append(j.by[way], a.at)
	k, known := j.classes[c.Class]
	for _, before := range h.arrivals {
		j.checks = append(j.checks, check{a.at.Add(4 * slack), c.ID, before, a})
		if before.ran && known && k.Effect == "unsafe" {
			j.fault(a.at, ruleRepeat, c.ID, "sent again, though it may have run")
		}
	}
	h.arrivals = append(h.arrivals, a)
	if known && k.Effect == "keyed" && a.ran {
		key := c.Customer + " " + c.Key
		if first := j.keys[key]; first == nil {
			j.keys[key] = a
		} else if late := a.at.Sub(first.at); late > k.DedupWindow+slack {
			j.fault(a.at, ruleRepeat, c.ID, "its key came again after %v, and servers drop a repeat for %v", late, k.DedupWindow)
		}
	}
	if told, free := j.free[a.server]; free {
		j.fault(a.at, ruleFree, c.ID, "%s was sent it %v after it was free", a.server, a.at.Sub(told))
	}
	if told, drains := j.drains[a.server]; drains && a.at.Sub(told) > standin.DrainGrace+slack {
		j.fault(a.at, ruleDrain, c.ID, "%s was sent it %v after it was told to drain", a.server, a.at.Sub(told))
	}
}

// leaves books that the client of a req has left without an answer.
func (j *judge) leaves(id string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.departed[id] = at
	if j.reqs[id] == nil {
		j.gone[id] = at
		j.left.Waiting++
	}
}

// leavers is what became of those who left while they waited.
func (j *judge) leavers() Left {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.left
}

// worked books that somebody was told that a server is free, or gives it back.
func (j *judge) worked(server string, at time.Time, on bool) { j.mark(j.free, server, at, on) }

// mark keeps since when something holds of a server.
func (j *judge) mark(since map[string]time.Time, server string, at time.Time, on bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if on {
		since[server] = at
	} else {
		delete(since, server)
	}
}

// ended books that a server answered a fetch.
func (j *judge) ended(a *arrival, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.ended = at
}

// ceiling books a try's first send against its plan's hard ceiling.
func (j *judge) ceiling(c *standin.Command, at time.Time) {
	p, ok := j.plans[c.Plan]
	if !ok || p.CapRate == 0 {
		return
	}
	b := j.ceilings[c.Customer]
	if b == nil {
		b = &bucket{at: at}
		j.ceilings[c.Customer] = b
	}
	if at.After(b.at) {
		b.level = max(0, b.level-at.Sub(b.at).Seconds()*p.CapRate)
		b.at = at
	}
	b.level++
	if most := p.HardBurst + p.Tolerance + p.CapRate*ceilingLate.Seconds(); b.level > most {
		j.fault(at, ruleCeiling, c.ID, "%s has %.0f beyond its ceiling's rate, %.0f at most", c.Customer, b.level, most)
		b.level = 0 // one breach is said once
	}
}

// drain books that all gateways were told that a server drains, or that it is back.
func (j *judge) drain(server string, at time.Time, on bool) { j.mark(j.drains, server, at, on) }

// settle judges the pairs of fetches that are due, all of them at the end.
func (j *judge) settle(now time.Time, all bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	kept := j.checks[:0]
	for _, c := range j.checks {
		if !all && now.Before(c.due) {
			kept = append(kept, c)
			continue
		}
		if l := c.first.left(); l.IsZero() || l.Sub(c.second.at) > slack {
			j.fault(now, ruleTwoOut, c.id, "two fetches out at once, by %s to %s and by %s to %s", c.first.gateway, c.first.server,
				c.second.gateway, c.second.server)
		}
	}
	j.checks = kept
}

// broken is how often each rule was broken, by name, and the first breaches.
func (j *judge) broken() (map[string]int, []breach) {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := map[string]int{}
	for rule, n := range j.counts {
		counts[rule] = n
	}
	return counts, append([]breach(nil), j.breaches...)
}

// sentTo counts what came to servers between two times, and tells for each gateway when its last one came.
func (j *judge) sentTo(servers map[string]bool, from, to time.Time) (n int, last map[string]time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	last = map[string]time.Time{}
	for way, times := range j.by {
		if !servers[way[1]] {
			continue
		}
		for _, at := range times {
			if at.Before(from) || !at.Before(to) {
				continue
			}
			n++
			if at.After(last[way[0]]) {
				last[way[0]] = at
			}
		}
	}
	return n, last
}

// sentBySecond counts what came to zones and servers in each of so many seconds.
func (j *judge) sentBySecond(began time.Time, seconds int) (zones, servers map[string][]int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	zones, servers = map[string][]int{}, map[string][]int{}
	for name, times := range j.sends {
		zone := "zone " + (&server{name: name}).zone()
		if zones[zone] == nil {
			zones[zone] = make([]int, seconds)
		}
		servers[name] = make([]int, seconds)
		for _, at := range times {
			if s := int(at.Sub(began).Seconds()); s >= 0 && s < seconds {
				zones[zone][s]++
				servers[name][s]++
			}
		}
	}
	return zones, servers
}
