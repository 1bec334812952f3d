// Package maintenance settles which machines are out for work, in which order, and who has acknowledged that. It is pure: requests
// are a section of the plan, operators' calls change it by deciders, and the leader steps it on by what it sees of the fleet.
// docs/design/work.md has the turn, the bounds and the ways not taken.
package maintenance

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"dewhitch/internal/fleet"
)

// Section is where the plan has the book.
const Section = "work"

// State is that of a machine, or of a request.
type State string

// The states.
const (
	Waiting   State = ""          // of both
	Announced State = "announced" // of a machine: nothing new goes there, by whoever has acknowledged
	Free      State = "free"      // of a machine: nothing goes there at all
	Back      State = "back"      // of a machine: it is used again, and has to prove itself
	Held      State = "held"      // of both: a person has to look
	Done      State = "done"      // of both
	Cancelled State = "cancelled" // of both
)

// Kind is what is to be done to machines.
type Kind string

// The kinds.
const (
	Restart Kind = "restart"
	Replace Kind = "replace" // it comes back under another id, and this one not at all
	Off     Kind = "off"     // it does not come back
)

// Machine is one of a request's.
type Machine struct {
	Name  string `cbor:"1,keyasint" json:"name"`
	State State  `cbor:"2,keyasint,omitempty" json:"state,omitempty"`
	Since int64  `cbor:"3,keyasint,omitempty" json:"since,omitempty"` // of this state, Unix ms
	Until int64  `cbor:"4,keyasint,omitempty" json:"until,omitempty"` // of being free
	Turn  uint64 `cbor:"5,keyasint,omitempty" json:"turn,omitempty"`  // numbers announcements: an acknowledgement of another one is none
	Note  string `cbor:"6,keyasint,omitempty" json:"note,omitempty"`  // why it waits, and for whom
	Life  int64  `cbor:"7,keyasint,omitempty" json:"life,omitempty"`  // of a gateway: which process was announced; another one is back
}

// Request is what somebody asked for.
type Request struct {
	ID          uint64    `cbor:"1,keyasint" json:"id"`
	Key         string    `cbor:"2,keyasint" json:"key"`
	By          string    `cbor:"3,keyasint" json:"by"`
	Reason      string    `cbor:"4,keyasint" json:"why"`
	Kind        Kind      `cbor:"5,keyasint" json:"kind"`
	ForMS       int64     `cbor:"6,keyasint" json:"for_ms"` // how long a machine may be free
	NotBefore   int64     `cbor:"7,keyasint,omitempty" json:"not_before,omitempty"`
	After       uint64    `cbor:"8,keyasint,omitempty" json:"after,omitempty"` // another request, that has to have ended
	RequestedAt int64     `cbor:"9,keyasint" json:"asked"`
	State       State     `cbor:"10,keyasint,omitempty" json:"state,omitempty"`
	Note        string    `cbor:"11,keyasint,omitempty" json:"note,omitempty"`
	Passed      int       `cbor:"12,keyasint,omitempty" json:"passed,omitempty"` // by younger ones
	Machines    []Machine `cbor:"13,keyasint" json:"machines"`
}

// Schedule is the section.
type Schedule struct {
	Next     uint64           `cbor:"1,keyasint" json:"next"`
	Turns    uint64           `cbor:"2,keyasint" json:"turns"`
	Requests []Request        `cbor:"3,keyasint" json:"requests"`
	Roster   map[string]int64 `cbor:"4,keyasint" json:"roster"` // gateways that may send to servers, since when they are known
	Off      []string         `cbor:"5,keyasint" json:"off"`    // machines that were taken out for good
}

// The bounds of a book.
const (
	mostOpen     = 128 // requests that have not ended
	mostEnded    = 64  // that are remembered
	mostMachines = 256 // of a request
	mostOut      = 1024
	mostText     = 512
	mostName     = 64
	mostFor      = 24 * 3600 * 1000 // ms
)

// sorted encodes maps in one order. Danger: in any order the same book is other bytes each time, and each a new plan.
var sorted = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("work: " + err.Error()) // of constant options
	}
	return m
}()

// Set is the book as a section of the plan.
func Set(b Schedule) map[string]cbor.RawMessage {
	raw, err := sorted.Marshal(b)
	if err != nil {
		panic("work: " + err.Error()) // of plain types
	}
	return map[string]cbor.RawMessage{Section: raw}
}

// Read reads the book of a plan.
func Read(p *fleet.Plan) (b Schedule, err error) {
	_, err = p.Section(Section, &b)
	return b, err
}

// clone copies what a change may touch.
func (b Schedule) clone() Schedule {
	b.Requests, b.Roster, b.Off = slices.Clone(b.Requests), maps.Clone(b.Roster), slices.Clone(b.Off)
	for i := range b.Requests {
		b.Requests[i].Machines = slices.Clone(b.Requests[i].Machines)
	}
	return b
}

