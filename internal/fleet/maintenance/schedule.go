// Package maintenance schedules machines (servers and gateways) for maintenance: which of them may be out at once, in which order, and
// which gateways have acknowledged that they send a machine nothing new. The Schedule is a section of the plan. Operators' commands
// change it, and the leader's Scheduler advances it by what it observes of the fleet.
//
// The package is pure: it has no clock, no goroutine and no I/O, and nothing in it may be called concurrently. The owner (package
// agent) calls Scheduler.Observe for each server in a gateway's load report. On the leader it then calls Step several times a second,
// with the schedule of the current plan, and proposes the returned one. A change holds once the plan has it.
//
// docs/design/work.md has the rules and the alternatives that were rejected.
package maintenance

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"dewhitch/internal/fleet"
)

// Section is the key of the plan's section that holds the Schedule.
const Section = "work"

// State is that of a machine or of a request. The values are stored in the plan.
type State string

// The states of a machine are Waiting, Announced, Free, Returned and Done, in this order, or OnHold or Cancelled. Those of a request are
// Waiting, OnHold, Done and Cancelled.
const (
	Waiting   State = ""          // in service, until the machine's turn
	Announced State = "announced" // gateways that have acknowledged the turn send nothing new to the machine
	Released  State = "free"      // no gateway sends to the machine; maintenance may begin
	Returned  State = "back"      // in service again, until it has proved its health
	OnHold    State = "held"      // an operator has to decide
	Done      State = "done"
	Cancelled State = "cancelled"
)

// String is the state as operators read it.
func (s State) String() string {
	if s == Waiting {
		return "waiting"
	}
	return string(s)
}

// Kind is the kind of maintenance. The values are stored in the plan.
type Kind string

// The kinds.
const (
	Restart Kind = "restart" // the machine returns
	Replace Kind = "replace" // another machine replaces it, under another name
	Off     Kind = "off"     // the machine does not return
)

// Machine is one machine of a request.
type Machine struct {
	Name             string `cbor:"1,keyasint" json:"name"`
	State            State  `cbor:"2,keyasint,omitempty" json:"state,omitempty"`
	Since            int64  `cbor:"3,keyasint,omitempty" json:"since,omitempty"` // start of this state, Unix ms
	Until            int64  `cbor:"4,keyasint,omitempty" json:"until,omitempty"` // end of Free, Unix ms
	AnnouncementID   uint64 `cbor:"5,keyasint,omitempty" json:"turn,omitempty"`  // number of the announcement; an acknowledgement of another one does not count
	Note             string `cbor:"6,keyasint,omitempty" json:"note,omitempty"`  // why it waits and for which gateways, for operators
	ProcessStartedAt int64  `cbor:"7,keyasint,omitempty" json:"life,omitempty"`  // of a gateway: the process that was announced; a different one has returned
}

// enter changes the state of the machine.
func (m *Machine) enter(state State, unix int64, note string) {
	m.State = state
	m.Since = unix
	m.Note = note
}

// withdrawn tells whether nothing new may be sent to the machine.
func (m *Machine) withdrawn() bool {
	return m.State == Announced || m.State == Released || m.onHoldAfterAnnouncement()
}

// out tells whether the machine is withdrawn, or has returned and not proved its health yet.
func (m *Machine) out() bool { return m.withdrawn() || m.State == Returned }

// onHoldAfterAnnouncement tells whether the machine was put on hold after its turn had been announced.
func (m *Machine) onHoldAfterAnnouncement() bool { return m.State == OnHold && m.AnnouncementID > 0 }

// ended tells whether nothing more happens to the machine.
func (m *Machine) ended() bool { return m.State == Done || m.State == Cancelled }

// Request is an operator's request for maintenance of machines. Its machines have their turns one after the other, in this order.
type Request struct {
	ID          uint64    `cbor:"1,keyasint" json:"id"`
	Key         string    `cbor:"2,keyasint" json:"key"` // idempotency key
	By          string    `cbor:"3,keyasint" json:"by"`  // the operator
	Reason      string    `cbor:"4,keyasint" json:"why"`
	Kind        Kind      `cbor:"5,keyasint" json:"kind"`
	ForMS       int64     `cbor:"6,keyasint" json:"for_ms"`                         // longest time that a machine is Free, ms
	NotBefore   int64     `cbor:"7,keyasint,omitempty" json:"not_before,omitempty"` // Unix ms
	After       uint64    `cbor:"8,keyasint,omitempty" json:"after,omitempty"`      // ID of a request that has to end first
	RequestedAt int64     `cbor:"9,keyasint" json:"asked"`                          // Unix ms
	State       State     `cbor:"10,keyasint,omitempty" json:"state,omitempty"`     // see State
	Note        string    `cbor:"11,keyasint,omitempty" json:"note,omitempty"`      // why it waits, for operators
	Overtaken   int       `cbor:"12,keyasint,omitempty" json:"passed,omitempty"`    // turns of younger requests while this one could not begin
	Machines    []Machine `cbor:"13,keyasint" json:"machines"`
}

