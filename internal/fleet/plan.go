package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Bounds of a plan, as it goes to every member and is kept in memory there.
const (
	maxSections = 16
	maxPlanSize = 256 << 10 // bytes of names and sections
)

// The plan's sections that this package defines.
const (
	sectionVoters = "voters" // map[string]uint64: identities in the log, by member
	SectionFreeze = "freeze" // OperatorMark: while it is there the leader changes nothing of its own accord
)

const cborNull = 0xf6 // a removed section, as a change encodes it

// Reasons for which a committed change has no effect.
var (
	errPlanChanged  = errors.New("fleet: the plan has moved on")
	errPlanTooLarge = errors.New("fleet: the plan would be too large")
)

// Plan is what the fleet has agreed on: CBOR sections by name, opaque to the log.
type Plan struct {
	Epoch    Epoch                      `cbor:"1,keyasint"`
	Sections map[string]cbor.RawMessage `cbor:"2,keyasint"`
}

// Section decodes a section into v; false: the plan has none of that name.
func (p *Plan) Section(name string, v any) (bool, error) {
	raw, ok := p.Sections[name]
	if !ok {
		return false, nil
	}
	return true, cbor.Unmarshal(raw, v)
}

// Digest is a hash of epoch and sections, equal at two members if their plans are.
func (p *Plan) Digest() uint64 {
	h := xxhash.New()
	fmt.Fprintln(h, p.Epoch)
	for _, name := range slices.Sorted(maps.Keys(p.Sections)) {
		fmt.Fprintf(h, "%s %d ", name, len(p.Sections[name]))
		h.Write(p.Sections[name])
	}
	return h.Sum64()
}

// withinBounds tells whether a plan may be adopted.
func (p *Plan) withinBounds() bool {
	size := 0
	for name, s := range p.Sections {
		size += len(name) + len(s)
	}
	return len(p.Sections) <= maxSections && size <= maxPlanSize
}

// voters are the voters' identities in the log, by member.
func (p *Plan) voters() map[string]uint64 {
	v := map[string]uint64{}
	if _, err := p.Section(sectionVoters, &v); err != nil {
		return nil
	}
	return v
}

// change is an entry of the log: a compare-and-set of sections on the plan of epoch Base.
type change struct {
	Base Epoch                      `cbor:"1,keyasint"`
	Set  map[string]cbor.RawMessage `cbor:"2,keyasint"` // an empty section is removed
	ID   string                     `cbor:"3,keyasint"` // of the command, or the leader's own
}

// apply returns the plan after a change, under epoch e; with an error the plan is unchanged. It must stay
// deterministic: every voter, of whatever version, applies each entry itself.
func (p Plan) apply(c change, e Epoch) (Plan, error) {
	if c.Base != p.Epoch {
		return p, errPlanChanged
	}
	next := Plan{Epoch: e, Sections: maps.Clone(p.Sections)}
	if next.Sections == nil {
		next.Sections = map[string]cbor.RawMessage{}
	}
	for name, s := range c.Set {
		if len(s) == 0 || len(s) == 1 && s[0] == cborNull {
			delete(next.Sections, name)
		} else {
			next.Sections[name] = s
		}
	}
	if !next.withinBounds() {
		return p, errPlanTooLarge
	}
	return next, nil
}
