package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Bounds of a plan, which every member receives and keeps in memory.
const (
	maxSections = 16
	maxPlanSize = 256 << 10 // limit in bytes on all section names and contents together
)

// Names of the plan's sections that this package defines.
const (
	sectionVoters = "voters" // map[string]uint64: identity in the log by member name
	SectionFreeze = "freeze" // OperatorMark: while present, the leader changes nothing on its own initiative
)

const cborNull = 0xf6 // encoding of a removed section in a change

// Errors of committed changes that have no effect.
var (
	errPlanChanged  = errors.New("fleet: the plan has moved on")
	errPlanTooLarge = errors.New("fleet: the plan would be too large")
)

// Plan is the fleet's agreed configuration: CBOR sections by name, whose content is opaque to the log.
type Plan struct {
	Epoch    Epoch                      `cbor:"1,keyasint"`
	Sections map[string]cbor.RawMessage `cbor:"2,keyasint"`
}

// Section decodes a section into v. It returns false if the plan has no section with that name.
func (p *Plan) Section(name string, v any) (bool, error) {
	raw, ok := p.Sections[name]
	if !ok {
		return false, nil
	}
	return true, cbor.Unmarshal(raw, v)
}

// Digest returns a hash of the epoch and all sections. Equal plans have equal digests at all members.
func (p *Plan) Digest() uint64 {
	h := xxhash.New()
	fmt.Fprintln(h, p.Epoch)
	for _, name := range slices.Sorted(maps.Keys(p.Sections)) {
		fmt.Fprintf(h, "%s %d ", name, len(p.Sections[name]))
		h.Write(p.Sections[name])
	}
	return h.Sum64()
}

// withinBounds returns true if the plan is small enough to be adopted.
func (p *Plan) withinBounds() bool {
	size := 0
	for name, s := range p.Sections {
		size += len(name) + len(s)
	}
	return len(p.Sections) <= maxSections && size <= maxPlanSize
}

// voters returns the voters' identities in the log by member name. It returns nil if the section can't be decoded.
func (p *Plan) voters() map[string]uint64 {
	v := map[string]uint64{}
	if _, err := p.Section(sectionVoters, &v); err != nil {
		return nil
	}
	return v
}

// change is an entry of the log: a compare-and-set of sections on the plan with epoch Base.
type change struct {
	Base Epoch                      `cbor:"1,keyasint"`
	Set  map[string]cbor.RawMessage `cbor:"2,keyasint"` // new content by section name; empty content removes the section
	ID   string                     `cbor:"3,keyasint"` // ID of the command, or an ID that the leader generated
}

// apply returns the plan after a change, with epoch e. If it returns an error, the plan is unchanged. It must be
// deterministic and the same in all versions of the program, because each voter applies every entry itself.
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