// ended tells whether the request is over.
func (r *Request) ended() bool { return r.State == Done || r.State == Cancelled }

// hasWaiting tells whether a machine of the request waits for its turn.
func (r *Request) hasWaiting() bool {
	return slices.ContainsFunc(r.Machines, func(m Machine) bool { return m.State == Waiting })
}

// endWithMachines ends a request whose machines have all ended: as cancelled if any of them was.
func (r *Request) endWithMachines() {
	cancelled := false
	for i := range r.Machines {
		m := &r.Machines[i]
		if !m.ended() {
			return
		}
		cancelled = cancelled || m.State == Cancelled
	}
	r.State = Done
	if cancelled {
		r.State = Cancelled
	}
}

// Schedule is the section of the plan. It is durable as part of it.
type Schedule struct {
	LastID             uint64           `cbor:"1,keyasint" json:"next"`  // last ID that was given to a request
	LastAnnouncementID uint64           `cbor:"2,keyasint" json:"turns"` // last number that was given to an announcement
	Requests           []Request        `cbor:"3,keyasint" json:"requests"`
	Roster             map[string]int64 `cbor:"4,keyasint" json:"roster"` // gateways that may send to servers, and since when they are known, Unix ms
	Off                []string         `cbor:"5,keyasint" json:"off"`    // machines that were taken out for good
}

// Bounds of a schedule.
const (
	maxOpen     = 128 // requests that have not ended
	maxEnded    = 64  // ended requests that are remembered
	maxMachines = 256 // of a request
	maxOff      = 1024
)

// deterministicMode encodes maps in one order: in a random order the same schedule would be other bytes each time, and each a new plan.
var deterministicMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("work: " + err.Error()) // the options are constant
	}
	return m
}()

// encode returns the bytes of a schedule, which are the same for equal schedules.
func (s Schedule) encode() []byte {
	raw, err := deterministicMode.Marshal(s)
	if err != nil {
		panic("work: " + err.Error()) // Schedule has only types that can be encoded
	}
	return raw
}

// EncodeSection encodes a schedule as a section of the plan.
func EncodeSection(s Schedule) map[string]cbor.RawMessage {
	return map[string]cbor.RawMessage{Section: s.encode()}
}

// Read decodes the schedule of a plan; a plan without one has an empty schedule.
func Read(p *fleet.Plan) (s Schedule, err error) {
	_, err = p.Section(Section, &s)
	return s, err
}

// clone copies all that a change may touch.
func (s Schedule) clone() Schedule {
	s.Requests = slices.Clone(s.Requests)
	s.Roster = maps.Clone(s.Roster)
	s.Off = slices.Clone(s.Off)
	for i := range s.Requests {
		s.Requests[i].Machines = slices.Clone(s.Requests[i].Machines)
	}
	return s
}

// withoutNotes returns a copy without the notes, which change with the figures in them.
func (s Schedule) withoutNotes() Schedule {
	s = s.clone()
	for i := range s.Requests {
		s.Requests[i].Note = ""
		for j := range s.Requests[i].Machines {
			s.Requests[i].Machines[j].Note = ""
		}
	}
	return s
}

// Withdrawn returns the machines that nothing new may be sent to, with the number of their turn; 0 for those that are off for good.
func (s Schedule) Withdrawn() map[string]uint64 {
	withdrawn := map[string]uint64{}
	for _, name := range s.Off {
		withdrawn[name] = 0
	}
	for _, r := range s.Requests {
		for _, m := range r.Machines {
			if m.withdrawn() {
				withdrawn[m.Name] = m.AnnouncementID
			}
		}
	}
	return withdrawn
}

// hasOpen tells whether any request has not ended.
func (s *Schedule) hasOpen() bool {
	return slices.ContainsFunc(s.Requests, func(r Request) bool { return !r.ended() })
}

// find returns a request by its ID, or nil.
func (s *Schedule) find(id uint64) *Request {
	for i := range s.Requests {
		if s.Requests[i].ID == id {
			return &s.Requests[i]
		}
	}
	return nil
}

// endWork ends the maintenance of a machine: after a restart it returns, otherwise it is off for good.
func (s *Schedule) endWork(r *Request, m *Machine, unix int64, note string) {
	m.enter(Returned, unix, note)
	m.Until = 0
	if r.Kind == Restart {
		return
	}
	m.State = Done
	s.Off = append(s.Off, m.Name)
	if len(s.Off) > maxOff {
		s.Off = s.Off[1:]
	}
}

// dropEnded forgets the oldest ended requests beyond maxEnded.
func (s *Schedule) dropEnded() {
	ended := 0
	for _, r := range s.Requests {
		if r.ended() {
			ended++
		}
	}
	s.Requests = slices.DeleteFunc(s.Requests, func(r Request) bool {
		if !r.ended() || ended <= maxEnded {
			return false
		}
		ended--
		return true
	})
}
