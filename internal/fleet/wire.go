package fleet

import (
	"errors"

	"github.com/fxamacker/cbor/v2"
)

// wireVersion is the version of the message format. Messages of other versions are dropped.
const wireVersion = 1

// Bounds of a message.
const (
	maxWithdrawn = 256                  // limit on the machines in a status
	maxVoters    = 32                   // limit on the voters of one log, including former identities
	MaxMessage   = maxPlanSize + 64<<10 // limit in bytes: a plan, plus the rest of the message
)

// Errors for which a received message is dropped.
var (
	errForeignMessage  = errors.New("fleet: message from another fleet or protocol version")
	errMessageTooLarge = errors.New("fleet: message exceeds the maximum size")
	errInvalidSender   = errors.New("fleet: message without a valid sender")
	errInvalidStatus   = errors.New("fleet: status exceeds its bounds")
)

// Status is a member's report on itself, sent several times a second.
type Status struct {
	Zone           string   `cbor:"1,keyasint"`
	Region         string   `cbor:"2,keyasint,omitempty"`
	Epoch          Epoch    `cbor:"3,keyasint"`           // epoch of the plan that the member applies
	Fresh          bool     `cbor:"4,keyasint,omitempty"` // true if its view of the plan is fresh (Node.Fresh)
	Leader         string   `cbor:"5,keyasint,omitempty"` // member that it considers the leader
	Identity       uint64   `cbor:"6,keyasint,omitempty"` // identity in the log; 0 if it is not a voter or its state is being replaced
	Generation     uint64   `cbor:"7,keyasint,omitempty"` // generation of the log that it holds; 0 if none
	Promised       uint64   `cbor:"8,keyasint,omitempty"` // newest promised generation; it ignores older ones
	Term           uint64   `cbor:"9,keyasint,omitempty"` // raft term
	Report         *Report  `cbor:"10,keyasint,omitempty"`
	Voters         []uint64 `cbor:"11,keyasint,omitempty"` // identities of the voters in the log that it holds
	OutgoingVoters []uint64 `cbor:"12,keyasint,omitempty"` // identities of the voters before a joint change in progress
	GrantSeq       uint64   `cbor:"13,keyasint,omitempty"` // sequence number of its status that the grant it applies answers

	// Withdrawn lists the machines to which this member sends nothing and has nothing in flight, with the ID of
	// each machine's announcement in the maintenance schedule.
	Withdrawn map[string]uint64 `cbor:"14,keyasint,omitempty"`
}

// grant is the leader's answer to a status. Its statement was true at some time after that status was sent (see
// leaseHolder).
type grant struct {
	Seq     uint64 `cbor:"1,keyasint"` // sequence number of the status
	Epoch   Epoch  `cbor:"2,keyasint"` // epoch of the newest plan
	Payload []byte `cbor:"3,keyasint,omitempty"`
}

// command is an operator's command as sent to the leader.
type command struct {
	ID   string `cbor:"1,keyasint"` // idempotency key
	Name string `cbor:"2,keyasint"`
	Args []byte `cbor:"3,keyasint"`
}

// commandResult answers a command.
type commandResult struct {
	ID    string `cbor:"1,keyasint"`
	Error string `cbor:"2,keyasint,omitempty"` // empty on success
	Epoch Epoch  `cbor:"3,keyasint"`           // epoch of the plan that contains the command's effect
}

// raftMessage carries a raft message to a voter.
type raftMessage struct {
	Generation uint64 `cbor:"1,keyasint"`
	To         uint64 `cbor:"2,keyasint"` // identity of the receiving voter
	Message    []byte `cbor:"3,keyasint"` // encoded raftpb.Message
}

// generationMessage requests a voter's promise of a generation, or carries that promise.
type generationMessage struct {
	Generation uint64 `cbor:"1,keyasint"`
	Promise    bool   `cbor:"2,keyasint,omitempty"`
	Plan       *Plan  `cbor:"3,keyasint,omitempty"` // newest plan that the promising voter knows
}

// incarnation identifies one process of a member.
type incarnation struct {
	StartedAt int64  `cbor:"1,keyasint"` // start time in Unix ns
	Number    uint64 `cbor:"2,keyasint"` // random; orders processes that started at the same time
}

// before returns true if process i is older than process o.
func (i incarnation) before(o incarnation) bool {
	return i.StartedAt < o.StartedAt || i.StartedAt == o.StartedAt && i.Number < o.Number
}

// envelope is one message between members.
type envelope struct {
	Version          int                `cbor:"1,keyasint"`
	Fleet            string             `cbor:"2,keyasint"`
	From             string             `cbor:"3,keyasint"`
	StartedAt        int64              `cbor:"4,keyasint"` // together with Incarnation, identifies the sender's process (type incarnation)
	Incarnation      uint64             `cbor:"5,keyasint"`
	Seq              uint64             `cbor:"6,keyasint"` // increases with each message of the sender's process
	Status           *Status            `cbor:"7,keyasint,omitempty"`
	Grant            *grant             `cbor:"8,keyasint,omitempty"`
	Plan             *Plan              `cbor:"9,keyasint,omitempty"`
	Raft             *raftMessage       `cbor:"10,keyasint,omitempty"`
	Command          *command           `cbor:"11,keyasint,omitempty"`
	CommandResult    *commandResult     `cbor:"12,keyasint,omitempty"`
	Generation       *generationMessage `cbor:"13,keyasint,omitempty"`
	LaterIncarnation *incarnation       `cbor:"14,keyasint,omitempty"` // process with the receiver's name that started later
}

func (e *envelope) sender() incarnation { return incarnation{e.StartedAt, e.Incarnation} }

// decoder limits the memory that decoding a message can allocate.
var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 4096, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// encode encodes a value of one of this package's types in CBOR. It panics on an error, which these types can't cause.
func encode(v any) cbor.RawMessage {
	b, err := cbor.Marshal(v)
	if err != nil {
		panic("fleet: " + err.Error())
	}
	return b
}

// decode decodes a message, and checks that it belongs to the fleet and is within its bounds.
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
