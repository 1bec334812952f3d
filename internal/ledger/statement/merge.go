package statement

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"dewhitch/internal/ledger"
)

// Name is a row by its words.
type Name struct{ Haulier, Plan, Class string }

func (n Name) compare(o Name) int {
	return cmp.Or(cmp.Compare(n.Plan, o.Plan), cmp.Compare(n.Class, o.Class), cmp.Compare(n.Haulier, o.Haulier))
}

// Node is what the records of one node add up to.
type Node struct {
	Name, Role string
	Lives      uint64
	Rows       map[Name]*ledger.Counts
	Gaps       []string
	First      uint64 // record that was read; above 1 the figures before it are missing
	chain      Chain
}

// Merged is what the records of several nodes add up to.
type Merged struct {
	Nodes  map[string]*Node
	Faults []error
	tries  map[[2]string][]TryOf
	many   int
}

// TryOf is one try at a booking.
type TryOf struct {
	Node         string
	Taken, Ended time.Time
	End          string
}

// maxTries bounds the tries that are linked; those beyond are counted.
const maxTries = 4 << 20

// NewMerged has nothing yet.
func NewMerged() *Merged { return &Merged{Nodes: map[string]*Node{}, tries: map[[2]string][]TryOf{}} }

// Add takes a record. What is wrong with it is among the faults; a record that came before is not counted again.
func (m *Merged) Add(r Record) {
	n := m.Nodes[r.Node]
	if n == nil {
		n = &Node{Name: r.Node, Role: r.Role, Rows: map[Name]*ledger.Counts{}, First: r.Seq}
		m.Nodes[r.Node] = n
	}
	seq := n.chain.seq
	if err := n.chain.Next(r); err != nil {
		m.Faults = append(m.Faults, err)
		if n.chain.begun && r.Seq <= seq {
			return
		}
		n.chain = Chain{r.Seq, r.Chain, true}
	}
	n.Lives = max(n.Lives, r.Life)
	switch r.Kind {
	case Figures:
		name := Name{r.Haulier, r.Plan, r.Class}
		if n.Rows[name] == nil {
			n.Rows[name] = &ledger.Counts{}
		}
		n.Rows[name].Add(r.Figures)
	case Try:
		if m.many++; m.many <= maxTries {
			at := [2]string{r.Haulier, r.Key}
			m.tries[at] = append(m.tries[at], TryOf{r.Node, r.From, r.To, r.End})
		}
	case Gap:
		n.Gaps = append(n.Gaps, r.Note)
	}
}

// Mismatch is a row that does not add up.
type Mismatch struct {
	Node string
	Name
	What        string
	Left, Right uint64
}

// Error is the mismatch in words.
func (m Mismatch) Error() string {
	return fmt.Sprintf("%s: haulier %s, plan %s, class %s: %s: %d and %d", m.Node, m.Haulier, m.Plan, m.Class, m.What,
		int64(m.Left), int64(m.Right))
}

// Open is what is open by a row's front book.
func Open(c *ledger.Counts) int64 { return int64(c.N[ledger.FrontTaken] - c.Ended()) }

// Verify checks each row of each node: what it can without the table of what is open. A figure that follows another in
// time may trail it by what is open, and never lead it.
func (m *Merged) Verify() (wrong []error) {
	wrong = slices.Clone(m.Faults)
	for _, node := range slices.Sorted(maps.Keys(m.Nodes)) {
		n := m.Nodes[node]
		for _, name := range slices.SortedFunc(maps.Keys(n.Rows), Name.compare) {
			c := n.Rows[name]
			later := func(what string, first, then uint64, slack int64) {
				if d := int64(first - then); d < 0 || d > slack {
					wrong = append(wrong, Mismatch{node, name, what, first, then})
				}
			}
			k := &c.N
			if name.Class == "account" {
				calls := k[ledger.CallAdded] + k[ledger.CallRejected] + k[ledger.CallUnknown] + k[ledger.CallCutoff]
				later("calls ordered, begun", k[ledger.UnitsPushed], k[ledger.CallBegan]+k[ledger.CallNeverBegan], maxOpen)
				later("calls begun, ended", k[ledger.CallBegan], calls, maxOpen)
				if k[ledger.CallBegan] == calls {
					later("units of calls begun, ended", uint64(c.Units(ledger.CallBegan)), uint64(c.Units(ledger.CallAdded)+
						c.Units(ledger.CallRejected)+c.Units(ledger.CallUnknown)+c.Units(ledger.CallCutoff)), 0)
				}
				continue
			}
			open := Open(c)
			later("taken, served + refused + failed", k[ledger.FrontTaken], c.Ended(), maxOpen)
			later("taken by the front, by the planner", k[ledger.FrontTaken]-k[ledger.FrontNotSubmitted]-k[ledger.FrontNeverTaken],
				k[ledger.PlanTaken], max(0, open))
			later("fetches ordered, begun", k[ledger.PlanSent], k[ledger.AttemptStarted]+k[ledger.AttemptNeverStarted], maxOpen)
			later("fetches begun, ended", k[ledger.AttemptStarted], c.AttemptsEnded(), maxOpen)
			later("served by the planner, written", k[ledger.PlanServed], k[ledger.FrontServed], int64(c.FrontFailures())+max(0, open))
			later("refused by the planner, written", c.Rejected(), k[ledger.FrontRejected], int64(c.FrontFailures())+max(0, open))
			if open == 0 && k[ledger.FrontNotSubmitted]+k[ledger.FrontNeverTaken] == 0 {
				later("units taken by the front, by the planner", uint64(c.Units(ledger.FrontTaken)),
					uint64(c.Units(ledger.PlanTaken)), 0)
			}
		}
	}
	return wrong
}

