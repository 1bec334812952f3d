package fleet

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// wireVersion is that of messages; those of another version are dropped.
const wireVersion = 1

// Bounds of a message.
const (
	maxWithdrawn = 256                  // machines in a status
	maxVoters    = 32                   // in one log, former identities among them
	MaxMessage   = maxPlanSize + 64<<10 // bytes: a plan and what goes around it
)

// Reasons to drop a message.
var (
	errForeignMessage  = errors.New("fleet: a message of another fleet or version")
	errMessageTooLarge = errors.New("fleet: a message over the maximum size")
	errInvalidSender   = errors.New("fleet: a message without a valid sender")
	errInvalidStatus   = errors.New("fleet: a status over its bounds")
)

// Status is what a member reports of itself several times a second.
type Status struct {
	Zone           string   `cbor:"1,keyasint"`
	Region         string   `cbor:"2,keyasint,omitempty"`
	Epoch          Epoch    `cbor:"3,keyasint"` // of the plan that it acts on
	Fresh          bool     `cbor:"4,keyasint,omitempty"`
	Leader         string   `cbor:"5,keyasint,omitempty"` // whom it takes for the leader
	Identity       uint64   `cbor:"6,keyasint,omitempty"` // in the log; 0: no voter, or its state is being replaced
	Generation     uint64   `cbor:"7,keyasint,omitempty"` // of the log that it holds; 0: none
	Promised       uint64   `cbor:"8,keyasint,omitempty"` // generation; it ignores older ones
	Term           uint64   `cbor:"9,keyasint,omitempty"`
	Report         *Report  `cbor:"10,keyasint,omitempty"`
	Voters         []uint64 `cbor:"11,keyasint,omitempty"` // identities that vote in the log that it holds
	OutgoingVoters []uint64 `cbor:"12,keyasint,omitempty"` // and, during a joint change, those that voted before it
	GrantSeq       uint64   `cbor:"13,keyasint,omitempty"` // the status of its own whose grant it acts on

	// Withdrawn lists the machines to which this member sends nothing and has nothing in flight, each with
	// its turn in maintenance.
	Withdrawn map[string]uint64 `cbor:"14,keyasint,omitempty"`
}

// grant is the leader's answer to a status: what it says was true at some time after that status was sent
// (see leaseHolder).
type grant struct {
	Seq     uint64 `cbor:"1,keyasint"` // of the status
	Epoch   Epoch  `cbor:"2,keyasint"` // the newest plan's
	Payload []byte `cbor:"3,keyasint,omitempty"`
}

// command is an operator's command on its way to the leader.
type command struct {
	ID   string `cbor:"1,keyasint"` // idempotency key
	Name string `cbor:"2,keyasint"`
	Args []byte `cbor:"3,keyasint"`
}

// commandResult answers a command.
type commandResult struct {
	ID    string `cbor:"1,keyasint"`
	Error string `cbor:"2,keyasint,omitempty"` // empty: success
	Epoch Epoch  `cbor:"3,keyasint"`           // in which the plan has the command's effect
}

// raftMessage carries a message of the log.
type raftMessage struct {
	Generation uint64 `cbor:"1,keyasint"`
	To         uint64 `cbor:"2,keyasint"` // identity
	Message    []byte `cbor:"3,keyasint"` // raftpb.Message
}

// generationMessage asks a voter to promise a generation, or carries its promise.
type generationMessage struct {
	Generation uint64 `cbor:"1,keyasint"`
	Promise    bool   `cbor:"2,keyasint,omitempty"`
	Plan       *Plan  `cbor:"3,keyasint,omitempty"` // the newest that the promising voter knows
}

// incarnation identifies one process of a member.
type incarnation struct {
	StartedAt int64  `cbor:"1,keyasint"` // Unix ns
	Number    uint64 `cbor:"2,keyasint"` // random, for processes that started at once
}

// before tells whether the process is the older one.
func (i incarnation) before(o incarnation) bool {
	return i.StartedAt < o.StartedAt || i.StartedAt == o.StartedAt && i.Number < o.Number
}

// envelope is one message between members.
type envelope struct {
	Version          int                `cbor:"1,keyasint"`
	Fleet            string             `cbor:"2,keyasint"`
	From             string             `cbor:"3,keyasint"`
	StartedAt        int64              `cbor:"4,keyasint"` // with Incarnation: the sender's process, as in incarnation
	Incarnation      uint64             `cbor:"5,keyasint"`
	Seq              uint64             `cbor:"6,keyasint"` // increases with each message of a process
	Status           *Status            `cbor:"7,keyasint,omitempty"`
	Grant            *grant             `cbor:"8,keyasint,omitempty"`
	Plan             *Plan              `cbor:"9,keyasint,omitempty"`
	Raft             *raftMessage       `cbor:"10,keyasint,omitempty"`
	Command          *command           `cbor:"11,keyasint,omitempty"`
	CommandResult    *commandResult     `cbor:"12,keyasint,omitempty"`
	Generation       *generationMessage `cbor:"13,keyasint,omitempty"`
	LaterIncarnation *incarnation       `cbor:"14,keyasint,omitempty"` // a process of the receiver's name that started later
}

func (e *envelope) sender() incarnation { return incarnation{e.StartedAt, e.Incarnation} }

// decoder bounds what a message can make the decoder allocate.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 4096, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// encode encodes a value of this package's types, all of which can be encoded.
func encode(v any) cbor.RawMessage {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("fleet: " + err.Error())
	}
	return b
}

// decode decodes and checks a message for a fleet.
func decode(fleet string, b []byte) (*envelope, error) {
	if len(b) > MaxMessage {
		return nil, errMessageTooLarge
	}
	var e envelope
	if err := decoder.Unmarshal(b, &e); err != nil {
		return nil, err
	}
	if e.Version != wireVersion || e.Fleet != fleet {
		return nil, errForeignMessage
	}
	if e.From == "" || len(e.From) > maxNameLength {
		return nil, errInvalidSender
	}
	if e.Status != nil && !e.Status.withinBounds() {
		return nil, errInvalidStatus
	}
	return &e, nil
}

func (s *Status) withinBounds() bool {
	return len(s.Zone) <= maxNameLength &&
		len(s.Region) <= maxNameLength &&
		len(s.Leader) <= maxNameLength &&
		len(s.Voters) <= maxVoters &&
		len(s.OutgoingVoters) <= maxVoters &&
		len(s.Withdrawn) <= maxWithdrawn
}
