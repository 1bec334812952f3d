// Package wire is the codec between the simulator's text lines and the events and actions of package dewhitch. It decides
// nothing. The names on the wire are the simulator's; they are mapped to the module's terms here alone.
package wire

import (
	"fmt"

	dw "dewhitch"
)

// Hello starts an instance.
type Hello struct {
	Seed     uint64
	Settings dw.Settings
}

// Kill ends an instance.
type Kill struct{}

// Message is one line of a round: a Hello, a Kill or a dewhitch event.
type Message struct {
	Gateway string
	Line    int
	Body    any
}

// Round is one batch of events.
type Round struct {
	Now      dw.Instant
	Messages []Message
}

// Error is a malformed line.
type Error struct {
	Line                    int
	Message, Field, Problem string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d: message %q, field %s: %s", e.Line, e.Message, e.Field, e.Problem)
}
