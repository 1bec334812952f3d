package statement

import (
	"fmt"
	"maps"
	"slices"

	"dewhitch/internal/ledger"
)

const (
	// accountClass is the class of the rows that count a customer's calls to the counter.
	accountClass = "account"
	// maxOpenRequests is more requests than a gateway ever has open in one row.
	maxOpenRequests = 1 << 24
)

// Mismatch is a row whose figures contradict each other.
type Mismatch struct {
	Node string
	RowName
	What  string // names of the two figures
	Left  uint64
	Right uint64
}

// Error returns a message with the node, the row and both figures.
func (m Mismatch) Error() string {
	return fmt.Sprintf("%s: haulier %s, plan %s, class %s: %s: %d and %d",
		m.Node, m.Customer, m.Plan, m.Class, m.What, int64(m.Left), int64(m.Right))
}

// Verify returns Faults, followed by a Mismatch for each rule that a row breaks, sorted by node, plan, class and customer.
func (m *Merged) Verify() []error {
	wrong := slices.Clone(m.Faults)
	for _, node := range slices.Sorted(maps.Keys(m.Nodes)) {
		rows := m.Nodes[node].Rows
		for _, name := range slices.SortedFunc(maps.Keys(rows), RowName.compare) {
			v := rowVerifier{node: node, name: name, counts: rows[name], wrong: wrong}
			if name.Class == accountClass {
				v.verifyCalls()
			} else {
				v.verifyRequests()
			}
			wrong = v.wrong
		}
	}
	return wrong
}

// rowVerifier verifies one row. The records do not contain the open entries. So a rule allows that the figure of a later stage is
// smaller than that of the earlier stage by up to the number of open requests, but not that it is greater.
type rowVerifier struct {
	node   string
	name   RowName
	counts *ledger.Counts
	wrong  []error
}

// within requires that the later figure is smaller than the earlier one by 0 to slack, and records a Mismatch otherwise.
func (v *rowVerifier) within(slack int64, what string, earlier, later uint64) {
	lag := int64(earlier - later)
	if lag < 0 || lag > slack {
		v.wrong = append(v.wrong, Mismatch{Node: v.node, RowName: v.name, What: what, Left: earlier, Right: later})
	}
}

// verifyCalls verifies a row of calls to the counter.
func (v *rowVerifier) verifyCalls() {
	c := v.counts
	n := &c.N
	ended := n[ledger.CallAdded] + n[ledger.CallRejected] + n[ledger.CallUnknown] + n[ledger.CallCutoff]
	v.within(maxOpenRequests, "calls ordered, begun", n[ledger.UnitsPushed], n[ledger.CallStarted]+n[ledger.CallNeverStarted])
	v.within(maxOpenRequests, "calls begun, ended", n[ledger.CallStarted], ended)
	if n[ledger.CallStarted] == ended {
		unitsEnded := c.Units(ledger.CallAdded) + c.Units(ledger.CallRejected) + c.Units(ledger.CallUnknown) + c.Units(ledger.CallCutoff)
		v.within(0, "units of calls begun, ended", uint64(c.Units(ledger.CallStarted)), uint64(unitsEnded))
	}
}

// verifyRequests verifies a row of requests.
func (v *rowVerifier) verifyRequests() {
	c := v.counts
	n := &c.N
	open := max(0, openRequests(c))
	unwritten := int64(c.FrontFailures()) + open // maximum number of answers that the planner returned and the front did not write
	submitted := n[ledger.FrontTaken] - n[ledger.FrontNotSubmitted] - n[ledger.FrontNeverTaken]
	v.within(maxOpenRequests, "taken, served + refused + failed", n[ledger.FrontTaken], c.Ended())
	v.within(open, "taken by the front, by the planner", submitted, n[ledger.PlanTaken])
	v.within(maxOpenRequests, "fetches ordered, begun", n[ledger.PlanSent], n[ledger.AttemptStarted]+n[ledger.AttemptNeverStarted])
	v.within(maxOpenRequests, "fetches begun, ended", n[ledger.AttemptStarted], c.AttemptsEnded())
	v.within(unwritten, "served by the planner, written", n[ledger.PlanServed], n[ledger.FrontServed])
	v.within(unwritten, "refused by the planner, written", c.Rejected(), n[ledger.FrontRejected])
	if openRequests(c) == 0 && n[ledger.FrontNotSubmitted]+n[ledger.FrontNeverTaken] == 0 {
		v.within(0, "units taken by the front, by the planner", uint64(c.Units(ledger.FrontTaken)), uint64(c.Units(ledger.PlanTaken)))
	}
}
