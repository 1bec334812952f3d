package fleet

import (
	"errors"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
)

const (
	// maxCommands limits, separately, the commands queued at the leader, the results that the leader keeps, and the
	// submissions pending at a member.
	maxCommands     = 256
	proposalTimeout = commandTimeout // time after which the leader considers a proposal lost
)

var errUnknownCommand = errors.New("fleet: no such verb")

// commandQueue is the leader's queue of commands. Commands run one at a time, each on the plan that the
// previous one produced. Results are kept so that a member whose answer was lost can retry.
type commandQueue struct {
	waiting     []queuedCommand
	proposal    proposal
	results     map[string]commandResult
	resultOrder []string // IDs of the results, oldest first
}

type queuedCommand struct {
	command   command
	submitter string // member that receives the result
}

// proposal is the change that this leader has proposed and whose commit is pending. There is at most one.
type proposal struct {
	id         string // ID of the change; empty if no proposal is pending
	submitter  string // member that receives the result; empty if the leader proposed the change itself
	proposedAt time.Duration
}

// clear drops the queued commands and the pending proposal, and keeps the results.
func (q *commandQueue) clear() {
	q.waiting = nil
	q.proposal.id = ""
}

// admits returns true if a command may be queued: it is neither queued nor proposed, and the queue has room.
func (q *commandQueue) admits(id string) bool {
	return q.proposal.id != id && len(q.waiting) < maxCommands &&
		!slices.ContainsFunc(q.waiting, func(c queuedCommand) bool { return c.command.ID == id })
}

// next removes and returns the oldest queued command. ok is false if a proposal is pending or the queue is
// empty.
func (q *commandQueue) next() (c queuedCommand, ok bool) {
	if q.proposal.id != "" || len(q.waiting) == 0 {
		return c, false
	}
	c = q.waiting[0]
	q.waiting = q.waiting[1:]
	return c, true
}

// record stores a result and evicts the oldest one beyond maxCommands.
func (q *commandQueue) record(r commandResult) {
	q.results[r.ID] = r
	q.resultOrder = append(q.resultOrder, r.ID)
	if len(q.resultOrder) > maxCommands {
		delete(q.results, q.resultOrder[0])
		q.resultOrder = q.resultOrder[1:]
	}
}

// enqueueCommand queues a command at the leader, or sends the result again if the command has already run. A
// member that does not lead drops the command; the submitter retries.
func (n *Node) enqueueCommand(c command, submitter string) {
	if r, ok := n.commands.results[c.ID]; ok {
		n.sendResult(submitter, r)
		return
	}
	if n.Leads() && n.commands.admits(c.ID) {
		n.commands.waiting = append(n.commands.waiting, queuedCommand{command: c, submitter: submitter})
	}
}

// Propose has the leader change sections of the current plan on its own initiative. It returns true if the
// change was proposed, and false if this member does not lead, another change is pending, commands are queued
// or raft rejects the proposal. Once committed, the change shows in the plan.
func (n *Node) Propose(sections map[string]cbor.RawMessage) bool {
	if !n.Leads() || n.commands.proposal.id != "" || len(n.commands.waiting) > 0 {
		return false
	}
	n.propose(n.newCommandID(), "", sections)
	return n.commands.proposal.id != ""
}

// propose submits a change of the plan to the log. No proposal is pending if raft rejects it.
func (n *Node) propose(id, submitter string, sections map[string]cbor.RawMessage) {
	n.commands.proposal = proposal{id: id, submitter: submitter, proposedAt: n.now}
	if n.voter.proposeChange(change{Base: n.voter.plan.Epoch, Set: sections, ID: id}) != nil {
		n.commands.proposal.id = ""
	}
	n.takeVoterOutput()
}

// runCommands has the leader run queued commands until one of them proposes a change or the queue is empty.
func (n *Node) runCommands() {
	if !n.Leads() {
		n.commands.waiting = nil // the submitters retry
		return
	}
	if n.commands.proposal.id != "" && n.now-n.commands.proposal.proposedAt > proposalTimeout {
		n.commands.proposal.id = "" // raft dropped the proposal
	}
	for {
		c, ok := n.commands.next()
		if !ok {
			return
		}
		n.runCommand(c)
	}
}

// runCommand calls the command's handler and proposes the change that it returns. If there is no change or the
// handler fails, the command is answered immediately.
func (n *Node) runCommand(c queuedCommand) {
	err := errUnknownCommand
	var sections map[string]cbor.RawMessage
	if handle := n.config.Commands[c.command.Name]; handle != nil {
		sections, err = handle(&n.voter.plan, c.command.Args, n.unixMS)
	}
	switch {
	case err != nil:
		n.recordResult(commandResult{ID: c.command.ID, Error: err.Error()}, c.submitter)
	case len(sections) == 0:
		n.recordResult(commandResult{ID: c.command.ID, Epoch: n.voter.plan.Epoch}, c.submitter)
	default:
		n.propose(c.command.ID, c.submitter, sections)
	}
}

// finishProposal answers the pending command once its log entry is applied.
func (n *Node) finishProposal(c committedChange) {
	if c.change.ID == "" || c.change.ID != n.commands.proposal.id {
		return
	}
	n.commands.proposal.id = ""
	r := commandResult{ID: c.change.ID, Epoch: c.epoch}
	if c.err != nil {
		r.Error = c.err.Error()
	}
	n.recordResult(r, n.commands.proposal.submitter)
}

func (n *Node) recordResult(r commandResult, to string) {
	n.commands.record(r)
	n.sendResult(to, r)
}

// sendResult sends a command's result to the member that submitted it. to is empty if the leader proposed the
// change itself.
func (n *Node) sendResult(to string, r commandResult) {
	if to == n.config.Name || n.submissions.pending[r.ID] != nil {
		n.handleCommandResult(r)
		return
	}
	if to != "" {
		n.send(to, envelope{CommandResult: &r})
	}
}