// ended tells whether a request is over.
func (r *Request) ended() bool { return r.State == Done || r.State == Cancelled }

// Withdrawn are the machines that nothing new may be sent to, with the number of their turn; those that are off have none.
func (b Schedule) Withdrawn() map[string]uint64 {
	away := map[string]uint64{}
	for _, name := range b.Off {
		away[name] = 0
	}
	for _, r := range b.Requests {
		for _, m := range r.Machines {
			if m.State == Announced || m.State == Free || m.State == Held && m.Turn > 0 {
				away[m.Name] = m.Turn
			}
		}
	}
	return away
}

// Command is what an operator says.
type Command struct {
	By        string   `cbor:"1,keyasint"`
	Reason    string   `cbor:"2,keyasint"`
	Key       string   `cbor:"3,keyasint,omitempty"`
	Kind      Kind     `cbor:"4,keyasint,omitempty"`
	ForMS     int64    `cbor:"5,keyasint,omitempty"`
	NotBefore int64    `cbor:"6,keyasint,omitempty"`
	After     uint64   `cbor:"7,keyasint,omitempty"`
	Machines  []string `cbor:"8,keyasint,omitempty"`
	ID        uint64   `cbor:"9,keyasint,omitempty"` // of a request that the call is about
}

// Encode is a call as the arguments of an ask.
func (c Command) Encode() []byte {
	b, err := cbor.Marshal(c)
	if err != nil {
		panic("work: " + err.Error())
	}
	return b
}

func (c *Command) check() error {
	switch {
	case c.By == "" || c.Reason == "" || len(c.By) > mostText || len(c.Reason) > mostText:
		return errors.New("work: who asks, and why, in up to 512 bytes each")
	case len(c.Machines) > mostMachines:
		return fmt.Errorf("work: %d machines, %d at most", len(c.Machines), mostMachines)
	}
	for i, m := range c.Machines {
		if m == "" || len(m) > mostName || strings.ContainsAny(m, " \t\r\n") || slices.Contains(c.Machines[:i], m) {
			return fmt.Errorf("work: %q is no machine, or is named twice", m)
		}
	}
	return nil
}

// Commands are the operators' calls.
func Commands() map[string]fleet.CommandHandler {
	with := func(f func(b *Schedule, c Command, unix int64) error) fleet.CommandHandler {
		return func(p *fleet.Plan, args []byte, unix int64) (map[string]cbor.RawMessage, error) {
			var c Command
			if err := cbor.Unmarshal(args, &c); err != nil {
				return nil, err
			}
			if err := c.check(); err != nil {
				return nil, err
			}
			old, err := Read(p)
			if err != nil {
				return nil, err
			}
			next := old.clone()
			if err := f(&next, c, unix); err != nil {
				return nil, err
			}
			if slices.Equal(Set(old)[Section], Set(next)[Section]) {
				return nil, nil // it is settled already
			}
			return Set(next), nil
		}
	}
	return map[string]fleet.CommandHandler{"work-request": with(request), "work-cancel": with(cancel), "work-done": with(done),
		"work-hold": with(hold), "work-resume": with(resume), "work-gone": with(gone)}
}

// request adds a request. The same key again is the same request, however often it comes and by whomever it is passed on.
func request(b *Schedule, c Command, unix int64) error {
	if len(c.Machines) == 0 {
		return errors.New("work: no machines")
	}
	if c.Kind != Restart && c.Kind != Replace && c.Kind != Off {
		return fmt.Errorf("work: kind %q; restart, replace or off", c.Kind)
	}
	if c.ForMS <= 0 || c.ForMS > mostFor {
		return fmt.Errorf("work: for %d ms; more than none, and a day at most", c.ForMS)
	}
	if c.Key == "" || len(c.Key) > mostText {
		return errors.New("work: a key, in up to 512 bytes")
	}
	open := 0
	for i := range b.Requests {
		r := &b.Requests[i]
		if r.Key == c.Key {
			same := r.Kind == c.Kind && r.ForMS == c.ForMS && slices.EqualFunc(r.Machines, c.Machines, func(m Machine, n string) bool { return m.Name == n })
			if !same {
				return fmt.Errorf("work: key %q is that of request %d, which asks for something else", c.Key, r.ID)
			}
			return nil
		}
		if r.ended() {
			continue
		}
		open++
		for _, m := range r.Machines {
			if m.State != Done && m.State != Cancelled && slices.Contains(c.Machines, m.Name) {
				return fmt.Errorf("work: %s is asked for already, in request %d by %s", m.Name, r.ID, r.By)
			}
		}
	}
	if open >= mostOpen {
		return fmt.Errorf("work: %d requests are open", open)
	}
	if c.After != 0 && b.find(c.After) == nil {
		return fmt.Errorf("work: no request %d to come after", c.After)
	}
	b.Next++
	r := Request{ID: b.Next, Key: c.Key, By: c.By, Reason: c.Reason, Kind: c.Kind, ForMS: c.ForMS, NotBefore: c.NotBefore, After: c.After, RequestedAt: unix}
	for _, m := range c.Machines {
		r.Machines = append(r.Machines, Machine{Name: m, Since: unix})
		b.Off = slices.DeleteFunc(b.Off, func(o string) bool { return o == m })
	}
	b.Requests = append(b.Requests, r)
	return nil
}

