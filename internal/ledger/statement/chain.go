package statement

import (
	"errors"
	"fmt"
)

// Faults of a chain of records, wrapped in a Fault.
var (
	// ErrDuplicate says that the record, or a later one of its node, came before.
	ErrDuplicate = errors.New("came before")
	// ErrBrokenChain says that the record, or one before it, was changed.
	ErrBrokenChain = errors.New("its chain does not follow from the record before")
)

// MissingError says how many records are missing before one.
type MissingError uint64

// Error returns the message.
func (e MissingError) Error() string {
	return fmt.Sprintf("%d records are missing before it", uint64(e))
}

// Fault is a record that does not follow from the one before it of its node.
type Fault struct {
	Node string
	Seq  uint64
	Err  error // ErrDuplicate, ErrBrokenChain or a MissingError
}

// Error returns the message with node and record.
func (f Fault) Error() string { return fmt.Sprintf("%s, record %d: %v", f.Node, f.Seq, f.Err) }

// Unwrap returns the kind of the fault.
func (f Fault) Unwrap() error { return f.Err }

// Chain verifies that the records of one node follow each other without gaps or changes. The zero value accepts any first record.
type Chain struct {
	seq   uint64 // of the last record
	chain string // of the last record
	begun bool
}

// Next verifies one record against the one before it. On a Fault the chain stays at the one before.
func (c *Chain) Next(r Record) error {
	switch {
	case c.begun && r.Seq <= c.seq:
		return Fault{r.Node, r.Seq, ErrDuplicate}
	case c.begun && r.Seq != c.seq+1:
		return Fault{r.Node, r.Seq, MissingError(r.Seq - c.seq - 1)}
	}
	if c.begun || r.Seq == 1 { // the chain before any other first record is not known
		stated := r.Chain
		r.Seal(nil, c.chain)
		if r.Chain != stated {
			return Fault{r.Node, r.Seq, ErrBrokenChain}
		}
	}
	c.restart(r)
	return nil
}

// restart continues the chain from a record, whatever came before it.
func (c *Chain) restart(r Record) {
	c.seq = r.Seq
	c.chain = r.Chain
	c.begun = true
}
