// Package admin serves the calls of operators. A connection carries one call, a line of text, which is answered by a line that
// starts with YES or NO; the call telemetry is answered by its figures and a line END. The package parses the line and owns the
// callers' connections; a Gateway executes the calls.
package admin

import (
	"bytes"
	"errors"
	"fmt"
)

// Verb is the operation of a call.
type Verb int

// The verbs of calls.
const (
	Readyz    Verb = iota // reports whether the gateway is ready to serve
	Telemetry             // returns the figures, followed by a line END
	Exclude               // sends no new work to a server
	Include               // ends the exclusion of a server
	Evacuate              // drains the gateway
	Activate              // ends the drain of the gateway
)

var verbs = map[string]struct {
	verb  Verb
	hasID bool // whether the call takes a server's id
}{
	"readyz":    {Readyz, false},
	"telemetry": {Telemetry, false},
	"exclude":   {Exclude, true},
	"include":   {Include, true},
	"evacuate":  {Evacuate, false},
	"activate":  {Activate, false},
}

// Call is one operator's call.
type Call struct {
	Verb Verb
	ID   string // id of the server for Exclude and Include, otherwise empty
}

// Bounds of a call, in bytes.
const (
	MaxLine = 256 // maximum length of a line, including its end
	MaxID   = 64  // maximum length of a server's id
)

// ErrLineTooLong is the error of a line that does not end within MaxLine bytes.
var ErrLineTooLong = errors.New("line too long")

// Parse parses one line, without its end. A trailing \r is ignored. Fields are separated by spaces or tabs; the verb is case
// insensitive, an id is not. The texts of its errors are sent to the operator.
func Parse(line []byte) (Call, error) {
	if len(line) >= MaxLine {
		return Call{}, ErrLineTooLong
	}
	line = bytes.TrimSuffix(line, []byte("\r"))
	fields := bytes.Fields(line)
	if len(fields) == 0 {
		return Call{}, errors.New("empty call")
	}
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f {
			return Call{}, errors.New("control characters in the call")
		}
	}
	v, known := verbs[string(bytes.ToLower(fields[0]))]
	if !known {
		return Call{}, fmt.Errorf("unknown call %.32q", fields[0])
	}
	switch {
	case v.hasID && len(fields) != 2:
		return Call{}, fmt.Errorf("%s takes one server id", fields[0])
	case !v.hasID && len(fields) != 1:
		return Call{}, fmt.Errorf("%s takes no argument", fields[0])
	}
	c := Call{Verb: v.verb}
	if v.hasID {
		if len(fields[1]) > MaxID {
			return Call{}, fmt.Errorf("server id of over %d bytes", MaxID)
		}
		c.ID = string(fields[1])
	}
	return c, nil
}