func (b *Schedule) find(id uint64) *Request {
	for i := range b.Requests {
		if b.Requests[i].ID == id {
			return &b.Requests[i]
		}
	}
	return nil
}

// open finds a request that has not ended.
func (b *Schedule) open(id uint64) (*Request, error) {
	r := b.find(id)
	if r == nil {
		return nil, fmt.Errorf("work: no request %d", id)
	}
	if r.ended() {
		return nil, fmt.Errorf("work: request %d is %s", id, r.State)
	}
	return r, nil
}

// cancel ends what has not begun. Danger: a machine that is free may be in pieces; only who works on it can say that it is done.
func cancel(b *Schedule, c Command, unix int64) error {
	r, err := b.open(c.ID)
	if err != nil {
		return err
	}
	for i := range r.Machines {
		if m := &r.Machines[i]; m.State == Waiting || m.State == Announced || m.State == Held && m.Turn == 0 {
			m.State, m.Since, m.Note = Cancelled, unix, "cancelled by "+c.By
		}
	}
	r.Note = "cancelled by " + c.By + ": " + c.Reason
	r.settle()
	return nil
}

// done says that the work on machines is done: all that are free or held of the request, or those that are named.
func done(b *Schedule, c Command, unix int64) error {
	r, err := b.open(c.ID)
	if err != nil {
		return err
	}
	some := false
	for i := range r.Machines {
		m := &r.Machines[i]
		if len(c.Machines) > 0 && !slices.Contains(c.Machines, m.Name) {
			continue
		}
		switch {
		case m.State == Free || m.State == Held && m.Turn > 0:
			b.over(r, m, unix, "done, says "+c.By)
			some = true
		case len(c.Machines) > 0 && m.State != Back && m.State != Done:
			return fmt.Errorf("work: %s of request %d is %s, not free", m.Name, r.ID, m.State)
		}
	}
	if !some && len(c.Machines) == 0 {
		return fmt.Errorf("work: no machine of request %d is free", r.ID)
	}
	r.settle()
	return nil
}

// over has a machine's work be done: it comes back, or not, by the kind.
func (b *Schedule) over(r *Request, m *Machine, unix int64, note string) {
	m.State, m.Since, m.Until, m.Note = Back, unix, 0, note
	if r.Kind != Restart {
		m.State = Done
		b.Off = append(b.Off, m.Name)
		if len(b.Off) > mostOut {
			b.Off = b.Off[1:]
		}
	}
}

func hold(b *Schedule, c Command, _ int64) error {
	r, err := b.open(c.ID)
	if err != nil {
		return err
	}
	r.State, r.Note = Held, "held by "+c.By+": "+c.Reason
	return nil
}

// resume has a request go on: what was held of it waits again, or comes back if it had its turn.
func resume(b *Schedule, c Command, unix int64) error {
	r, err := b.open(c.ID)
	if err != nil {
		return err
	}
	for i := range r.Machines {
		if m := &r.Machines[i]; m.State == Held {
			m.State, m.Since, m.Note = Waiting, unix, "resumed by "+c.By
			if m.Turn > 0 {
				m.State = Back
			}
		}
	}
	r.State, r.Note = Waiting, "resumed by "+c.By+": "+c.Reason
	return nil
}

// gone says that gateways are over, whose end nobody heard: they are not waited for any more.
func gone(b *Schedule, c Command, _ int64) error {
	if len(c.Machines) == 0 {
		return errors.New("work: no gateway named")
	}
	for _, name := range c.Machines {
		if _, ok := b.Roster[name]; !ok {
			return fmt.Errorf("work: nobody waits for a gateway %q", name)
		}
		delete(b.Roster, name)
	}
	return nil
}

// settle ends a request whose machines have all ended.
func (r *Request) settle() {
	ended, all := 0, len(r.Machines)
	cancelled := 0
	for _, m := range r.Machines {
		if m.State == Done || m.State == Cancelled {
			ended++
		}
		if m.State == Cancelled {
			cancelled++
		}
	}
	switch {
	case ended < all:
	case cancelled > 0:
		r.State = Cancelled
	default:
		r.State = Done
	}
}

// String is the state as people read it.
func (s State) String() string {
	if s == Waiting {
		return "waiting"
	}
	return string(s)
}
