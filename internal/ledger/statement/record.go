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
	Seq     uint64         `json:"seq"` // by node, from 1 without gaps
	Node    string         `json:"node"`
	Role    string         `json:"role"`
	Life    uint64         `json:"life"` // of the process, from 1
	Kind    string         `json:"kind"`
	From    time.Time      `json:"from"`
	To      time.Time      `json:"to"`
	Haulier string         `json:"haulier,omitempty"`
	Plan    string         `json:"plan,omitempty"`
	Class   string         `json:"class,omitempty"`
	Figures *ledger.Counts `json:"-"`                  // of figures: as counts and units_millionths, by the events' names, zeros left out
	Key     string         `json:"key_hash,omitempty"` // of a try
	End     string         `json:"end,omitempty"`
	Note    string         `json:"note,omitempty"`
	Chain   string         `json:"chain"` // a hash of the chain before and of this record
}

// Seal sets the record's chain, behind the one of the record before, and appends the record's line, without its end.
func (r *Record) Seal(b []byte, before string) []byte {
	from := len(b)
	b = r.append(b)
	h := sha256.New()
	h.Write([]byte(before))
	h.Write(b[from:])
	var sum [sha256.Size]byte
	r.Chain = hex.EncodeToString(h.Sum(sum[:0])[:8])
	return append(appendText(b, `,"chain":`, r.Chain), '}')
}

// append writes the record but for its chain and its end. There is one way to write a record, so that a reader can write
// it again and find the same hash.
func (r *Record) append(b []byte) []byte {
	b = strconv.AppendUint(append(b, `{"seq":`...), r.Seq, 10)
	b = appendText(b, `,"node":`, r.Node)
	b = appendText(b, `,"role":`, r.Role)
	b = strconv.AppendUint(append(b, `,"life":`...), r.Life, 10)
	b = appendText(b, `,"kind":`, r.Kind)
	b = append(r.From.UTC().AppendFormat(append(b, `,"from":"`...), time.RFC3339Nano), '"')
	b = append(r.To.UTC().AppendFormat(append(b, `,"to":"`...), time.RFC3339Nano), '"')
	for _, t := range [...]struct{ name, value string }{{`,"haulier":`, r.Haulier}, {`,"plan":`, r.Plan}, {`,"class":`, r.Class},
		{`,"key_hash":`, r.Key}, {`,"end":`, r.End}, {`,"note":`, r.Note}} {
		if t.value != "" {
			b = appendText(b, t.name, t.value)
		}
	}
	if r.Figures != nil {
		b = AppendFigures(b, r.Figures)
	}
	return b
}

// AppendFigures writes figures as two members of an object, behind another one.
func AppendFigures(b []byte, c *ledger.Counts) []byte {
	list := func(name string, each func(e ledger.Event) bool) {
		b = append(b, name...)
		first := true
		for e := ledger.None + 1; e < ledger.EventCount; e++ {
			if !each(e) {
				continue
			}
			if !first {
				b = append(b, ',')
			}
			first = false
			b = append(append(append(b, '"'), e.String()...), '"', ':')
			if name == countsName {
				b = strconv.AppendUint(b, c.N[e], 10)
			} else {
				b = strconv.AppendInt(b, c.Units(e), 10)
			}
		}
		b = append(b, '}')
	}
	list(countsName, func(e ledger.Event) bool { return c.N[e] != 0 })
	list(unitsName, func(e ledger.Event) bool { return c.Units(e) != 0 })
	return b
}

const (
	countsName = `,"counts":{`
	unitsName  = `,"units_millionths":{`
)

// appendText writes a member whose value is a text.
func appendText(b []byte, name, s string) []byte {
	b = append(b, name...)
	for i := range len(s) {
		if c := s[i]; c < ' ' || c >= 0x7f || c == '"' || c == '\\' || c == '<' || c == '>' || c == '&' {
			quoted, _ := json.Marshal(s) // of a string: it can't fail
			return append(b, quoted...)
		}
	}
	return append(append(append(b, '"'), s...), '"')
}

// Parse reads a record's line. A figure whose name is not known is an error, as what it stands for would be missing.
func Parse(line []byte) (r Record, err error) {
	var figures struct {
		Counts map[string]uint64 `json:"counts"`
		Units  map[string]int64  `json:"units_millionths"`
	}
	if err = json.Unmarshal(line, &r); err != nil {
		return r, err
	}
	if r.Seq == 0 || r.Node == "" || r.Kind == "" {
		return r, errors.New("no record of a ledger")
	}
	if r.Kind != Figures {
		return r, nil
	}
	if err = json.Unmarshal(line, &figures); err != nil {
		return r, err
	}
	r.Figures = &ledger.Counts{}
	for name, n := range figures.Counts {
		e, ok := ledger.ByName(name)
		if !ok {
			return r, fmt.Errorf("no figure is called %q", name)
		}
		r.Figures.Set(e, n, 0)
	}
	for name, u := range figures.Units {
		e, ok := ledger.ByName(name)
		if !ok || !e.HasUnits() {
			return r, fmt.Errorf("no units are called %q", name)
		}
		r.Figures.Set(e, r.Figures.N[e], u)
	}
	return r, nil
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
		r, err := Parse(lines.Bytes())
		if err != nil {
			return fmt.Errorf("line %d: %w", n, err)
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
		if r.Seal(nil, c.chain); r.Chain != said {
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
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
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

// Flush writes what is buffered.
func (c *CSV) Flush() error {
	c.w.Flush()
	return c.w.Error()
}
