// Package admin is the operators' address: one call a connection, a line of text, answered by a line that begins with
// YES or NO. It owns the parser of that line and the callers' connections, and decides nothing: what a call does is
// the Gateway's.
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
	Readyz    Verb = iota // whether this process is ready to serve
	Telemetry             // the figures, then a line END
	Exclude               // nothing more to a server
	Include               // the server may serve again
	Evacuate              // send clients away
	Activate              // end of the drain
)

var verbs = map[string]struct {
	verb Verb
	id   bool
}{"readyz": {Readyz, false}, "telemetry": {Telemetry, false}, "exclude": {Exclude, true}, "include": {Include, true},
	"evacuate": {Evacuate, false}, "activate": {Activate, false}}

// Call is one operator's call.
type Call struct {
	Verb Verb
	ID   string // of a server, for Exclude and Include
}

// The bounds of a call.
const (
	MaxLine = 256 // bytes of a line, its end included
	MaxID   = 64
)

// ErrLong says that a line did not end within MaxLine bytes.
var ErrLong = errors.New("line too long")

// Parse reads one line, without its end; a \r before the end is passed over. Words are split by spaces or tabs; the
// verb is read in any case, an id as it stands.
func Parse(line []byte) (Call, error) {
	if len(line) >= MaxLine {
		return Call{}, ErrLong
	}
	line = bytes.TrimSuffix(line, []byte("\r"))
	words := bytes.Fields(line)
	if len(words) == 0 {
		return Call{}, errors.New("empty call")
	}
	for _, c := range line {
		if c < ' ' && c != '\t' || c == 0x7f {
			return Call{}, errors.New("control characters in the call")
		}
	}
	v, ok := verbs[string(bytes.ToLower(words[0]))]
	if !ok {
		return Call{}, fmt.Errorf("unknown call %.32q", words[0])
	}
	switch {
	case v.id && len(words) != 2:
		return Call{}, fmt.Errorf("%s takes one server id", words[0])
	case !v.id && len(words) != 1:
		return Call{}, fmt.Errorf("%s takes no argument", words[0])
	}
	c := Call{Verb: v.verb}
	if v.id {
		if len(words[1]) > MaxID {
			return Call{}, fmt.Errorf("server id of over %d bytes", MaxID)
		}
		c.ID = string(words[1])
	}
	return c, nil
}
