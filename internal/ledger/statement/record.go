// Package statement is the form in which a ledger's figures leave a gateway: records as JSON lines, numbered and chained
// so that a reader can prove that it has each of them once; CSV; the checks of what was read; and the merging of several
// gateways' records. It is pure but for the readers and writers that it is handed.
package statement

import (
	"bufio"
	"crypto/sha256"
	"encoding/csv"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"time"

	"dewhitch/internal/ledger"
)

// The kinds of record.
const (
	Figures = "figures" // what came in a period, of one row
	Try     = "try"     // one try at a req that has an idempotency key
	Life    = "life"    // a start of the process: how the one before ended is in the figures behind it
	Gap     = "gap"     // something was not kept
)

// The roles of a node.
const (
	Gateway   = "gateway"
	Forwarder = "forwarder"
)

// Record is one line of an export.
type Record struct {
	Seq     uint64            `json:"seq"` // by node, from 1 without gaps
	Node    string            `json:"node"`
	Role    string            `json:"role"`
	Life    uint64            `json:"life"` // of the process, from 1
	Kind    string            `json:"kind"`
	From    time.Time         `json:"from"`
	To      time.Time         `json:"to"`
	Haulier string            `json:"haulier,omitempty"`
	Plan    string            `json:"plan,omitempty"`
	Class   string            `json:"class,omitempty"`
	Counts  map[string]uint64 `json:"counts,omitempty"`
	Units   map[string]int64  `json:"units_millionths,omitempty"`
	Key     string            `json:"key_hash,omitempty"` // of a try
	End     string            `json:"end,omitempty"`
	Note    string            `json:"note,omitempty"`
	Chain   string            `json:"chain"` // a hash of the chain before and of this record
}

// Seal sets the record's chain, behind the one of the record before; it returns the line, without its end.
func (r *Record) Seal(before string) ([]byte, error) {
	r.Chain = ""
	line, err := json.Marshal(r)
	if err != nil {
		return nil, err
	}
	sum := sha256.Sum256(append([]byte(before), line...))
	r.Chain = hex.EncodeToString(sum[:8])
	return json.Marshal(r)
}

// FromCounts fills in the figures.
func (r *Record) FromCounts(c *ledger.Counts) {
	r.Counts, r.Units = map[string]uint64{}, map[string]int64{}
	for e := ledger.None + 1; e < ledger.Events; e++ {
		if n := c.N[e]; n != 0 {
			r.Counts[e.String()] = n
		}
		if u := c.Units(e); u != 0 {
			r.Units[e.String()] = u
		}
	}
}

// ToCounts reads the figures; a name that is not known is an error, as what it stands for would be missing.
func (r *Record) ToCounts() (c ledger.Counts, err error) {
	for name, n := range r.Counts {
		e, ok := ledger.ByName(name)
		if !ok {
			return c, fmt.Errorf("record %d of %s: no figure is called %q", r.Seq, r.Node, name)
		}
		c.Set(e, n, r.Units[name])
	}
	for name, u := range r.Units {
		e, ok := ledger.ByName(name)
		if !ok || !e.HasUnits() {
			return c, fmt.Errorf("record %d of %s: no units are called %q", r.Seq, r.Node, name)
		}
		c.Set(e, c.N[e], u)
	}
	return c, nil
}

// Fault is something wrong with the records of a node.
type Fault struct {
	Node string
	Seq  uint64
	What string
}

// Error is the fault in words.
func (f Fault) Error() string { return fmt.Sprintf("%s, record %d: %s", f.Node, f.Seq, f.What) }

const maxLine = 1 << 20

// Read reads records as JSON lines and hands each to f. What is no record is an error that names the line.
func Read(from io.Reader, f func(Record) error) error {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLine)
	for n := 1; lines.Scan(); n++ {
		if len(lines.Bytes()) == 0 {
			continue
		}
		var r Record
		if err := json.Unmarshal(lines.Bytes(), &r); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
		if r.Seq == 0 || r.Node == "" || r.Kind == "" {
			return fmt.Errorf("line %d: no record of a ledger", n)
		}
		if err := f(r); err != nil {
			return fmt.Errorf("line %d: %w", n, err)
		}
	}
	return lines.Err()
}

// Chain checks that records of one node follow each other. Its zero value takes any first record.
type Chain struct {
	seq   uint64
	chain string
	begun bool
}

// ErrTwice says that a record came before.
var ErrTwice = errors.New("came before")

// Next checks one record against the one before it.
func (c *Chain) Next(r Record) error {
	switch {
	case c.begun && r.Seq <= c.seq:
		return Fault{r.Node, r.Seq, ErrTwice.Error()}
	case c.begun && r.Seq != c.seq+1:
		return Fault{r.Node, r.Seq, fmt.Sprintf("%d records are missing before it", r.Seq-c.seq-1)}
	}
	if c.begun || r.Seq == 1 {
		said := r.Chain
		if _, err := r.Seal(c.chain); err != nil || r.Chain != said {
			return Fault{r.Node, r.Seq, "its chain does not follow from the record before"}
		}
	}
	c.seq, c.chain, c.begun = r.Seq, r.Chain, true
	return nil
}

// csvNames are the columns of CSV that every record has.
var csvNames = []string{"seq", "node", "role", "life", "kind", "from", "to", "haulier", "plan", "class", "key_hash", "end", "note"}

// CSV writes records with a column for each figure, and for the units of those that have some.
type CSV struct{ w *csv.Writer }

// NewCSV writes the head.
func NewCSV(to io.Writer) (*CSV, error) {
	c := &CSV{csv.NewWriter(to)}
	head := slices.Clone(csvNames)
	for e := ledger.None + 1; e < ledger.Events; e++ {
		head = append(head, e.String())
		if e.HasUnits() {
			head = append(head, e.String()+"_units")
		}
	}
	return c, c.w.Write(head)
}

// Write writes one record.
func (c *CSV) Write(r Record) error {
	row := []string{strconv.FormatUint(r.Seq, 10), r.Node, r.Role, strconv.FormatUint(r.Life, 10), r.Kind,
		r.From.UTC().Format(time.RFC3339Nano), r.To.UTC().Format(time.RFC3339Nano), r.Haulier, r.Plan, r.Class, r.Key,
		r.End, r.Note}
	for e := ledger.None + 1; e < ledger.Events; e++ {
		row = append(row, strconv.FormatUint(r.Counts[e.String()], 10))
		if e.HasUnits() {
			row = append(row, strconv.FormatFloat(float64(r.Units[e.String()])/1e6, 'f', -1, 64))
		}
	}
	return c.w.Write(row)
}

// Flush writes what is buffered.
func (c *CSV) Flush() error {
	c.w.Flush()
	return c.w.Error()
}
