package statement

import (
	"errors"
	"testing"
)

// Next tells duplicate, missing and changed records apart by their errors, and names the record.
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
			t.Errorf("%s: %v", name, err)
		}
		var fault Fault
		if c.want != nil && (!errors.As(err, &fault) || fault.Node != "f1" || fault.Seq != c.second.Seq) {
			t.Errorf("%s: the fault names %s, record %d", name, fault.Node, fault.Seq)
		}
	}
}
