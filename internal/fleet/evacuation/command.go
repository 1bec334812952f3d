package evacuation

import (
	"errors"
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"

	"dewhitch/internal/fleet"
)

// Command is an operator's command on a zone. Its encoding is the argument of the fleet's "leave" and "return" commands.
type Command struct {
	By     string `cbor:"1,keyasint"`           // name of the operator
	Reason string `cbor:"2,keyasint"`           // shown to operators
	Zone   string `cbor:"3,keyasint"`           // name of the zone
	ForMS  int64  `cbor:"4,keyasint,omitempty"` // duration of a leave command in ms; 0: until the return command
	Hold   bool   `cbor:"5,keyasint,omitempty"` // makes a return command forbid the fleet to evacuate the zone
}

// Limits on the fields of a Command.
const (
	maxTextLength     = 512                  // bytes in the operator's name, and in the reason
	maxZoneNameLength = 64                   // bytes in the zone's name
	maxDurationMS     = 7 * 24 * 3600 * 1000 // a week
)

// Errors of a rejected command, for errors.Is.
var (
	ErrIncomplete   = errors.New("zone: which zone, who asks, and why, in up to 512 bytes each")
	ErrDuration     = errors.New("a week at most")
	ErrNotEvacuated = errors.New("is not out")
)

// Encode returns the command in CBOR, as the argument of a fleet command.
func (c Command) Encode() []byte {
	b, err := cbor.Marshal(c)
	if err != nil {
		panic("evacuation: encode command: " + err.Error()) // unreachable: CBOR encodes every type in Command
	}
	return b
}

// decode decodes a command and checks its fields. It returns a CBOR error, ErrIncomplete or ErrDuration.
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

// Commands returns the handlers of the operators' commands by name. The leader runs them.
func Commands() map[string]fleet.CommandHandler {
	return map[string]fleet.CommandHandler{
		"leave":  zoneCommandHandler(evacuateByCommand),
		"return": zoneCommandHandler(returnByCommand),
	}
}

// decision returns the status that a command gives to a zone, from the zone's current status. A nil status stands for a zone in
// service.
type decision func(c Command, current *Status, unixMS int64) (*Status, error)

// zoneCommandHandler returns a command handler that applies a decision to the zones' section of the plan. The handler returns nil if
// the command does not change the section.
func zoneCommandHandler(decide decision) fleet.CommandHandler {
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

// evacuateByCommand evacuates a zone for ForMS or until the return command. It is idempotent, so that the command can be sent again.
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

// returnByCommand returns an evacuated zone to service over the recovery ramp, or sets a hold, or ends a hold. It returns
// ErrNotEvacuated if the zone is in service and the command sets no hold.
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

// orderedBy returns true if the status results from a command by the same operator for the same reason.
func (s *Status) orderedBy(c Command) bool { return s.By == c.By && s.Reason == c.Reason }
