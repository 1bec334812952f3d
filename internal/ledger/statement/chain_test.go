package statement

import (
	"errors"
	"testing"
)

// TestChainFaults guards against chain faults that go unnoticed or get the wrong error: Next must return a different error for
// duplicate, missing and changed records, with the node and number of the record.
func TestChainFaults(t *testing.T) {
	records := chainedRecords()
	changed := records[1]
	changed.Note = "changed"
	for name, c := range map[string]struct {
		second Record
		want   error
	}{
		"next":      {records[1], nil},
		"duplicate": {records[0], ErrDuplicate},
		"missing":   {records[3], MissingError(2)},
		"changed":   {changed, ErrBrokenChain},
	} {
		var chain Chain
		if err := chain.Next(records[0]); err != nil {
			t.Fatal(err)
		}
		err := chain.Next(c.second)
		if !errors.Is(err, c.want) {
			t.Errorf("case %q: got error %v", name, err)
		}
		var fault Fault
		if c.want != nil && (!errors.As(err, &fault) || fault.Node != "f1" || fault.Seq != c.second.Seq) {
			t.Errorf("case %q: the fault has the wrong node %s or record %d", name, fault.Node, fault.Seq)
		}
	}
}
