package zone

import (
	"errors"
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"

	"dewhitch/internal/fleet"
)

// Set is the verdicts as a section of the plan.
func Set(v Verdicts) map[string]cbor.RawMessage {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("zone: " + err.Error()) // of plain types
	}
	return map[string]cbor.RawMessage{Section: b}
}

// Call is what an operator says of a zone.
type Call struct {
	By    string `cbor:"1,keyasint"`
	Why   string `cbor:"2,keyasint"`
	Zone  string `cbor:"3,keyasint"`
	ForMS int64  `cbor:"4,keyasint,omitempty"` // how long to stay away; 0: until return
	Hold  bool   `cbor:"5,keyasint,omitempty"` // with return: the fleet does not leave it of itself
}

// Encode is a call as the arguments of an ask.
func (c Call) Encode() []byte {
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

func read(args []byte) (c Call, err error) {
	if err := cbor.Unmarshal(args, &c); err != nil {
		return c, err
	}
	if c.By == "" || c.Why == "" || c.Zone == "" || len(c.By) > mostWords || len(c.Why) > mostWords || len(c.Zone) > 64 {
		return c, errCall
	}
	if c.ForMS < 0 || c.ForMS > mostFor {
		return c, fmt.Errorf("zone: for %d ms; a week at most", c.ForMS)
	}
	return c, nil
}

// ByHand are the operators' calls: leave and return.
func ByHand() map[string]fleet.Decider {
	with := func(f func(c Call, old Verdict, had bool, unix int64) (Verdict, bool, error)) fleet.Decider {
		return func(p *fleet.Plan, args []byte, unix int64) (map[string]cbor.RawMessage, error) {
			c, err := read(args)
			if err != nil {
				return nil, err
			}
			v := Verdicts{}
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
	return map[string]fleet.Decider{
		"leave": with(func(c Call, old Verdict, had bool, unix int64) (Verdict, bool, error) {
			if had && old.State == Out && old.By == c.By && old.Why == c.Why {
				return old, true, nil
			}
			w := Verdict{State: Out, Since: unix, By: c.By, Why: c.Why}
			if c.ForMS > 0 {
				w.Until = unix + c.ForMS
			}
			return w, true, nil
		}),
		"return": with(func(c Call, old Verdict, had bool, unix int64) (Verdict, bool, error) {
			if c.Hold {
				if had && old.Hold && old.By == c.By && old.Why == c.Why {
					return old, true, nil
				}
				return Verdict{State: Returning, Since: unix, By: c.By, Why: c.Why, Hold: true}, true, nil
			}
			switch {
			case had && old.Hold:
				return Verdict{}, false, nil
			case !had:
				return Verdict{}, false, fmt.Errorf("zone: %q is not out", c.Zone)
			case old.State == Returning:
				return old, true, nil
			}
			return Verdict{State: Returning, Since: unix, Fails: old.Fails, By: c.By, Why: c.Why}, true, nil
		}),
	}
}
