package evacuation

import (
	"errors"
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"

	"dewhitch/internal/fleet"
)

// Command is what an operator orders for a zone. The arguments of a call are its encoding.
type Command struct {
	By     string `cbor:"1,keyasint"` // the operator
	Reason string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint"`
	ForMS  int64  `cbor:"4,keyasint,omitempty"` // leave: duration in ms; 0: until the return command
	Hold   bool   `cbor:"5,keyasint,omitempty"` // return: the fleet does not evacuate the zone
}

// Bounds of a command.
const (
	maxTextLength     = 512                  // bytes, of the operator's name and of the reason
	maxZoneNameLength = 64                   // bytes
	maxDurationMS     = 7 * 24 * 3600 * 1000 // ms
)

// Causes of a refused command, for errors.Is.
var (
	ErrIncomplete   = errors.New("zone: which zone, who asks, and why, in up to 512 bytes each")
	ErrDuration     = errors.New("a week at most")
	ErrNotEvacuated = errors.New("is not out")
)

// Encode returns the command as the arguments of a call.
func (c Command) Encode() []byte {
	b, err := cbor.Marshal(c)
	if err != nil {
		panic("zone: " + err.Error()) // Command has only types that can be encoded
	}
	return b
}

// decode reads and checks the arguments of a call. Its errors are those of the decoder, ErrIncomplete and ErrDuration.
func decode(args []byte) (c Command, err error) {
	if err := cbor.Unmarshal(args, &c); err != nil {
		return c, err
	}
	switch {
	case c.By == "" || c.Reason == "" || c.Zone == "":
		return c, ErrIncomplete
	case len(c.By) > maxTextLength || len(c.Reason) > maxTextLength || len(c.Zone) > maxZoneNameLength:
		return c, ErrIncomplete
	case c.ForMS < 0 || c.ForMS > maxDurationMS:
		return c, fmt.Errorf("zone: for %d ms; %w", c.ForMS, ErrDuration)
	}
	return c, nil
}

// Commands returns the handlers of the operators' commands by name. The fleet calls them on the leader.
func Commands() map[string]fleet.CommandHandler {
	return map[string]fleet.CommandHandler{
		"leave":  handler(evacuateByCommand),
		"return": handler(returnByCommand),
	}
}

// decision returns the status that a command settles, given the current one; nil: the zone is in service.
type decision func(c Command, current *Status, unixMS int64) (*Status, error)

// handler applies a decision to the section of the plan. It returns no section if the plan has it already.
func handler(decide decision) fleet.CommandHandler {
	return func(p *fleet.Plan, args []byte, unixMS int64) (map[string]cbor.RawMessage, error) {
		c, err := decode(args)
		if err != nil {
			return nil, err
		}
		statuses := Statuses{}
		if _, err := p.Section(Section, &statuses); err != nil {
			return nil, err
		}
		var current *Status
		if status, ok := statuses[c.Zone]; ok {
			current = &status
		}
		status, err := decide(c, current, unixMS)
		if err != nil {
			return nil, err
		}
		next := maps.Clone(statuses)
		if status != nil {
			next[c.Zone] = *status
		} else {
			delete(next, c.Zone)
		}
		if maps.EqualFunc(statuses, next, equal) {
			return nil, nil
		}
		return EncodeSection(next), nil
	}
}

// evacuateByCommand evacuates a zone for ForMS or until the return command. The same command again changes nothing, so that it may be
// sent twice.
func evacuateByCommand(c Command, current *Status, unixMS int64) (*Status, error) {
	if current != nil && current.State == Evacuated && current.orderedBy(c) {
		return current, nil
	}
	status := &Status{State: Evacuated, Since: unixMS, By: c.By, Reason: c.Reason}
	if c.ForMS > 0 {
		status.Until = unixMS + c.ForMS
	}
	return status, nil
}

// returnByCommand returns an evacuated zone by the recovery ramp, sets a hold, or ends one.
func returnByCommand(c Command, current *Status, unixMS int64) (*Status, error) {
	switch {
	case c.Hold && current != nil && current.KeepInService && current.orderedBy(c):
		return current, nil
	case c.Hold:
		return &Status{State: Returning, Since: unixMS, By: c.By, Reason: c.Reason, KeepInService: true}, nil
	case current == nil:
		return nil, fmt.Errorf("zone: %q %w", c.Zone, ErrNotEvacuated)
	case current.KeepInService:
		return nil, nil
	case current.State == Returning:
		return current, nil
	}
	return &Status{State: Returning, Since: unixMS, FailedReturns: current.FailedReturns, By: c.By, Reason: c.Reason}, nil
}

// orderedBy tells whether a status is the result of the same operator's command for the same reason.
func (s *Status) orderedBy(c Command) bool { return s.By == c.By && s.Reason == c.Reason }
