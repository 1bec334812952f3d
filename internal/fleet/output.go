package fleet

import (
	"fmt"
	"time"
)

// Message is an encoded message to a member. Its loss is tolerated: whoever needs an answer sends again.
type Message struct {
	To   string
	Data []byte
}

// Event is a change that the owner of a Node may log or act on.
type Event struct {
	At   time.Duration
	Kind EventKind
	Text string // for the log; empty for GrantChanged
	Plan *Plan  // of PlanChanged
}

// EventKind is the subject of an event.
type EventKind int

// The kinds.
const (
	PlanChanged        EventKind = iota // a newer plan is acted on
	LeaderChanged                       // another member is taken for the leader
	FreshChanged                        // the view became fresh, or its lease ran out
	GrantChanged                        // Grant returns something else
	GenerationStarted                   // this voter started a generation of the log
	GenerationPromised                  // this voter ignores older generations of the log
	Fenced                              // a later process has this name: this one neither sends nor handles anything
	VotersChanged                       // the leader proposed another set of voters
	InvalidReport                       // a peer sent an invalid report
)

// TakeOutput returns the messages to send and the events since the last call, each in order, and forgets them.
func (n *Node) TakeOutput() (messages []Message, events []Event) {
	messages, events = n.outbox, n.events
	n.outbox, n.events = nil, nil
	return messages, events
}

func (n *Node) emit(kind EventKind, format string, a ...any) {
	n.events = append(n.events, Event{At: n.now, Kind: kind, Text: fmt.Sprintf(format, a...)})
}

// send queues a message for another member, under a sequence number of its own.
func (n *Node) send(to string, e envelope) {
	if n.fenced || to == n.config.Name {
		return
	}
	n.stamp(&e)
	n.outbox = append(n.outbox, Message{to, encode(e)})
}

// stamp fills in the sender and the next sequence number.
func (n *Node) stamp(e *envelope) {
	n.seq++
	e.Version = wireVersion
	e.Fleet = n.config.Fleet
	e.From = n.config.Name
	e.StartedAt = n.config.StartedAt
	e.Incarnation = n.config.Incarnation
	e.Seq = n.seq
}
