// Package maintenance schedules the maintenance of machines (servers and gateways). It decides which machines are taken out of service, in
// which order and how many at the same time, and releases a machine once the gateways have acknowledged that they send it nothing new. The Schedule
// is a section of the plan. Operators' commands change it, and the leader's Scheduler advances it by what it observes of the fleet.
//
// The package has no clock, no goroutine and no I/O, and its types are not safe for concurrent use. The owner (package agent) calls
// Scheduler.Observe for each server in a gateway's load report. On the leader it also calls Step several times a second, with the schedule
// of the current plan, and proposes the returned one. A change takes effect once the plan contains it.
//
// docs/design/work.md describes the rules and the rejected alternatives.
package maintenance

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"dewhitch/internal/fleet"
)

// Section is the key of the plan's section that holds the Schedule.
const Section = "work"

// State is the state of a machine or of a request. Its value is stored in the plan.
type State string

// The states of a machine are Waiting, Announced, Released, Returned and Done, in this order, or OnHold or Cancelled. The states of a
// request are Waiting, OnHold, Done and Cancelled.
const (
	Waiting   State = ""          // the machine is in service and not announced yet
	Announced State = "announced" // gateways that have acknowledged the announcement send nothing new to the machine
	Released  State = "free"      // no gateway sends to the machine; maintenance may begin
	Returned  State = "back"      // the machine is in service again, but its health is not proved yet
	OnHold    State = "held"      // an operator has to resume, complete or cancel
	Done      State = "done"      // the maintenance has ended: the machine has proved its health, or is out of service for good
	Cancelled State = "cancelled" // the maintenance of the machine, or of one of the request's machines, was cancelled before it began
)

// String returns the state as operators read it.
func (s State) String() string {
	if s == Waiting {
		return "waiting"
	}
	return string(s)
}

// Kind is the kind of maintenance. Its value is stored in the plan.
type Kind string

// Kinds of maintenance.
const (
	Restart Kind = "restart" // the machine returns
	Replace Kind = "replace" // another machine replaces this one, under another name
	Off     Kind = "off"     // the machine does not return
)

// Machine is one machine of a request.
type Machine struct {
	Name           string `cbor:"1,keyasint" json:"name"`
	State          State  `cbor:"2,keyasint,omitempty" json:"state,omitempty"`
	Since          int64  `cbor:"3,keyasint,omitempty" json:"since,omitempty"` // start of the present state in Unix ms
	Until          int64  `cbor:"4,keyasint,omitempty" json:"until,omitempty"` // latest end of the state Released in Unix ms
	AnnouncementID uint64 `cbor:"5,keyasint,omitempty" json:"turn,omitempty"`  // ID of the last announcement, which gateways acknowledge; 0: none
	Note           string `cbor:"6,keyasint,omitempty" json:"note,omitempty"`  // reason of the present state, shown to operators

	// ProcessStartedAt is the start time, in Unix ns, of the process that a gateway had when it was announced. The gateway has returned
	// once it has a process with another start time.
	ProcessStartedAt int64 `cbor:"7,keyasint,omitempty" json:"life,omitempty"`
}

// enter changes the state of the machine.
func (m *Machine) enter(state State, unixMS int64, note string) {
	m.State = state
	m.Since = unixMS
	m.Note = note
}

// withdrawn returns true if gateways must not send new requests to the machine.
func (m *Machine) withdrawn() bool {
	return m.State == Announced || m.State == Released || m.onHoldAfterAnnouncement()
}

// out returns true if the machine is withdrawn, or has returned and not proved its health yet.
func (m *Machine) out() bool { return m.withdrawn() || m.State == Returned }

// onHoldAfterAnnouncement returns true if the machine was announced before it was put on hold.
func (m *Machine) onHoldAfterAnnouncement() bool { return m.State == OnHold && m.AnnouncementID > 0 }

// ended returns true if the machine's state no longer changes.
func (m *Machine) ended() bool { return m.State == Done || m.State == Cancelled }

