package statement

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"dewhitch/internal/ledger"
)

// maxLineBytes limits the length of a line of an export.
const maxLineBytes = 1 << 20

var errNotRecord = errors.New("no record of a ledger")

// Read parses records as JSON lines and calls f with each. It stops at the first line that is not a record, and at an error of f,
// and returns the error with the number of the line. Errors of the reader are returned as they are.
func Read(from io.Reader, f func(Record) error) error {
	lines := bufio.NewScanner(from)
	lines.Buffer(nil, maxLineBytes)
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

// Parse parses the line of a record. A figure with an unknown name is an error, as its count would be lost.
func Parse(line []byte) (r Record, err error) {
	if err = json.Unmarshal(line, &r); err != nil {
		return r, err
	}
	if r.Seq == 0 || r.Node == "" || r.Kind == "" {
		return r, errNotRecord
	}
	if r.Kind == Figures {
		r.Figures, err = parseFigures(line)
	}
	return r, err
}

// parseFigures parses the figures in the line of a record of kind Figures.
func parseFigures(line []byte) (*ledger.Counts, error) {
	var figures struct {
		Counts map[string]uint64 `json:"counts"`
		Units  map[string]int64  `json:"units_millionths"`
	}
	if err := json.Unmarshal(line, &figures); err != nil {
		return nil, err
	}
	counts := &ledger.Counts{}
	for name, n := range figures.Counts {
		e, ok := ledger.ByName(name)
		if !ok {
			return counts, fmt.Errorf("no figure is called %q", name)
		}
		counts.Set(e, n, 0)
	}
	for name, units := range figures.Units {
		e, ok := ledger.ByName(name)
		if !ok || !e.HasUnits() {
			return counts, fmt.Errorf("no units are called %q", name)
		}
		counts.Set(e, counts.N[e], units)
	}
	return counts, nil
}
