package statement

import (
	"time"

	"dewhitch/internal/ledger"
)

// maxAttempts is the maximum number of attempts that are linked to bookings, which bounds memory. Further attempts are only
// counted.
const maxAttempts = 4 << 20

// Attempt is one attempt of a client at a booking.
type Attempt struct {
	Node  string
	Taken time.Time
	Ended time.Time
	End   string // name of the event that ended the attempt
}

// bookingKey identifies a booking: all attempts with the same customer and idempotency key belong to it.
type bookingKey struct {
	customer string
	key      string
}

// attemptLog holds the attempts of all nodes.
type attemptLog struct {
	byBooking map[bookingKey][]Attempt
	count     int // number of all attempts, linked to bookings or not
}

// add adds a record of kind AttemptRecord.
func (l *attemptLog) add(r Record) {
	l.count++
	if l.count > maxAttempts {
		return
	}
	booking := bookingKey{customer: r.Customer, key: r.Key}
	l.byBooking[booking] = append(l.byBooking[booking], Attempt{Node: r.Node, Taken: r.From, Ended: r.To, End: r.End})
}

// Bookings returns the number of bookings, the number of those with attempts through more than one node, the number of these with
// attempts that were open at two nodes at the same time, and the number of bookings that were served more than once.
func (m *Merged) Bookings() (all, across, overlapping, servedTwice int) {
	for _, attempts := range m.attempts.byBooking {
		all++
		if nodeCount(attempts) > 1 {
			across++
			if overlapAcrossNodes(attempts) {
				overlapping++
			}
		}
		if servedCount(attempts) > 1 {
			servedTwice++
		}
	}
	return all, across, overlapping, servedTwice
}

func nodeCount(attempts []Attempt) int {
	nodes := map[string]bool{}
	for _, a := range attempts {
		nodes[a.Node] = true
	}
	return len(nodes)
}

func servedCount(attempts []Attempt) int {
	n := 0
	for _, a := range attempts {
		if a.End == ledger.FrontServed.String() {
			n++
		}
	}
	return n
}

// overlapAcrossNodes reports whether two attempts through different nodes were open at the same time.
func overlapAcrossNodes(attempts []Attempt) bool {
	for i, a := range attempts {
		for _, b := range attempts[:i] {
			if a.Node != b.Node && b.Taken.Before(a.Ended) && a.Taken.Before(b.Ended) {
				return true
			}
		}
	}
	return false
}