// maxOpen is more than any gateway has open in one row.
const maxOpen = 1 << 24

// Sum is a row over several nodes.
type Sum struct {
	Name
	ledger.Counts
	PassedOn uint64 // of what forwarders took, what planners took again
	Tries    uint64 // of clients: each counts once, where it was taken first
}

// Sums adds the nodes up, by plan and class, and by haulier with hauliers set. A client's try that came through a
// forwarder was taken there, and once more by a planner: it counts once.
func (m *Merged) Sums(hauliers bool) []Sum {
	sums := map[Name]*Sum{}
	for _, n := range m.Nodes {
		for name, c := range n.Rows {
			if !hauliers {
				name.Haulier = ""
			}
			s := sums[name]
			if s == nil {
				s = &Sum{Name: name}
				sums[name] = s
			}
			s.Tries += c.N[ledger.FrontTaken]
			if n.Role == Forwarder {
				s.PassedOn += passed(c)
			}
			s.Counts.Add(c)
		}
	}
	for _, s := range sums {
		s.Tries -= min(s.Tries, s.PassedOn)
	}
	var out []Sum
	for _, name := range slices.SortedFunc(maps.Keys(sums), Name.compare) {
		out = append(out, *sums[name])
	}
	return out
}

// passed is how many reqs planners took of a forwarder, by its own books: each of its fetches that was not surely
// unwritten is one.
func passed(c *ledger.Counts) uint64 {
	return c.AttemptsEnded() - c.N[ledger.AttemptNotSent] - c.N[ledger.AttemptConnectFailed] - c.N[ledger.AttemptRejected]
}

// Bookings links the tries of each booking by its key: how many bookings there were, how many had tries through more
// than one node, in how many of those a try came while another was open, and how many were served more than once.
func (m *Merged) Bookings() (all, across, overlapping, servedTwice int) {
	for _, tries := range m.tries {
		nodes, servings, overlap := map[string]bool{}, 0, false
		for i, t := range tries {
			nodes[t.Node] = true
			if t.End == ledger.FrontServed.String() {
				servings++
			}
			for _, o := range tries[:i] {
				overlap = overlap || o.Node != t.Node && o.Taken.Before(t.Ended) && t.Taken.Before(o.Ended)
			}
		}
		all++
		if len(nodes) > 1 {
			across++
			if overlap {
				overlapping++
			}
		}
		if servings > 1 {
			servedTwice++
		}
	}
	return all, across, overlapping, servedTwice
}

// WriteTable writes sums for people.
func WriteTable(to io.Writer, sums []Sum) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "haulier\tplan\tclass\ttaken\tserved\trefused\tfailed\topen\tfetches\tunits\tpassed on\tclient tries\t")
	for _, s := range sums {
		if s.Class == "account" {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%g\t%d\t%d\t\n", cmp.Or(s.Haulier, "all"), s.Plan, s.Class,
			s.N[ledger.FrontTaken], s.N[ledger.FrontServed], s.N[ledger.FrontRejected], s.FrontFailures(), Open(&s.Counts),
			s.N[ledger.AttemptStarted], float64(s.Units(ledger.FrontTaken))/1e6, s.PassedOn, s.Tries)
	}
	return w.Flush()
}
