package statement

import (
	"errors"
	"fmt"
)

// The faults of a chain of records. Chain.Next returns them in a Fault.
var (
	// ErrDuplicate is the error of a record that was read before, or that follows a later record of its node.
	ErrDuplicate = errors.New("came before")
	// ErrBrokenChain is the error of a record that was changed, or follows a changed one.
	ErrBrokenChain = errors.New("its chain does not follow from the record before")
)

// MissingError is the number of records that are missing before a record.
type MissingError uint64

// Error implements error.
func (e MissingError) Error() string {
	return fmt.Sprintf("%d records are missing before it", uint64(e))
}

// Fault is the error of a record that does not follow the previous record of its node.
type Fault struct {
	Node string
	Seq  uint64
	Err  error // ErrDuplicate, ErrBrokenChain or a MissingError
}

// Error returns a message with the node and the number of the record.
func (f Fault) Error() string { return fmt.Sprintf("%s, record %d: %v", f.Node, f.Seq, f.Err) }

// Unwrap returns the kind of the fault.
func (f Fault) Unwrap() error { return f.Err }

// Chain verifies that the records of one node follow each other without gaps or changes. The zero value accepts any first record.
type Chain struct {
	seq   uint64 // number of the last record
	chain string // chain of the last record
	begun bool   // seq and chain are those of a record
}

// Next verifies a record against the previous one. After a Fault the previous record stays the same for the next call.
func (c *Chain) Next(r Record) error {
	switch {
	case c.begun && r.Seq <= c.seq:
		return Fault{r.Node, r.Seq, ErrDuplicate}
	case c.begun && r.Seq != c.seq+1:
		return Fault{r.Node, r.Seq, MissingError(r.Seq - c.seq - 1)}
	}
	if c.begun || r.Seq == 1 { // for any other first record, the previous chain is unknown
		stated := r.Chain
		r.Seal(nil, c.chain)
		if r.Chain != stated {
			return Fault{r.Node, r.Seq, ErrBrokenChain}
		}
	}
	c.restart(r)
	return nil
}

// restart continues the chain from a record without verifying it.
func (c *Chain) restart(r Record) {
	c.seq = r.Seq
	c.chain = r.Chain
	c.begun = true
}
