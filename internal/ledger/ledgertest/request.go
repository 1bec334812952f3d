package ledgertest

import (
	"math/rand/v2"

	"dewhitch/internal/ledger"
)

// requestScript generates the postings of one request.
type requestScript struct {
	rand     *rand.Rand
	ref      uint64
	key      ledger.Key
	postings script
}

// chance returns true with a probability of one in n.
func (s *requestScript) chance(n int) bool { return s.rand.IntN(n) == 0 }

// add appends postings without units.
func (s *requestScript) add(events ...ledger.Event) {
	for _, e := range events {
		s.addUnits(e, 0)
	}
}

// addUnits appends a posting with units, or with the hash of an idempotency key.
func (s *requestScript) addUnits(e ledger.Event, units int64) {
	s.postings = append(s.postings, ledger.Posting{Event: e, Key: s.key, Ref: s.ref, Units: units})
}

// reachesBackends reports whether requests of the class are sent to backends.
func (s *requestScript) reachesBackends() bool { return s.key.Class >= 0 }

// draw generates the whole request, starting with its receipt by the front.
func (s *requestScript) draw() {
	units := int64(1+s.rand.IntN(5)) * millionths
	s.addUnits(ledger.FrontTaken, units)
	if s.key.Class == 1 { // the class with idempotency keys
		s.addUnits(ledger.FrontIdempotencyKey, int64(s.ref%7))
	}
	if s.chance(20) {
		s.addUnits(ledger.FrontNotSubmitted, units)
		return
	}
	clientDeparted := s.chance(12)
	if clientDeparted {
		s.add(ledger.FrontClientDeparted)
	}
	s.addUnits(ledger.PlanTaken, units)
	served := s.attempts()
	if clientDeparted {
		s.add(ledger.PlanClientDeparted)
		return
	}
	s.end(s.outcome(served))
}

// attempts generates up to two attempts that end before the answer. It returns true if the last one was served.
func (s *requestScript) attempts() (served bool) {
	if !s.reachesBackends() {
		return false
	}
	n := s.rand.IntN(3)
	for i := range n {
		end := ledger.AttemptError + ledger.Event(s.rand.IntN(int(ledger.AttemptNotSent-ledger.AttemptError)+1))
		served = i == n-1 && s.chance(2)
		if served {
			end = ledger.AttemptOK
		}
		s.add(ledger.PlanSent, ledger.AttemptStarted, end, ledger.PlanNotified)
	}
	return served
}

// outcome generates the planner's decision and the matching end of the request at the front.
func (s *requestScript) outcome(served bool) (decision, end ledger.Event) {
	decision = ledger.PlanRejectedQuota + ledger.Event(s.rand.IntN(5))
	end = ledger.FrontRejected
	if served || !s.reachesBackends() && s.chance(2) {
		decision = ledger.PlanServed
		end = ledger.FrontServed
	} else if s.chance(3) {
		decision = ledger.PlanFailedExhausted + ledger.Event(s.rand.IntN(3))
		end = ledger.FrontFailed
	}
	if s.chance(10) {
		end = ledger.FrontWriteFailed
	}
	return decision, end
}

// end appends the decision, and the end of the request at the front. With a probability of one in six, it also appends an
// attempt that starts before both and is cancelled after them.
func (s *requestScript) end(decision, end ledger.Event) {
	if s.chance(6) && s.reachesBackends() {
		s.add(ledger.PlanSent, ledger.AttemptStarted, decision, end, ledger.AttemptCancelled, ledger.PlanNotified)
		return
	}
	s.add(decision, end)
}
