// Package ledgertest makes postings as the parts of a gateway would post them, in every order in which they could: for
// tests of the ledger and of what is built on it. The same seed gives the same postings.
package ledgertest

import (
	"math/rand/v2"

	"dewhitch/internal/ledger"
)

// script is the legal postings on one req or call, in any order that the owners could post in. After each prefix the
// books must add up.
type script []ledger.Posting

func reqScript(r *rand.Rand, ref uint64, k ledger.Key) script {
	units := int64(1+r.IntN(5)) * 1e6
	p := func(e ledger.Event, u int64) ledger.Posting {
		return ledger.Posting{Event: e, Key: k, Ref: ref, Units: u}
	}
	s := script{p(ledger.FrontTaken, units)}
	if k.Class == 1 {
		s = append(s, p(ledger.FrontIdempotencyKey, int64(ref%7)))
	}
	if r.IntN(20) == 0 {
		return append(s, p(ledger.FrontNotSubmitted, units))
	}
	goneFirst := r.IntN(12) == 0
	if goneFirst {
		s = append(s, p(ledger.FrontClientLeft, 0))
	}
	s = append(s, p(ledger.PlanTaken, units))
	fetches, ok := 0, false
	if k.Class >= 0 {
		fetches = r.IntN(3)
	}
	for i := range fetches {
		end := ledger.AttemptError + ledger.Event(r.IntN(int(ledger.AttemptNotSent-ledger.AttemptError)+1))
		if ok = i == fetches-1 && r.IntN(2) == 0; ok {
			end = ledger.AttemptOK
		}
		s = append(s, p(ledger.PlanSent, 0), p(ledger.AttemptStarted, 0), p(end, 0), p(ledger.PlanHeard, 0))
	}
	if goneFirst {
		return append(s, p(ledger.PlanClientLeft, 0))
	}
	decision, end := ledger.PlanRejectedQuota+ledger.Event(r.IntN(5)), ledger.FrontRejected
	if ok || k.Class < 0 && r.IntN(2) == 0 {
		decision, end = ledger.PlanServed, ledger.FrontServed
	} else if r.IntN(3) == 0 {
		decision, end = ledger.PlanFailedExhausted+ledger.Event(r.IntN(3)), ledger.FrontFailed
	}
	if r.IntN(10) == 0 {
		end = ledger.FrontWriteFailed
	}
	if s = append(s, p(decision, 0)); r.IntN(6) == 0 && k.Class >= 0 { // a fetch that ends after the answer
		late := []ledger.Posting{p(ledger.PlanSent, 0), p(ledger.AttemptStarted, 0), p(ledger.AttemptCancelled, 0), p(ledger.PlanHeard, 0)}
		s = append(s[:len(s)-1], late[0], late[1], s[len(s)-1], p(end, 0), late[2], late[3])
		return s
	}
	return append(s, p(end, 0))
}

func callScript(r *rand.Rand, ref uint64, k ledger.Key) script {
	units := int64(1+r.IntN(9)) * 1e6
	p := func(e ledger.Event, ref uint64) ledger.Posting {
		return ledger.Posting{Event: e, Key: k, Ref: ref, Units: units}
	}
	s := script{p(ledger.UnitsDrawn, 0), p(ledger.UnitsPushed, ref), p(ledger.CallBegan, ref)}
	switch r.IntN(3) {
	case 0:
		return append(s, p(ledger.CallAdded, ref))
	case 1:
		return append(s, p(ledger.CallUnknown, ref))
	}
	return append(s, p(ledger.CallRejected, ref), p(ledger.UnitsReturned, ref))
}

// Storm interleaves many scripts at random and calls each after every posting.
func Storm(seed uint64, reqs, hauliers int, each func(ledger.Posting)) {
	r := rand.New(rand.NewPCG(seed, 5))
	var open []script
	for i := 0; i < reqs || len(open) > 0; {
		if i < reqs && (len(open) < 20 && r.IntN(3) == 0 || len(open) == 0) {
			i++
			h := uint64(1 + r.IntN(hauliers))
			if r.IntN(4) == 0 {
				open = append(open, callScript(r, uint64(i), ledger.Account(h)))
			} else {
				open = append(open, reqScript(r, uint64(i), ledger.Key{Customer: h, Plan: int16(r.IntN(3)), Class: int16(r.IntN(4)) - 2}))
			}
			continue
		}
		at := r.IntN(len(open))
		each(open[at][0])
		if open[at] = open[at][1:]; len(open[at]) == 0 {
			open = append(open[:at], open[at+1:]...)
		}
	}
}
