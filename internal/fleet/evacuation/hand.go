package evacuation

import (
	"errors"
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"

	"dewhitch/internal/fleet"
)

// Set is the verdicts as a section of the plan.
func Set(v Statuses) map[string]cbor.RawMessage {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("zone: " + err.Error()) // of plain types
	}
	return map[string]cbor.RawMessage{Section: b}
}

// Command is what an operator says of a zone.
type Command struct {
	By     string `cbor:"1,keyasint"`
	Reason string `cbor:"2,keyasint"`
	Zone   string `cbor:"3,keyasint"`
	ForMS  int64  `cbor:"4,keyasint,omitempty"` // how long to stay away; 0: until return
	Hold   bool   `cbor:"5,keyasint,omitempty"` // with return: the fleet does not leave it of itself
}

// Encode is a call as the arguments of an ask.
func (c Command) Encode() []byte {
	b, err := cbor.Marshal(c)
	if err != nil {
		panic("zone: " + err.Error())
	}
	return b
}

const (
	mostWords = 512
	mostFor   = 7 * 24 * 3600 * 1000 // ms
)

var errCall = errors.New("zone: which zone, who asks, and why, in up to 512 bytes each")

func read(args []byte) (c Command, err error) {
	if err := cbor.Unmarshal(args, &c); err != nil {
		return c, err
	}
	if c.By == "" || c.Reason == "" || c.Zone == "" || len(c.By) > mostWords || len(c.Reason) > mostWords || len(c.Zone) > 64 {
		return c, errCall
	}
	if c.ForMS < 0 || c.ForMS > mostFor {
		return c, fmt.Errorf("zone: for %d ms; a week at most", c.ForMS)
	}
	return c, nil
}

// Commands are the operators' calls: leave and return.
func Commands() map[string]fleet.CommandHandler {
	with := func(f func(c Command, old Status, had bool, unix int64) (Status, bool, error)) fleet.CommandHandler {
		return func(p *fleet.Plan, args []byte, unix int64) (map[string]cbor.RawMessage, error) {
			c, err := read(args)
			if err != nil {
				return nil, err
			}
			v := Statuses{}
			if _, err := p.Section(Section, &v); err != nil {
				return nil, err
			}
			old, had := v[c.Zone]
			w, keep, err := f(c, old, had, unix)
			if err != nil {
				return nil, err
			}
			next := maps.Clone(v)
			if keep {
				next[c.Zone] = w
			} else {
				delete(next, c.Zone)
			}
			if maps.EqualFunc(v, next, equal) {
				return nil, nil // it is settled already
			}
			return Set(next), nil
		}
	}
	return map[string]fleet.CommandHandler{
		"leave": with(func(c Command, old Status, had bool, unix int64) (Status, bool, error) {
			if had && old.State == Evacuated && old.By == c.By && old.Reason == c.Reason {
				return old, true, nil
			}
			w := Status{State: Evacuated, Since: unix, By: c.By, Reason: c.Reason}
			if c.ForMS > 0 {
				w.Until = unix + c.ForMS
			}
			return w, true, nil
		}),
		"return": with(func(c Command, old Status, had bool, unix int64) (Status, bool, error) {
			if c.Hold {
				if had && old.Hold && old.By == c.By && old.Reason == c.Reason {
					return old, true, nil
				}
				return Status{State: Returning, Since: unix, By: c.By, Reason: c.Reason, Hold: true}, true, nil
			}
			switch {
			case had && old.Hold:
				return Status{}, false, nil
			case !had:
				return Status{}, false, fmt.Errorf("zone: %q is not out", c.Zone)
			case old.State == Returning:
				return old, true, nil
			}
			return Status{State: Returning, Since: unix, FailedProbes: old.FailedProbes, By: c.By, Reason: c.Reason}, true, nil
		}),
	}
}
