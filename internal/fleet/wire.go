package fleet

import (
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// wireVersion is that of messages; others are not understood, and passed over.
const wireVersion = 1

// maxWithdrawn bounds the machines that a status names.
const maxWithdrawn = 256

// maxVoters bounds the voters of a log, with some that nobody is any more.
const maxVoters = 32

// MaxMessage bounds a message: a plan, and what goes round it.
const MaxMessage = maxPlanSize + 64<<10

// Status is what a member says of itself several times a second.
type Status struct {
	Zone           string            `cbor:"1,keyasint"`
	Region         string            `cbor:"2,keyasint,omitempty"`
	Epoch          Epoch             `cbor:"3,keyasint"` // that it acts on
	Fresh          bool              `cbor:"4,keyasint,omitempty"`
	Leader         string            `cbor:"5,keyasint,omitempty"` // whom it takes for the leader
	Identity       uint64            `cbor:"6,keyasint,omitempty"` // in the log, of a voter
	Generation     uint64            `cbor:"7,keyasint,omitempty"` // of the log that it holds; 0: none
	Promised       uint64            `cbor:"8,keyasint,omitempty"`
	Term           uint64            `cbor:"9,keyasint,omitempty"`
	Report         *Report           `cbor:"10,keyasint,omitempty"`
	Voters         []uint64          `cbor:"11,keyasint,omitempty"` // identities that vote in the log that it holds
	OutgoingVoters []uint64          `cbor:"12,keyasint,omitempty"` // and those that did before a change which is under way
	GrantSeq       uint64            `cbor:"13,keyasint,omitempty"` // the status of its whose answer it acts on
	Withdrawn      map[string]uint64 `cbor:"14,keyasint,omitempty"` // machines that it sends nothing to, and has nothing open to, with their turn
}

// grant is the leader's answer to a status: what it says was true at some time after the status was sent.
type grant struct {
	Seq     uint64 `cbor:"1,keyasint"`
	Epoch   Epoch  `cbor:"2,keyasint"`
	Payload []byte `cbor:"3,keyasint,omitempty"` // what the member may do for a lease; opaque here
}

// command is what an operator wants settled.
type command struct {
	ID   string `cbor:"1,keyasint"`
	Name string `cbor:"2,keyasint"`
	Args []byte `cbor:"3,keyasint"`
}

// commandResult is what became of an ask.
type commandResult struct {
	ID    string `cbor:"1,keyasint"`
	Error string `cbor:"2,keyasint,omitempty"`
	Epoch Epoch  `cbor:"3,keyasint"`
}

// raftMessage is one of the log's.
type raftMessage struct {
	Generation uint64 `cbor:"1,keyasint"`
	To         uint64 `cbor:"2,keyasint"`
	Message    []byte `cbor:"3,keyasint"`
}

// generationMessage asks for a promise, or gives it.
type generationMessage struct {
	Generation uint64 `cbor:"1,keyasint"`
	Promise    bool   `cbor:"2,keyasint,omitempty"`
	Plan       *Plan  `cbor:"3,keyasint,omitempty"` // the newest that whoever promises knows
}

// incarnation tells a process that another one has its name, and began later.
type incarnation struct {
	StartedAt int64  `cbor:"1,keyasint"`
	Number    uint64 `cbor:"2,keyasint"`
}

// envelope is one message between members.
type envelope struct {
	Version          int                `cbor:"1,keyasint"`
	Fleet            string             `cbor:"2,keyasint"`
	From             string             `cbor:"3,keyasint"`
	StartedAt        int64              `cbor:"4,keyasint"` // of the sender's life, Unix ns: of two lives the later one counts
	Incarnation      uint64             `cbor:"5,keyasint"` // a random number, where they began at once
	Seq              uint64             `cbor:"6,keyasint"`
	Status           *Status            `cbor:"7,keyasint,omitempty"`
	Grant            *grant             `cbor:"8,keyasint,omitempty"`
	Plan             *Plan              `cbor:"9,keyasint,omitempty"`
	Raft             *raftMessage       `cbor:"10,keyasint,omitempty"`
	Command          *command           `cbor:"11,keyasint,omitempty"`
	CommandResult    *commandResult     `cbor:"12,keyasint,omitempty"`
	Generation       *generationMessage `cbor:"13,keyasint,omitempty"`
	LaterIncarnation *incarnation       `cbor:"14,keyasint,omitempty"`
}

var decoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: 4096, MaxMapPairs: 4096, MaxNestedLevels: 16}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

var errForeignMessage = errors.New("fleet: a message of another fleet or version")

func decode(fleet string, b []byte) (*envelope, error) {
	if len(b) > MaxMessage {
		return nil, errors.New("fleet: a message beyond the bound")
	}
	var e envelope
	if err := decoder.Unmarshal(b, &e); err != nil {
		return nil, err
	}
	if e.Version != wireVersion || e.Fleet != fleet {
		return nil, errForeignMessage
	}
	if e.From == "" || len(e.From) > maxNameLength {
		return nil, errors.New("fleet: a message of nobody")
	}
	if e.Status != nil && (len(e.Status.Zone) > maxNameLength || len(e.Status.Region) > maxNameLength || len(e.Status.Leader) > maxNameLength ||
		len(e.Status.Voters) > maxVoters || len(e.Status.Withdrawn) > maxWithdrawn || len(e.Status.OutgoingVoters) > maxVoters) {
		return nil, errInvalidReport
	}
	return &e, nil
}

// Message is a message to a member.
type Message struct {
	To   string
	Data []byte
}

// Event is something that whoever owns the node may want to say or act on.
type Event struct {
	At   time.Duration
	Kind EventKind
	Text string
	Plan *Plan // of PlanChanged
}

// EventKind is what an event is about.
type EventKind int

// The kinds.
const (
	PlanChanged EventKind = iota
	LeaderChanged
	FreshChanged
	GrantChanged
	GenerationStarted
	Promised
	Fenced // another process has this name, and began later: this one says and hears nothing more
	VotersChanged
	Fault
)
