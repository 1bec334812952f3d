// Package fleet is what gateways know of one another and settle together: the members and what they see, the plan that
// a quorum of voters commits, and how all learn it. It is pure: it does no I/O and reads no clock; whoever owns a Node
// hands it time, messages and members, and carries out what it asks for. docs/design/fleet.md has the promises.
package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
)

// Epoch orders plans: the founding of the log that settled one, and its place in that log.
type Epoch struct {
	Generation uint64 `cbor:"1,keyasint"`
	Index      uint64 `cbor:"2,keyasint"`
}

// Less tells whether e comes before o.
func (e Epoch) Less(o Epoch) bool {
	return e.Generation < o.Generation || e.Generation == o.Generation && e.Index < o.Index
}

// String is the epoch as people read it.
func (e Epoch) String() string { return fmt.Sprintf("%d.%d", e.Generation, e.Index) }

// MarshalText implements encoding.TextMarshaler.
func (e Epoch) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (e *Epoch) UnmarshalText(b []byte) (err error) {
	founding, number, ok := strings.Cut(string(b), ".")
	if !ok {
		return fmt.Errorf("fleet: %q is no epoch", b)
	}
	if e.Generation, err = strconv.ParseUint(founding, 10, 64); err != nil {
		return err
	}
	e.Index, err = strconv.ParseUint(number, 10, 64)
	return err
}

// Plan is what the fleet has settled: sections by name, which the log does not look into.
type Plan struct {
	Epoch    Epoch                      `cbor:"1,keyasint"`
	Sections map[string]cbor.RawMessage `cbor:"2,keyasint"`
}

// The bounds of a plan: it goes to every member, and waits in memory there.
const (
	maxSections = 16
	maxPlanSize = 256 << 10
)

// Section reads a section into v; false: there is none.
func (p *Plan) Section(name string, v any) (bool, error) {
	raw, ok := p.Sections[name]
	if !ok {
		return false, nil
	}
	return true, cbor.Unmarshal(raw, v)
}

// Digest is a number by which two members can tell that their plans are the same.
func (p *Plan) Digest() uint64 {
	h := xxhash.New()
	fmt.Fprintln(h, p.Epoch)
	for _, name := range slices.Sorted(maps.Keys(p.Sections)) {
		fmt.Fprintf(h, "%s %d ", name, len(p.Sections[name]))
		h.Write(p.Sections[name])
	}
	return h.Sum64()
}

// size in bytes, near enough.
func (p *Plan) size() (n int) {
	for name, s := range p.Sections {
		n += len(name) + len(s)
	}
	return n
}

// change is an entry of the log: on a plan of epoch Base, set these sections; an empty one removes a section.
type change struct {
	Base Epoch                      `cbor:"1,keyasint"`
	Set  map[string]cbor.RawMessage `cbor:"2,keyasint"`
	ID   string                     `cbor:"3,keyasint"` // of the ask that it answers, or empty
}

// The reasons for which a change is void.
var (
	errPlanChanged  = errors.New("fleet: the plan has moved on")
	errPlanTooLarge = errors.New("fleet: the plan would be too large")
)

const cborNull = 0xf6 // an empty section, as it is encoded

// apply is the plan after a change, under an epoch; all voters come to the same.
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
	if len(next.Sections) > maxSections || next.size() > maxPlanSize {
		return p, errPlanTooLarge
	}
	return next, nil
}

// OperatorMark is what an operator said, and when.
type OperatorMark struct {
	By     string `cbor:"1,keyasint" json:"by"`
	Reason string `cbor:"2,keyasint" json:"why"`
	At     int64  `cbor:"3,keyasint" json:"at"` // Unix ms, by the leader's clock
}

// The sections of this package.
const (
	sectionVoters = "voters" // map[string]uint64: identities in the log, by name
	SectionFreeze = "freeze" // Mark: nothing is settled of itself while it stands
)

// Frozen is the operators' mark that nothing is to be settled of itself.
func (p *Plan) Frozen() (m OperatorMark, ok bool) {
	ok, err := p.Section(SectionFreeze, &m)
	return m, ok && err == nil
}

// voters are the identities that the plan has, by name.
func (p *Plan) voters() map[string]uint64 {
	v := map[string]uint64{}
	if _, err := p.Section(sectionVoters, &v); err != nil {
		return nil
	}
	return v
}

func encode(v any) cbor.RawMessage {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("fleet: " + err.Error()) // types of this package, all of which can be
	}
	return b
}
