// Package ledgertest generates random sequences of postings that the parts of a gateway could post, for tests of the ledger and of what
// is built on it. The same seed generates the same sequence.
package ledgertest

import (
	"math/rand/v2"

	"dewhitch/internal/ledger"
)

// maxOpenScripts limits how many requests and counter calls RandomPostings has open at the same time.
const maxOpenScripts = 20

// millionths is one unit in the measure of postings.
const millionths = 1e6

// RandomPostings generates the postings of a number of requests and counter calls of a number of customers, interleaves them at
// random, and calls post with each.
func RandomPostings(seed uint64, requests, customers int, post func(ledger.Posting)) {
	r := rand.New(rand.NewPCG(seed, 5))
	var open []script
	for started := 0; started < requests || len(open) > 0; {
		if started < requests && startsNext(r, len(open)) {
			started++
			open = append(open, newScript(r, uint64(started), customers))
			continue
		}
		i := r.IntN(len(open))
		post(open[i][0])
		open[i] = open[i][1:]
		if len(open[i]) == 0 {
			open = append(open[:i], open[i+1:]...)
		}
	}
}

// startsNext decides at random whether a new script starts before an open one continues.
func startsNext(r *rand.Rand, open int) bool {
	return open < maxOpenScripts && r.IntN(3) == 0 || open == 0
}

// script holds the postings of one request or counter call, in an order in which their owners may post them. The ledger must
// balance after each of them.
type script []ledger.Posting

// newScript generates a counter call with a probability of one in four, and otherwise a request.
func newScript(r *rand.Rand, ref uint64, customers int) script {
	customer := uint64(1 + r.IntN(customers))
	if r.IntN(4) == 0 {
		return callScript(r, ref, ledger.Account(customer))
	}
	key := ledger.Key{Customer: customer, Plan: int16(r.IntN(3)), Class: int16(r.IntN(4)) - 2}
	s := &requestScript{rand: r, ref: ref, key: key}
	s.draw()
	return s.postings
}

// callScript generates the postings of a counter call.
func callScript(r *rand.Rand, ref uint64, key ledger.Key) script {
	units := int64(1+r.IntN(9)) * millionths
	posting := func(e ledger.Event, ref uint64) ledger.Posting {
		return ledger.Posting{Event: e, Key: key, Ref: ref, Units: units}
	}
	s := script{posting(ledger.UnitsDrawn, 0), posting(ledger.UnitsPushed, ref), posting(ledger.CallStarted, ref)}
	switch r.IntN(3) {
	case 0:
		return append(s, posting(ledger.CallAdded, ref))
	case 1:
		return append(s, posting(ledger.CallUnknown, ref))
	}
	return append(s, posting(ledger.CallRejected, ref), posting(ledger.UnitsReturned, ref))
}
