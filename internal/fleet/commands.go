package fleet

import (
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	maxCommands     = 256 // queued at the leader, results kept there, and submissions pending at a member; each
	proposalTimeout = commandTimeout
)

var errUnknownCommand = errors.New("fleet: no such verb")

// commandQueue is the leader's queue of commands: they run one after the other, each on the plan that the one
// before made. Results are kept for retries by members whose answer was lost.
type commandQueue struct {
	waiting     []queuedCommand
	proposal    proposal
	results     map[string]commandResult
	resultOrder []string // IDs, oldest first
}

type queuedCommand struct {
	command command
	from    string // the member to answer
}

// proposal is the one change that this leader has proposed and not yet seen committed.
type proposal struct {
	id   string // of the change; empty: there is none
	from string // the member to answer; empty: the leader proposed it of its own accord
	at   time.Duration
}

// clear forgets what a voter queued and proposed; results stay.
func (q *commandQueue) clear() {
	q.waiting = nil
	q.proposal.id = ""
}

// admits tells whether a command may be queued: it is not there already, and the queue has room.
func (q *commandQueue) admits(id string) bool {
	return q.proposal.id != id && len(q.waiting) < maxCommands &&
		!slices.ContainsFunc(q.waiting, func(c queuedCommand) bool { return c.command.ID == id })
}

// next takes the oldest command, unless a proposal is pending.
func (q *commandQueue) next() (c queuedCommand, ok bool) {
	if q.proposal.id != "" || len(q.waiting) == 0 {
		return c, false
	}
	c = q.waiting[0]
	q.waiting = q.waiting[1:]
	return c, true
}

// record keeps a result, and forgets the oldest beyond the bound.
func (q *commandQueue) record(r commandResult) {
	q.results[r.ID] = r
	q.resultOrder = append(q.resultOrder, r.ID)
	if len(q.resultOrder) > maxCommands {
		delete(q.results, q.resultOrder[0])
		q.resultOrder = q.resultOrder[1:]
	}
}

// enqueueCommand queues a command at the leader, or answers at once one whose result is known. Elsewhere it
// is dropped: whoever submitted it retries.
func (n *Node) enqueueCommand(c command, from string) {
	if r, ok := n.commands.results[c.ID]; ok {
		n.sendResult(from, r)
		return
	}
	if n.Leads() && n.commands.admits(c.ID) {
		n.commands.waiting = append(n.commands.waiting, queuedCommand{command: c, from: from})
	}
}

// Propose has the leader change sections of its own accord, on the plan as it stands. It reports whether the
// change was proposed; it is not while another change is pending or commands wait. Whether it is committed
// shows in the plan.
func (n *Node) Propose(set map[string]cbor.RawMessage) bool {
	if !n.Leads() || n.commands.proposal.id != "" || len(n.commands.waiting) > 0 {
		return false
	}
	n.propose(n.newCommandID(), "", set)
	return n.commands.proposal.id != ""
}

// propose hands a change of the plan to the log.
func (n *Node) propose(id, from string, set map[string]cbor.RawMessage) {
	n.commands.proposal = proposal{id: id, from: from, at: n.now}
	if n.voter.proposeChange(change{Base: n.voter.plan.Epoch, Set: set, ID: id}) != nil {
		n.commands.proposal.id = ""
	}
	n.takeVoterOutput()
}

// runCommands has the leader run commands until one needs the log.
func (n *Node) runCommands() {
	if !n.Leads() {
		n.commands.waiting = nil // whoever submitted them retries
		return
	}
	if n.commands.proposal.id != "" && n.now-n.commands.proposal.at > proposalTimeout {
		n.commands.proposal.id = "" // the log dropped it
	}
	for {
		c, ok := n.commands.next()
		if !ok {
			return
		}
		n.runCommand(c)
	}
}

// runCommand has a command's handler compute the change, and proposes it if there is any.
func (n *Node) runCommand(c queuedCommand) {
	err := errUnknownCommand
	var set map[string]cbor.RawMessage
	if handle := n.config.Commands[c.command.Name]; handle != nil {
		set, err = handle(&n.voter.plan, c.command.Args, n.unixMS)
	}
	switch {
	case err != nil:
		n.recordResult(commandResult{ID: c.command.ID, Error: err.Error()}, c.from)
	case len(set) == 0:
		n.recordResult(commandResult{ID: c.command.ID, Epoch: n.voter.plan.Epoch}, c.from)
	default:
		n.propose(c.command.ID, c.from, set)
	}
}

// finishProposal answers the pending command once its entry is applied.
func (n *Node) finishProposal(c committedChange) {
	if c.change.ID == "" || c.change.ID != n.commands.proposal.id {
		return
	}
	n.commands.proposal.id = ""
	r := commandResult{ID: c.change.ID, Epoch: c.epoch}
	if c.err != nil {
		r.Error = c.err.Error()
	}
	n.recordResult(r, n.commands.proposal.from)
}

func (n *Node) recordResult(r commandResult, to string) {
	n.commands.record(r)
	n.sendResult(to, r)
}

// sendResult answers the member that submitted a command; to is empty if no member did.
func (n *Node) sendResult(to string, r commandResult) {
	if to == n.config.Name || n.submissions.pending[r.ID] != nil {
		n.handleCommandResult(r)
		return
	}
	if to != "" {
		n.send(to, envelope{CommandResult: &r})
	}
}
