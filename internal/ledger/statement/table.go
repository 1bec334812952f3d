package statement

import (
	"cmp"
	"fmt"
	"io"
	"text/tabwriter"

	"dewhitch/internal/ledger"
)

// WriteTable writes sums as a text table. It omits the rows of accounts, which count calls to the counter.
func WriteTable(to io.Writer, sums []Sum) error {
	w := tabwriter.NewWriter(to, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "haulier\tplan\tclass\ttaken\tserved\trefused\tfailed\topen\tfetches\tunits\tpassed on\tclient tries\t")
	for _, s := range sums {
		if s.Class == accountClass {
			continue
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%g\t%d\t%d\t\n",
			cmp.Or(s.Customer, "all"),
			s.Plan,
			s.Class,
			s.N[ledger.FrontTaken],
			s.N[ledger.FrontServed],
			s.N[ledger.FrontRejected],
			s.FrontFailures(),
			openRequests(&s.Counts),
			s.N[ledger.AttemptStarted],
			float64(s.Units(ledger.FrontTaken))/1e6,
			s.Forwarded,
			s.ClientAttempts)
	}
	return w.Flush()
}
