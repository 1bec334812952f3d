// Package wire decodes the simulator's text lines to events of package dewhitch, and encodes actions of package dewhitch as text
// lines. It makes no decisions. The names on the wire are the simulator's; only this package maps them to the module's terms.
package wire

import (
	"fmt"

	dw "dewhitch"
)

// Hello starts a gateway with the given seed and settings.
type Hello struct {
	Seed     uint64
	Settings dw.Settings
}

// Kill ends a gateway.
type Kill struct{}

// Message is one message of a round to a gateway.
type Message struct {
	Gateway string // name of the gateway
	Line    int    // number of the input line, from 1
	Body    any    // a Hello, a Kill or a dewhitch event
}

// Round is a batch of messages that have the same time.
type Round struct {
	Now      dw.Instant
	Messages []Message
}

// Error reports a malformed input line.
type Error struct {
	Line                    int    // number of the input line, from 1
	Message, Field, Problem string // the field is "-" if the fault is in the line as a whole
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d: message %q, field %s: %s", e.Line, e.Message, e.Field, e.Problem)
}
