package statement

import (
	"cmp"
	"maps"
	"slices"

	"dewhitch/internal/ledger"
)

// RowName identifies a row of figures by the names in the records.
type RowName struct {
	Customer string // hash of the customer; empty for all customers
	Plan     string
	Class    string
}

func (n RowName) compare(o RowName) int {
	return cmp.Or(cmp.Compare(n.Plan, o.Plan), cmp.Compare(n.Class, o.Class), cmp.Compare(n.Customer, o.Customer))
}

// Node is the sum of one node's records.
type Node struct {
	Name         string
	Role         string
	Incarnations uint64 // highest incarnation in the records
	Rows         map[RowName]*ledger.Counts
	Gaps         []string // notes of the records of kind Gap
	First        uint64   // number of the first record that was read; if above 1, earlier figures are missing
	chain        Chain
}

// Merged is the sum of the records of several nodes. One goroutine uses it at a time.
type Merged struct {
	Nodes    map[string]*Node
	Faults   []error // faults of the chains, in the order in which the records were added
	attempts attemptLog
}

// NewMerged returns the sum of no records.
func NewMerged() *Merged {
	return &Merged{Nodes: map[string]*Node{}, attempts: attemptLog{byBooking: map[bookingKey][]Attempt{}}}
}

// Add adds a record. It appends a fault of the record's chain to Faults; it then skips a duplicate, but adds a record that follows
// missing or changed ones.
func (m *Merged) Add(r Record) {
	n := m.Nodes[r.Node]
	if n == nil {
		n = &Node{Name: r.Node, Role: r.Role, Rows: map[RowName]*ledger.Counts{}, First: r.Seq}
		m.Nodes[r.Node] = n
	}
	last := n.chain.seq
	if err := n.chain.Next(r); err != nil {
		m.Faults = append(m.Faults, err)
		if n.chain.begun && r.Seq <= last {
			return
		}
		n.chain.restart(r)
	}
	n.Incarnations = max(n.Incarnations, r.Incarnation)
	switch r.Kind {
	case Figures:
		name := RowName{r.Customer, r.Plan, r.Class}
		if n.Rows[name] == nil {
			n.Rows[name] = &ledger.Counts{}
		}
		n.Rows[name].Add(r.Figures)
	case AttemptRecord:
		m.attempts.add(r)
	case Gap:
		n.Gaps = append(n.Gaps, r.Note)
	}
}

// Sum is the sum of a row over several nodes.
type Sum struct {
	RowName
	ledger.Counts
	Forwarded      uint64 // number of requests that forwarders received and passed on to planners, which received them again
	ClientAttempts uint64 // number of attempts of clients, each counted once, at the node that received it first
}

// Sums returns the sums over all nodes by plan and class, and by customer if byCustomer is set, sorted by plan, class and customer.
// A client's attempt through a forwarder is received there and again at a planner, and counts once in ClientAttempts.
func (m *Merged) Sums(byCustomer bool) []Sum {
	sums := map[RowName]*Sum{}
	for _, n := range m.Nodes {
		for name, c := range n.Rows {
			if !byCustomer {
				name.Customer = ""
			}
			s := sums[name]
			if s == nil {
				s = &Sum{RowName: name}
				sums[name] = s
			}
			s.ClientAttempts += c.N[ledger.FrontTaken]
			if n.Role == Forwarder {
				s.Forwarded += forwardedRequests(c)
			}
			s.Counts.Add(c)
		}
	}
	var sorted []Sum
	for _, name := range slices.SortedFunc(maps.Keys(sums), RowName.compare) {
		s := sums[name]
		s.ClientAttempts -= min(s.ClientAttempts, s.Forwarded)
		sorted = append(sorted, *s)
	}
	return sorted
}

// forwardedRequests returns the number of a forwarder's requests that planners received: one for each attempt that may have been
// written to a connection.
func forwardedRequests(c *ledger.Counts) uint64 {
	unwritten := c.N[ledger.AttemptNotSent] + c.N[ledger.AttemptConnectFailed] + c.N[ledger.AttemptRejected]
	return c.AttemptsEnded() - unwritten
}

// openRequests returns the number of requests of a row that have not ended.
func openRequests(c *ledger.Counts) int64 { return int64(c.N[ledger.FrontTaken] - c.Ended()) }
