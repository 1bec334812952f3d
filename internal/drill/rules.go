package drill

import (
	"fmt"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// Rules that must hold in every drill. They are checked by observing stand-ins, clients and processes. The names are keys of
// results.
const (
	ruleLost           = "lost"    // a request has no final answer
	ruleInvalidAnswer  = "answers" // a gateway sends an answer without a request, or one that no server sent
	ruleOverlap        = "two_out" // two attempts of a request are in flight at once
	ruleRepeat         = "repeat"  // a request is sent again although its class does not allow a repeat
	ruleDrain          = "drain"   // an attempt arrives at a server that has been draining for longer than the grace period
	ruleCeiling        = "ceiling" // a customer's requests exceed the plan's hard ceiling, over all gateways
	ruleOverload       = "pushed"  // a server in slow start fails under overload
	ruleFree           = "free"    // an attempt arrives at a server that is free for maintenance
	ruleDeparted       = "left"    // an attempt is sent long after the client closed the connection
	ruleUnexpectedExit = "ended"   // a process exits, fails to restart or logs a panic, and the scenario did not cause it
)

// Bounds of the rules, and tolerances of their checks.
const (
	timingTolerance  = 50 * time.Millisecond
	pairDelay        = 4 * timingTolerance    // time after which the ends of two attempts are known
	ceilingTolerance = 150 * time.Millisecond // time for which requests at the ceiling's rate are tolerated beyond the bound
	forwardBound     = 300 * time.Millisecond // time after a client's departure in which a first attempt may still arrive
	attemptBound     = 100 * time.Millisecond // time after a client's departure in which an attempt may still be sent
	maxViolations    = 50                     // number of violations that are kept with their text
)

// violation is one observed violation of a rule.
type violation struct {
	rule      string // name of the rule, a key of results
	text      string // description of what was observed
	requestID string // empty if the violation does not concern a single request
	at        time.Time
}

// path identifies the path from a gateway to a server.
type path struct{ gateway, server string }

// ruleChecker records what arrives at servers and finds violations of the rules. Its methods may be called by any goroutine. Some
// are called with the backends' lock held: that lock is always taken before the checker's.
type ruleChecker struct {
	classes map[string]class
	plans   map[string]standin.Plan

	mu                sync.Mutex
	histories         map[string]*commandHistory // attempts and class of each request, by request ID
	firstByKey        map[string]*arrival        // first attempt that may have run, by customer and idempotency key
	departedWaitingAt map[string]time.Time       // time of the client's departure, by request ID, if no attempt had arrived by then
	departedAt        map[string]time.Time       // time of the client's departure, by request ID
	departed          DepartedClients            // counts of departures
	drainingSince     map[string]time.Time       // time at which discovery listed a server as draining, by server
	freeSince         map[string]time.Time       // time at which a server became free for maintenance, by server
	pendingPairs      []pairCheck                // checks whose attempts may still be in flight
	ceilings          map[string]*leakyBucket    // ceiling of each customer
	firstViolations   []violation                // the first maxViolations of all violations
	counts            map[string]int             // number of violations by rule
	arrivalsByServer  map[string][]time.Time     // times of arrivals by server
	arrivalsByPath    map[path][]time.Time       // times of arrivals by gateway and server
}

// DepartedClients counts the requests whose client closed the connection before an answer.
type DepartedClients struct {
	Waiting       int `json:"waiting"`      // requests without an attempt at a server when the client departed
	Forwarded     int `json:"sent_on"`      // requests of Waiting that later arrived at a server
	ForwardedLate int `json:"sent_on_late"` // requests of Forwarded that were sent after the departure and arrived beyond forwardBound
	AttemptsLate  int `json:"begun_late"`   // attempts, including retries, whose first byte was sent beyond attemptBound
}

// newRuleChecker returns a checker of requests of these classes and plans. It has not observed anything yet.
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

// addViolation records a violation with the history of its request, if it concerns one. The caller holds the lock.
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

// report records a violation that another part of the drill has found.
func (r *ruleChecker) report(now time.Time, rule, format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolation(now, rule, "", format, a...)
}

// clientDeparted records that the client of a request closed the connection without an answer.
func (r *ruleChecker) clientDeparted(requestID string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.departedAt[requestID] = at
	if r.histories[requestID] == nil {
		r.departedWaitingAt[requestID] = at
		r.departed.Waiting++
	}
}

// departedClients returns the counts of requests whose client closed the connection.
func (r *ruleChecker) departedClients() DepartedClients {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.departed
}

// setFree records that a server is free for maintenance, or that it has returned.
func (r *ruleChecker) setFree(server string, at time.Time, free bool) {
	r.setSince(r.freeSince, server, at, free)
}

// setSince records in since that a state of a server begins, or removes the server when the state ends.
func (r *ruleChecker) setSince(since map[string]time.Time, server string, at time.Time, holds bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if holds {
		since[server] = at
	} else {
		delete(since, server)
	}
}

// commandEnded records the time at which a server answered an attempt.
func (r *ruleChecker) commandEnded(a *arrival, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.endedAt = at
}

// setDraining records that discovery lists a server as draining, or as up again.
func (r *ruleChecker) setDraining(server string, at time.Time, draining bool) {
	r.setSince(r.drainingSince, server, at, draining)
}

// violations returns the number of violations by rule, and the first maxViolations of them with their texts.
func (r *ruleChecker) violations() (map[string]int, []violation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := map[string]int{}
	for rule, n := range r.counts {
		counts[rule] = n
	}
	return counts, append([]violation(nil), r.firstViolations...)
}

// countArrivals counts the attempts that arrived at servers in [from, to), and returns the time of the last one from each
// gateway.
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

// countBySecond counts the attempts that arrived at each zone and each server in each second since startedAt.
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
