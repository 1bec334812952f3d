package fleet

import (
	"fmt"
	"time"
)

// Message is an encoded message to a member. It may be lost: a sender that needs an answer retries.
type Message struct {
	To   string
	Data []byte
}

// Event is a change that the owner of a Node may log or act on.
type Event struct {
	At   time.Duration
	Kind EventKind
	Text string // log line; empty for GrantChanged
	Plan *Plan  // new plan; set only for PlanChanged
}

// EventKind is the kind of an event.
type EventKind int

// Kinds of events that a Node reports.
const (
	PlanChanged        EventKind = iota // this member applies a newer plan
	LeaderChanged                       // this member recognizes another leader
	FreshChanged                        // the view of the plan became fresh, or its lease expired
	GrantChanged                        // Grant returns another result
	GenerationStarted                   // this voter started a generation of the log
	GenerationPromised                  // this voter promised a generation of the log and ignores older ones
	Fenced                              // a later process with this name exists; this one no longer sends or handles anything
	VotersChanged                       // the leader proposed another set of voters
	InvalidReport                       // a peer sent an invalid report
)

// TakeOutput returns the messages to send and the events since the last call, each in order, and clears both.
func (n *Node) TakeOutput() (messages []Message, events []Event) {
	messages, events = n.outbox, n.events
	n.outbox, n.events = nil, nil
	return messages, events
}

func (n *Node) emit(kind EventKind, format string, a ...any) {
	n.events = append(n.events, Event{At: n.now, Kind: kind, Text: fmt.Sprintf(format, a...)})
}

// send queues a message for another member with a new sequence number. A fenced process sends nothing.
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