// Request is an operator's request for maintenance of machines. Its machines are announced one at a time. The next one is always
// the first in the list that may be announced.
type Request struct {
	ID          uint64    `cbor:"1,keyasint" json:"id"`
	Key         string    `cbor:"2,keyasint" json:"key"`                            // idempotency key
	By          string    `cbor:"3,keyasint" json:"by"`                             // name of the operator
	Reason      string    `cbor:"4,keyasint" json:"why"`                            // reason that the operator gave
	Kind        Kind      `cbor:"5,keyasint" json:"kind"`                           // kind of the maintenance of all machines
	ForMS       int64     `cbor:"6,keyasint" json:"for_ms"`                         // longest time that each machine stays Released, in ms
	NotBefore   int64     `cbor:"7,keyasint,omitempty" json:"not_before,omitempty"` // time before which no machine is announced, in Unix ms; 0: none
	After       uint64    `cbor:"8,keyasint,omitempty" json:"after,omitempty"`      // ID of a request that has to end before this one begins; 0: none
	RequestedAt int64     `cbor:"9,keyasint" json:"asked"`                          // time of the request in Unix ms, by the leader's clock
	State       State     `cbor:"10,keyasint,omitempty" json:"state,omitempty"`     // Waiting, OnHold, Done or Cancelled
	Note        string    `cbor:"11,keyasint,omitempty" json:"note,omitempty"`      // reason of the present state, shown to operators
	Overtaken   int       `cbor:"12,keyasint,omitempty" json:"passed,omitempty"`    // announcements for younger requests while this one had to wait
	Machines    []Machine `cbor:"13,keyasint" json:"machines"`
}

// ended returns true if the request's state no longer changes.
func (r *Request) ended() bool { return r.State == Done || r.State == Cancelled }

// hasWaiting returns true if a machine of the request is waiting.
func (r *Request) hasWaiting() bool {
	return slices.ContainsFunc(r.Machines, func(m Machine) bool { return m.State == Waiting })
}

// endWithMachines ends a request whose machines have all ended. The request is cancelled if any of them is, and done otherwise.
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

// Schedule holds the requests for maintenance and the machines that are out for good. It is a section of the plan, and durable as part of
// the plan.
type Schedule struct {
	LastID             uint64           `cbor:"1,keyasint" json:"next"`     // ID of the newest request
	LastAnnouncementID uint64           `cbor:"2,keyasint" json:"turns"`    // ID of the newest announcement
	Requests           []Request        `cbor:"3,keyasint" json:"requests"` // open requests and the last ended ones, in order of their IDs
	Roster             map[string]int64 `cbor:"4,keyasint" json:"roster"`   // gateways that may send to servers, with the Unix ms at which each was added
	Off                []string         `cbor:"5,keyasint" json:"off"`      // machines that were taken out of service for good, oldest first
}

// Limits on a schedule.
const (
	maxOpen     = 128  // limit on the requests that have not ended
	maxEnded    = 64   // limit on the ended requests that are kept
	maxMachines = 256  // limit on the machines of a request
	maxOff      = 1024 // limit on the machines in Off; the oldest are dropped
)

// deterministicMode encodes maps in a fixed order. In random order, equal schedules would have different encodings, and each encoding would
// become a new plan.
var deterministicMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic("maintenance: encoding options: " + err.Error()) // unreachable: the options are constant
	}
	return m
}()

// encode returns the schedule in CBOR. Equal schedules have equal encodings.
func (s Schedule) encode() []byte {
	raw, err := deterministicMode.Marshal(s)
	if err != nil {
		panic("maintenance: encode schedule: " + err.Error()) // unreachable: CBOR encodes every type in Schedule
	}
	return raw
}

// EncodeSection returns a schedule as a section of the plan.
func EncodeSection(s Schedule) map[string]cbor.RawMessage {
	return map[string]cbor.RawMessage{Section: s.encode()}
}

// Read decodes the schedule of a plan. The schedule is empty if the plan has none.
func Read(p *fleet.Plan) (s Schedule, err error) {
	_, err = p.Section(Section, &s)
	return s, err
}

// clone returns a copy that can be changed without an effect on s.
func (s Schedule) clone() Schedule {
	s.Requests = slices.Clone(s.Requests)
	s.Roster = maps.Clone(s.Roster)
	s.Off = slices.Clone(s.Off)
	for i := range s.Requests {
		s.Requests[i].Machines = slices.Clone(s.Requests[i].Machines)
	}
	return s
}

// withoutNotes returns a copy without notes, which contain figures that change often.
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

// Withdrawn returns the machines to which gateways must not send new requests, with the ID of each machine's announcement, or 0 for a machine
// that is out of service for good.
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

// hasOpen returns true if any request has not ended.
func (s *Schedule) hasOpen() bool {
	return slices.ContainsFunc(s.Requests, func(r Request) bool { return !r.ended() })
}

// find returns the request with an ID, or nil.
func (s *Schedule) find(id uint64) *Request {
	for i := range s.Requests {
		if s.Requests[i].ID == id {
			return &s.Requests[i]
		}
	}
	return nil
}

// endWork ends the maintenance of a machine. The machine returns after a restart, and is out of service for good otherwise.
func (s *Schedule) endWork(r *Request, m *Machine, unixMS int64, note string) {
	m.enter(Returned, unixMS, note)
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

// dropEnded removes the oldest ended requests beyond maxEnded.
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
