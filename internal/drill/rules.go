package drill

import (
	"fmt"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// The rules that every drill is held to, by what the stand-ins observe. The names are those of results.
const (
	ruleLost    = "lost"    // a request without its one final answer
	ruleAnswers = "answers" // an answer to no request, or one that no server made
	ruleTwoOut  = "two_out" // two attempts of a request in flight at once
	ruleRepeat  = "repeat"  // an attempt that the class of the request does not allow
	ruleDrain   = "drain"   // an attempt to a draining server
	ruleCeiling = "ceiling" // attempts beyond a plan's hard ceiling, over all gateways
	rulePushed  = "pushed"  // an overloaded server in slow start
	ruleFree    = "free"    // an attempt to a server that is free for maintenance
	ruleLeft    = "left"    // an attempt long after the client of the request left
	ruleEnded   = "ended"   // a process that ended without the script
)

// Bounds of the rules.
const (
	timingTolerance  = 50 * time.Millisecond
	pairDelay        = 4 * timingTolerance    // until the ends of two attempts are known
	ceilingTolerance = 150 * time.Millisecond // of the ceiling's rate
	forwardBound     = 300 * time.Millisecond // after a client left, for the arrival of the first attempt
	attemptBound     = 100 * time.Millisecond // after a client left, for the first byte of any attempt
	maxViolations    = 50                     // with a text
)

// violation is one violation of a rule.
type violation struct {
	rule string
	text string
	id   string // of the request; empty: of none
	at   time.Time
}

// path leads from a gateway to a server.
type path struct{ gateway, server string }

// ruleChecker records what arrives at servers and finds violations of the rules. Its methods may be called by any goroutine; those that
// the backends call run under the backends' lock, which is taken first.
type ruleChecker struct {
	classes map[string]class
	plans   map[string]standin.Plan

	mu               sync.Mutex
	histories        map[string]*commandHistory // by request
	firstByKey       map[string]*arrival        // first attempt that may have run, by customer and idempotency key
	leftWaitingAt    map[string]time.Time       // requests without an attempt when their client left
	leftAt           map[string]time.Time       // requests whose client left
	leftCounts       ClientsLeft
	drainingSince    map[string]time.Time // by server
	freeSince        map[string]time.Time // by server
	checks           []pairCheck
	ceilings         map[string]*leakyBucket // by customer
	breaches         []violation             // the first maxViolations
	counts           map[string]int          // violations by rule
	arrivalsByServer map[string][]time.Time
	arrivalsByPath   map[path][]time.Time
}

// ClientsLeft counts the requests whose client left before any attempt had arrived at a server.
type ClientsLeft struct {
	Waiting       int `json:"waiting"`
	Forwarded     int `json:"sent_on"`
	ForwardedLate int `json:"sent_on_late"` // beyond forwardBound
	AttemptsLate  int `json:"begun_late"`   // attempts, retries as well, that were sent beyond attemptBound
}

func newRuleChecker(classes []class, plans []standin.Plan) *ruleChecker {
	j := &ruleChecker{
		classes:          map[string]class{},
		plans:            map[string]standin.Plan{},
		histories:        map[string]*commandHistory{},
		firstByKey:       map[string]*arrival{},
		leftWaitingAt:    map[string]time.Time{},
		leftAt:           map[string]time.Time{},
		drainingSince:    map[string]time.Time{},
		freeSince:        map[string]time.Time{},
		ceilings:         map[string]*leakyBucket{},
		counts:           map[string]int{},
		arrivalsByServer: map[string][]time.Time{},
		arrivalsByPath:   map[path][]time.Time{},
	}
	for _, c := range classes {
		j.classes[c.Name] = c
	}
	for _, p := range plans {
		j.plans[p.Name] = p
	}
	return j
}

// addViolation records a violation, with the history of its request. The caller holds the lock.
func (j *ruleChecker) addViolation(now time.Time, rule, id, format string, a ...any) {
	j.counts[rule]++
	if len(j.breaches) >= maxViolations {
		return
	}
	text := fmt.Sprintf(format, a...)
	if h := j.histories[id]; h != nil {
		text += "; " + id + ", " + h.String()
	}
	j.breaches = append(j.breaches, violation{rule, text, id, now})
}

// report records a violation that another part of the drill found.
func (j *ruleChecker) report(now time.Time, rule, format string, a ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.addViolation(now, rule, "", format, a...)
}

// clientLeft records that the client of a request left without an answer.
func (j *ruleChecker) clientLeft(id string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.leftAt[id] = at
	if j.histories[id] == nil {
		j.leftWaitingAt[id] = at
		j.leftCounts.Waiting++
	}
}

// leftResult returns the counts of requests whose client left.
func (j *ruleChecker) leftResult() ClientsLeft {
	j.mu.Lock()
	defer j.mu.Unlock()
	return j.leftCounts
}

// setFree records that a server is free for maintenance, or has returned.
func (j *ruleChecker) setFree(server string, at time.Time, on bool) {
	j.setSince(j.freeSince, server, at, on)
}

// setSince records the start or the end of a state of a server.
func (j *ruleChecker) setSince(since map[string]time.Time, server string, at time.Time, on bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if on {
		since[server] = at
	} else {
		delete(since, server)
	}
}

// commandEnded records that a server answered an attempt.
func (j *ruleChecker) commandEnded(a *arrival, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.endedAt = at
}

// setDraining records that discovery lists a server as draining, or as up.
func (j *ruleChecker) setDraining(server string, at time.Time, on bool) {
	j.setSince(j.drainingSince, server, at, on)
}

// violations returns how often each rule was violated, and the first violations.
func (j *ruleChecker) violations() (map[string]int, []violation) {
	j.mu.Lock()
	defer j.mu.Unlock()
	counts := map[string]int{}
	for rule, n := range j.counts {
		counts[rule] = n
	}
	return counts, append([]violation(nil), j.breaches...)
}

// countArrivals counts the attempts that arrived at servers from one time to another, and returns the last one of each gateway.
func (j *ruleChecker) countArrivals(servers map[string]bool, from, to time.Time) (n int, last map[string]time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	last = map[string]time.Time{}
	for p, times := range j.arrivalsByPath {
		if !servers[p.server] {
			continue
		}
		for _, at := range times {
			if at.Before(from) || !at.Before(to) {
				continue
			}
			n++
			if at.After(last[p.gateway]) {
				last[p.gateway] = at
			}
		}
	}
	return n, last
}

// countBySecond counts the attempts that arrived at zones and servers in each second of a time.
func (j *ruleChecker) countBySecond(startedAt time.Time, seconds int) (zones, servers map[string][]int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	zones, servers = map[string][]int{}, map[string][]int{}
	for name, times := range j.arrivalsByServer {
		zone := "zone " + (&server{name: name}).zone()
		if zones[zone] == nil {
			zones[zone] = make([]int, seconds)
		}
		servers[name] = make([]int, seconds)
		for _, at := range times {
			if s := int(at.Sub(startedAt).Seconds()); s >= 0 && s < seconds {
				zones[zone][s]++
				servers[name][s]++
			}
		}
	}
	return zones, servers
}
