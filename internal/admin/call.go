// Package admin is the operators' address. A connection carries one call, a line of text, which is answered by a line that starts
// with YES or NO. The package owns the parser of that line and the callers' connections; a Gateway carries the calls out.
package admin

import (
	"bytes"
	"errors"
	"fmt"
)

// Verb is what a call asks for.
type Verb int

// The verbs.
const (
	Readyz    Verb = iota // whether the gateway is ready to serve
	Telemetry             // the figures, then a line END
	Exclude               // no new work to a server
	Include               // the end of an exclusion
	Evacuate              // drain the gateway
	Activate              // the end of the drain
)

var verbs = map[string]struct {
	verb  Verb
	hasID bool // it takes a server's id
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
	ID   string // of a server, for Exclude and Include
}

// Bounds of a call, in bytes.
const (
	MaxLine = 256 // of a line, with its end
	MaxID   = 64  // of a server's id
)

// ErrLineTooLong says that a line did not end within MaxLine bytes.
var ErrLineTooLong = errors.New("line too long")

// Parse reads one line, without its end; a \r before the end is ignored. Fields are separated by spaces or tabs; the verb may be in
// any case, an id is read as it stands. The texts of its errors are answered to the operator.
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
