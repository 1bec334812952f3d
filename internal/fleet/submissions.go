package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	commandRetryInterval = 300 * time.Millisecond
	commandTimeout       = 8 * time.Second
)

// Errors of Submit beside CommandError. After ErrNoQuorum the command may still take effect.
var (
	ErrNoQuorum = errors.New("fleet: nothing can be settled: no leader answered in time")
	ErrBusy     = errors.New("fleet: too many wait to be settled")
)

// CommandError is the failure of a command as the leader reported it; the plan is unchanged by the command.
type CommandError struct{ Reason string }

// Error implements error.
func (e *CommandError) Error() string { return e.Reason }

// submissions are the commands submitted at this member that wait for their results.
type submissions struct {
	pending    map[string]*submission // by ID
	lastNumber uint64                 // of the IDs drawn in this incarnation
}

type submission struct {
	command  command
	deadline time.Duration
	nextSend time.Duration
	done     func(Epoch, error)
}

// nextDeadline is the earliest time at which a submission needs a retry or times out, if that is before next.
func (s *submissions) nextDeadline(next time.Duration) time.Duration {
	for _, p := range s.pending {
		next = min(next, p.nextSend, p.deadline)
	}
	return next
}

// newCommandID draws an ID that no other incarnation of any member draws: the leader's idempotency key.
func (n *Node) newCommandID() string {
	n.submissions.lastNumber++
	return fmt.Sprintf("%s/%x/%d", n.config.Name, n.config.Incarnation, n.submissions.lastNumber)
}

// Submit has the leader run the command called name. done is called once, by this or a later call on the
// Node: with the epoch in which the command's effect is in the plan, or with ErrBusy, ErrNoQuorum or a
// CommandError. unix is in milliseconds.
func (n *Node) Submit(now time.Duration, unix int64, name string, args []byte, done func(Epoch, error)) {
	n.advance(now, unix)
	if len(n.submissions.pending) >= maxCommands {
		done(Epoch{}, ErrBusy)
		return
	}
	c := command{ID: n.newCommandID(), Name: name, Args: args}
	n.submissions.pending[c.ID] = &submission{command: c, deadline: n.now + commandTimeout, nextSend: n.now, done: done}
	n.retrySubmissions()
	n.runCommands()
}

// retrySubmissions sends pending commands to the leader every commandRetryInterval, as messages and leaders
// get lost, and gives up at their deadline. While no leader is known a submission stays due.
func (n *Node) retrySubmissions() {
	for _, id := range slices.Sorted(maps.Keys(n.submissions.pending)) {
		s := n.submissions.pending[id]
		switch {
		case n.now >= s.deadline:
			delete(n.submissions.pending, id)
			s.done(Epoch{}, ErrNoQuorum)
		case n.now < s.nextSend:
		case n.Leads():
			s.nextSend = n.now + commandRetryInterval
			n.enqueueCommand(s.command, n.config.Name)
		case n.leader != "" && n.leader != n.config.Name:
			s.nextSend = n.now + commandRetryInterval
			n.send(n.leader, envelope{Command: &s.command})
		}
	}
}

// handleCommandResult ends a submission; a duplicate result is ignored.
func (n *Node) handleCommandResult(r commandResult) {
	s := n.submissions.pending[r.ID]
	if s == nil {
		return
	}
	delete(n.submissions.pending, r.ID)
	if r.Error != "" {
		s.done(Epoch{}, &CommandError{r.Error})
		return
	}
	s.done(r.Epoch, nil)
}
