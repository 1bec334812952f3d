package maintenance

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"dewhitch/internal/fleet"
)

// Command is an operator's command on requests for maintenance. Its encoding is the argument of the fleet's "work-" commands.
type Command struct {
	By        string   `cbor:"1,keyasint"`           // name of the operator
	Reason    string   `cbor:"2,keyasint"`           // shown to operators
	Key       string   `cbor:"3,keyasint,omitempty"` // idempotency key of a new request
	Kind      Kind     `cbor:"4,keyasint,omitempty"`
	ForMS     int64    `cbor:"5,keyasint,omitempty"` // longest time that each machine of a new request stays Released, in ms
	NotBefore int64    `cbor:"6,keyasint,omitempty"` // time before which no machine of a new request is announced, in Unix ms; 0: none
	After     uint64   `cbor:"7,keyasint,omitempty"` // ID of a request that has to end before a new one begins; 0: none
	Machines  []string `cbor:"8,keyasint,omitempty"` // names of machines
	ID        uint64   `cbor:"9,keyasint,omitempty"` // ID of an existing request
}

// Limits on the fields of a Command.
const (
	maxTextLength = 512              // bytes in the operator's name, the reason and the key, each
	maxNameLength = 64               // bytes in a machine's name
	maxDurationMS = 24 * 3600 * 1000 // a day
)

// Causes of a rejected command, for errors.Is.
var (
	ErrInvalid  = errors.New("work: invalid command")
	ErrUnknown  = errors.New("work: no such request or gateway")
	ErrConflict = errors.New("work: conflict with another request")
	ErrLimit    = errors.New("work: too many requests")
	ErrState    = errors.New("work: not possible in this state")
)

// CommandError is the error of a rejected command. errors.Is matches its cause.
type CommandError struct {
	Cause error  // one of the errors above
	Text  string // shown to operators
}

// Error implements error.
func (e *CommandError) Error() string { return e.Text }

// Unwrap returns the cause.
func (e *CommandError) Unwrap() error { return e.Cause }

// reject returns a CommandError whose text begins with "work: ".
func reject(cause error, format string, args ...any) error {
	return &CommandError{Cause: cause, Text: fmt.Sprintf("work: "+format, args...)}
}

// Encode returns the command in CBOR, as the argument of a fleet command.
func (c Command) Encode() []byte {
	b, err := cbor.Marshal(c)
	if err != nil {
		panic("maintenance: encode command: " + err.Error()) // unreachable: CBOR encodes every type in Command
	}
	return b
}

// check returns a CommandError if a field that all commands share is invalid.
func (c *Command) check() error {
	switch {
	case c.By == "" || c.Reason == "" || len(c.By) > maxTextLength || len(c.Reason) > maxTextLength:
		return reject(ErrInvalid, "who asks, and why, in up to 512 bytes each")
	case len(c.Machines) > maxMachines:
		return reject(ErrInvalid, "%d machines, %d at most", len(c.Machines), maxMachines)
	}
	for i, name := range c.Machines {
		if name == "" || len(name) > maxNameLength || strings.ContainsAny(name, " \t\r\n") || slices.Contains(c.Machines[:i], name) {
			return reject(ErrInvalid, "%q is no machine, or is named twice", name)
		}
	}
	return nil
}

// Commands returns the handlers of the operators' commands by name. The leader runs them. They reject an invalid command with a
// *CommandError.
func Commands() map[string]fleet.CommandHandler {
	return map[string]fleet.CommandHandler{
		"work-request": scheduleCommandHandler(submitRequest),
		"work-cancel":  scheduleCommandHandler(cancelRequest),
		"work-done":    scheduleCommandHandler(completeWork),
		"work-hold":    scheduleCommandHandler(holdRequest),
		"work-resume":  scheduleCommandHandler(resumeRequest),
		"work-gone":    scheduleCommandHandler(removeGateways),
	}
}

// scheduleCommandHandler returns a command handler that applies a command to the schedule of the plan. The handler returns nil if the
// command does not change the schedule.
func scheduleCommandHandler(apply func(s *Schedule, c Command, unixMS int64) error) fleet.CommandHandler {
	return func(p *fleet.Plan, args []byte, unixMS int64) (map[string]cbor.RawMessage, error) {
		var c Command
		if err := cbor.Unmarshal(args, &c); err != nil {
			return nil, err
		}
		if err := c.check(); err != nil {
			return nil, err
		}
		current, err := Read(p)
		if err != nil {
			return nil, err
		}
		next := current.clone()
		if err := apply(&next, c, unixMS); err != nil {
			return nil, err
		}
		if slices.Equal(current.encode(), next.encode()) {
			return nil, nil
		}
		return EncodeSection(next), nil
	}
}

// submitRequest adds a request. It is idempotent by the request's key: a repeated request changes nothing, whichever gateway forwards it.
func submitRequest(s *Schedule, c Command, unixMS int64) error {
	if err := c.checkRequest(); err != nil {
		return err
	}
	for i := range s.Requests {
		if r := &s.Requests[i]; r.Key == c.Key {
			if !r.matches(c) {
				return reject(ErrConflict, "key %q is that of request %d, which asks for something else", c.Key, r.ID)
			}
			return nil
		}
		if err := s.Requests[i].conflict(c); err != nil {
			return err
		}
	}
	if open := s.countOpen(); open >= maxOpen {
		return reject(ErrLimit, "%d requests are open", open)
	}
	if c.After != 0 && s.find(c.After) == nil {
		return reject(ErrUnknown, "no request %d to come after", c.After)
	}
	s.add(c, unixMS)
	return nil
}

