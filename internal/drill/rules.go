package drill

import (
	"fmt"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// The rules that every drill is held to, by what the stand-ins observe. The names are those of results.
const (
	ruleLost           = "lost"    // a request without its one final answer
	ruleInvalidAnswer  = "answers" // an answer to no request, or one that no server made
	ruleOverlap        = "two_out" // two attempts of a request in flight at once
	ruleRepeat         = "repeat"  // an attempt that the class of the request does not allow
	ruleDrain          = "drain"   // an attempt to a draining server
	ruleCeiling        = "ceiling" // attempts beyond a plan's hard ceiling, over all gateways
	ruleOverload       = "pushed"  // an overloaded server in slow start
	ruleFree           = "free"    // an attempt to a server that is free for maintenance
	ruleDeparted       = "left"    // an attempt long after the client of the request left
	ruleUnexpectedExit = "ended"   // a process that ended without the script
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
	rule      string
	text      string
	requestID string // of the request; empty: of none
	at        time.Time
}

// path leads from a gateway to a server.
type path struct{ gateway, server string }

// ruleChecker records what arrives at servers and finds violations of the rules. Its methods may be called by any goroutine; those that
// the backends call run under the backends' lock, which is taken first.
type ruleChecker struct {
	classes map[string]class
	plans   map[string]standin.Plan

	mu                sync.Mutex
	histories         map[string]*commandHistory // by request
	firstByKey        map[string]*arrival        // first attempt that may have run, by customer and idempotency key
	departedWaitingAt map[string]time.Time       // requests without an attempt when their client left
	departedAt        map[string]time.Time       // requests whose client left
	departed          DepartedClients
	drainingSince     map[string]time.Time // by server
	freeSince         map[string]time.Time // by server
	pendingPairs      []pairCheck
	ceilings          map[string]*leakyBucket // by customer
	firstViolations   []violation             // the first maxViolations
	counts            map[string]int          // violations by rule
	arrivalsByServer  map[string][]time.Time
	arrivalsByPath    map[path][]time.Time
}

// DepartedClients counts the requests whose client left before any attempt had arrived at a server.
type DepartedClients struct {
	Waiting       int `json:"waiting"`
	Forwarded     int `json:"sent_on"`
	ForwardedLate int `json:"sent_on_late"` // beyond forwardBound
	AttemptsLate  int `json:"begun_late"`   // attempts, retries as well, that were sent beyond attemptBound
}

func newRuleChecker(classes []class, plans []standin.Plan) *ruleChecker {
	r := &ruleChecker{
		classes:           map[string]class{},
		plans:             map[string]standin.Plan{},
		histories:         map[string]*commandHistory{},
		firstByKey:        map[string]*arrival{},
		departedWaitingAt: map[string]time.Time{},
		departedAt:        map[string]time.Time{},
		drainingSince:     map[string]time.Time{},
		freeSince:         map[string]time.Time{},
		ceilings:          map[string]*leakyBucket{},
		counts:            map[string]int{},
		arrivalsByServer:  map[string][]time.Time{},
		arrivalsByPath:    map[path][]time.Time{},
	}
	for _, c := range classes {
		r.classes[c.Name] = c
	}
	for _, p := range plans {
		r.plans[p.Name] = p
	}
	return r
}

// addViolation records a violation, with the history of its request. The caller holds the lock.
func (r *ruleChecker) addViolation(now time.Time, rule, requestID, format string, a ...any) {
	r.counts[rule]++
	if len(r.firstViolations) >= maxViolations {
		return
	}
	text := fmt.Sprintf(format, a...)
	if h := r.histories[requestID]; h != nil {
		text += "; " + requestID + ", " + h.String()
	}
	r.firstViolations = append(r.firstViolations, violation{rule, text, requestID, now})
}

// report records a violation that another part of the drill found.
func (r *ruleChecker) report(now time.Time, rule, format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation(now, rule, "", format, a...)
}

// clientDeparted records that the client of a request left without an answer.
func (r *ruleChecker) clientDeparted(requestID string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departedAt[requestID] = at
	if r.histories[requestID] == nil {
		r.departedWaitingAt[requestID] = at
		r.departed.Waiting++
	}
}

// departedClients returns the counts of requests whose client left.
func (r *ruleChecker) departedClients() DepartedClients {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.departed
}

// setFree records that a server is free for maintenance, or has returned.
func (r *ruleChecker) setFree(server string, at time.Time, free bool) {
	r.setSince(r.freeSince, server, at, free)
}

// setSince records the start or the end of a state of a server.
func (r *ruleChecker) setSince(since map[string]time.Time, server string, at time.Time, holds bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if holds {
		since[server] = at
	} else {
		delete(since, server)
	}
}

// commandEnded records that a server answered an attempt.
func (r *ruleChecker) commandEnded(a *arrival, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.endedAt = at
}

// setDraining records that discovery lists a server as draining, or as up.
func (r *ruleChecker) setDraining(server string, at time.Time, draining bool) {
	r.setSince(r.drainingSince, server, at, draining)
}

// violations returns how often each rule was violated, and the first violations.
func (r *ruleChecker) violations() (map[string]int, []violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for rule, n := range r.counts {
		counts[rule] = n
	}
	return counts, append([]violation(nil), r.firstViolations...)
}

// countArrivals counts the attempts that arrived at servers from one time to another, and returns the last one of each gateway.
func (r *ruleChecker) countArrivals(servers map[string]bool, from, to time.Time) (n int, last map[string]time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	last = map[string]time.Time{}
	for p, times := range r.arrivalsByPath {
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
func (r *ruleChecker) countBySecond(startedAt time.Time, seconds int) (zones, servers map[string][]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	zones, servers = map[string][]int{}, map[string][]int{}
	for name, times := range r.arrivalsByServer {
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
