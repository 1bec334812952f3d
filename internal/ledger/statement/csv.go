package statement

import (
	"encoding/csv"
	"io"
	"slices"
	"strconv"
	"time"

	"dewhitch/internal/ledger"
)

// csvColumns are the columns that precede the figures.
var csvColumns = []string{"seq", "node", "role", "life", "kind", "from", "to", "haulier", "plan", "class", "key_hash", "end", "note"}

// CSV writes records as CSV, with a column for each figure, and another for its units if it has some. One goroutine uses it at a
// time.
type CSV struct{ w *csv.Writer }

// NewCSV writes the header and returns the writer of the rows.
func NewCSV(to io.Writer) (*CSV, error) {
	c := &CSV{csv.NewWriter(to)}
	header := slices.Clone(csvColumns)
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
		header = append(header, e.String())
		if e.HasUnits() {
			header = append(header, e.String()+"_units")
		}
	}
	return c, c.w.Write(header)
}

// Write writes a record as a row. A record without figures has zeros in their columns.
func (c *CSV) Write(r Record) error {
	row := []string{
		strconv.FormatUint(r.Seq, 10),
		r.Node,
		r.Role,
		strconv.FormatUint(r.Incarnation, 10),
		r.Kind,
		r.From.UTC().Format(time.RFC3339Nano),
		r.To.UTC().Format(time.RFC3339Nano),
		r.Customer,
		r.Plan,
		r.Class,
		r.Key,
		r.End,
		r.Note,
	}
	figures := r.Figures
	if figures == nil {
		figures = &ledger.Counts{}
	}
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
		row = append(row, strconv.FormatUint(figures.N[e], 10))
		if e.HasUnits() {
			row = append(row, strconv.FormatFloat(float64(figures.Units(e))/1e6, 'f', -1, 64))
		}
	}
	return c.w.Write(row)
}

// Flush writes the buffered rows to the underlying writer, and returns its first error.
func (c *CSV) Flush() error {
	c.w.Flush()
	return c.w.Error()
}