// checkRequest returns a CommandError if a field of a new request is invalid.
func (c *Command) checkRequest() error {
	switch {
	case len(c.Machines) == 0:
		return reject(ErrInvalid, "no machines")
	case c.Kind != Restart && c.Kind != Replace && c.Kind != Off:
		return reject(ErrInvalid, "kind %q; restart, replace or off", c.Kind)
	case c.ForMS <= 0 || c.ForMS > maxDurationMS:
		return reject(ErrInvalid, "for %d ms; more than none, and a day at most", c.ForMS)
	case c.Key == "" || len(c.Key) > maxTextLength:
		return reject(ErrInvalid, "a key, in up to 512 bytes")
	}
	return nil
}

// matches returns true if a command has the request's kind, duration and machines.
func (r *Request) matches(c Command) bool {
	sameName := func(m Machine, name string) bool { return m.Name == name }
	return r.Kind == c.Kind && r.ForMS == c.ForMS && slices.EqualFunc(r.Machines, c.Machines, sameName)
}

// conflict returns a CommandError if this request has a machine of the command whose maintenance has not ended.
func (r *Request) conflict(c Command) error {
	if r.ended() {
		return nil
	}
	for _, m := range r.Machines {
		if !m.ended() && slices.Contains(c.Machines, m.Name) {
			return reject(ErrConflict, "%s is asked for already, in request %d by %s", m.Name, r.ID, r.By)
		}
	}
	return nil
}

// countOpen returns the number of requests that have not ended.
func (s *Schedule) countOpen() (open int) {
	for i := range s.Requests {
		if !s.Requests[i].ended() {
			open++
		}
	}
	return open
}

// add appends a request and removes its machines from Off, because they are in use again.
func (s *Schedule) add(c Command, unixMS int64) {
	s.LastID++
	r := Request{
		ID:          s.LastID,
		Key:         c.Key,
		By:          c.By,
		Reason:      c.Reason,
		Kind:        c.Kind,
		ForMS:       c.ForMS,
		NotBefore:   c.NotBefore,
		After:       c.After,
		RequestedAt: unixMS,
	}
	for _, name := range c.Machines {
		r.Machines = append(r.Machines, Machine{Name: name, Since: unixMS})
		s.Off = slices.DeleteFunc(s.Off, func(off string) bool { return off == name })
	}
	s.Requests = append(s.Requests, r)
}

// findOpen returns the request with an ID, or a CommandError if there is none or it has ended.
func (s *Schedule) findOpen(id uint64) (*Request, error) {
	r := s.find(id)
	if r == nil {
		return nil, reject(ErrUnknown, "no request %d", id)
	}
	if r.ended() {
		return nil, reject(ErrState, "request %d is %s", id, r.State)
	}
	return r, nil
}

// cancelRequest cancels the machines of a request whose maintenance has not begun. A released machine stays Released: it may be
// disassembled, and only the operator who works on it can complete its maintenance.
func cancelRequest(s *Schedule, c Command, unixMS int64) error {
	r, err := s.findOpen(c.ID)
	if err != nil {
		return err
	}
	for i := range r.Machines {
		m := &r.Machines[i]
		if m.State == Waiting || m.State == Announced || m.State == OnHold && m.AnnouncementID == 0 {
			m.enter(Cancelled, unixMS, "cancelled by "+c.By)
		}
	}
	r.Note = "cancelled by " + c.By + ": " + c.Reason
	r.endWithMachines()
	return nil
}

// completeWork ends the maintenance of the named machines of a request or, if none is named, of all that are released or on hold after
// their announcement.
func completeWork(s *Schedule, c Command, unixMS int64) error {
	r, err := s.findOpen(c.ID)
	if err != nil {
		return err
	}
	named := len(c.Machines) > 0
	completed := false
	for i := range r.Machines {
		m := &r.Machines[i]
		if named && !slices.Contains(c.Machines, m.Name) {
			continue
		}
		switch {
		case m.State == Released || m.onHoldAfterAnnouncement():
			s.endWork(r, m, unixMS, "done, says "+c.By)
			completed = true
		case named && m.State != Returned && m.State != Done:
			return reject(ErrState, "%s of request %d is %s, not free", m.Name, r.ID, m.State)
		}
	}
	if !completed && !named {
		return reject(ErrState, "no machine of request %d is free", r.ID)
	}
	r.endWithMachines()
	return nil
}

// holdRequest stops further announcements of a request until resumeRequest.
func holdRequest(s *Schedule, c Command, _ int64) error {
	r, err := s.findOpen(c.ID)
	if err != nil {
		return err
	}
	r.State = OnHold
	r.Note = "held by " + c.By + ": " + c.Reason
	return nil
}

// resumeRequest ends the hold of a request and of its machines. A machine on hold becomes Waiting, or Returned if it was announced.
func resumeRequest(s *Schedule, c Command, unixMS int64) error {
	r, err := s.findOpen(c.ID)
	if err != nil {
		return err
	}
	for i := range r.Machines {
		m := &r.Machines[i]
		if m.State != OnHold {
			continue
		}
		m.enter(Waiting, unixMS, "resumed by "+c.By)
		if m.AnnouncementID > 0 {
			m.State = Returned
		}
	}
	r.State = Waiting
	r.Note = "resumed by " + c.By + ": " + c.Reason
	return nil
}

// removeGateways removes gateways from the roster whose processes ended without leaving the fleet, so that no machine waits for their
// acknowledgement any longer.
func removeGateways(s *Schedule, c Command, _ int64) error {
	if len(c.Machines) == 0 {
		return reject(ErrInvalid, "no gateway named")
	}
	for _, name := range c.Machines {
		if _, ok := s.Roster[name]; !ok {
			return reject(ErrUnknown, "nobody waits for a gateway %q", name)
		}
		delete(s.Roster, name)
	}
	return nil
}
