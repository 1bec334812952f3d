package statement

import (
	"cmp"
	"maps"
	"slices"

	"dewhitch/internal/ledger"
)

// RowName identifies a row of figures, as the records write it.
type RowName struct {
	Customer string // the customer; "": all customers
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
	Incarnations uint64 // highest number of an incarnation
	Rows         map[RowName]*ledger.Counts
	Gaps         []string // notes of the records of kind Gap
	First        uint64   // number of the first record that was read; above 1 the figures before it are missing
	chain        Chain
}

// Merged is the sum of several nodes' records. One goroutine uses it.
type Merged struct {
	Nodes    map[string]*Node
	Faults   []error // of the chains, in the order in which records were added
	attempts attemptLog
}

// NewMerged returns the sum of no records.
func NewMerged() *Merged {
	return &Merged{Nodes: map[string]*Node{}, attempts: attemptLog{byBooking: map[bookingKey][]Attempt{}}}
}

// Add adds a record. A fault of its chain goes to Faults; a duplicate is not added again, a record behind missing or changed ones is.
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

// Sum is a row summed over several nodes.
type Sum struct {
	RowName
	ledger.Counts
	Forwarded      uint64 // requests that forwarders took and planners took again
	ClientAttempts uint64 // attempts of clients, each counted where it was taken first
}

// Sums adds the nodes up by plan and class, and by customer if byCustomer is set, sorted by plan, class and customer. A client's attempt
// that came through a forwarder was taken there, and again by a planner: it counts once.
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

// forwardedRequests returns how many of a forwarder's requests planners took: one for each attempt that may have been written.
func forwardedRequests(c *ledger.Counts) uint64 {
	unwritten := c.N[ledger.AttemptNotSent] + c.N[ledger.AttemptConnectFailed] + c.N[ledger.AttemptRejected]
	return c.AttemptsEnded() - unwritten
}

// openRequests returns how many requests of a row have not ended.
func openRequests(c *ledger.Counts) int64 { return int64(c.N[ledger.FrontTaken] - c.Ended()) }
