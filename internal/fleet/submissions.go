package fleet

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"
)

const (
	commandRetryInterval = 300 * time.Millisecond // interval at which a pending command is sent again
	commandTimeout       = 8 * time.Second        // time after which a pending command fails with ErrNoQuorum
)

// Errors of Submit in addition to CommandError. After ErrNoQuorum the command may still take effect.
var (
	ErrNoQuorum = errors.New("fleet: nothing can be settled: no leader answered in time")
	ErrBusy     = errors.New("fleet: too many wait to be settled")
)

// CommandError is the failure of a command as reported by the leader. The command has not changed the plan.
type CommandError struct{ Reason string }

// Error implements error.
func (e *CommandError) Error() string { return e.Reason }

// submissions holds the commands submitted at this member whose results are pending.
type submissions struct {
	pending      map[string]*submission // by command ID
	lastIDNumber uint64                 // number in the last ID that this process generated
}

// submission is one command whose result is pending.
type submission struct {
	command    command
	deadline   time.Duration
	nextSendAt time.Duration
	done       func(Epoch, error)
}

// nextDeadline returns the earliest time at which a submission needs a retry or times out, but at most next.
func (s *submissions) nextDeadline(next time.Duration) time.Duration {
	for _, p := range s.pending {
		next = min(next, p.nextSendAt, p.deadline)
	}
	return next
}

// newCommandID generates an ID that no other process of any member generates. The leader uses it as the
// command's idempotency key.
func (n *Node) newCommandID() string {
	n.submissions.lastIDNumber++
	return fmt.Sprintf("%s/%x/%d", n.config.Name, n.config.Incarnation, n.submissions.lastIDNumber)
}

// Submit has the leader run the command called name. done is called once, within this or a later call of a
// method of the Node, with the epoch of the plan that contains the command's effect, or with ErrBusy,
// ErrNoQuorum or a CommandError. unixMS is the Unix time in milliseconds.
func (n *Node) Submit(now time.Duration, unixMS int64, name string, args []byte, done func(Epoch, error)) {
	n.advance(now, unixMS)
	if len(n.submissions.pending) >= maxCommands {
		done(Epoch{}, ErrBusy)
		return
	}
	c := command{ID: n.newCommandID(), Name: name, Args: args}
	n.submissions.pending[c.ID] = &submission{command: c, deadline: n.now + commandTimeout, nextSendAt: n.now, done: done}
	n.retrySubmissions()
	n.runCommands()
}

// retrySubmissions sends pending commands to the leader every commandRetryInterval, because messages are lost and
// leaders fail, and fails a command at its deadline. While no leader is known a submission stays due, so that it is
// sent as soon as a leader is known.
func (n *Node) retrySubmissions() {
	for _, id := range slices.Sorted(maps.Keys(n.submissions.pending)) {
		s := n.submissions.pending[id]
		switch {
		case n.now >= s.deadline:
			delete(n.submissions.pending, id)
			s.done(Epoch{}, ErrNoQuorum)
		case n.now < s.nextSendAt:
		case n.Leads():
			s.nextSendAt = n.now + commandRetryInterval
			n.enqueueCommand(s.command, n.config.Name)
		case n.leader != "" && n.leader != n.config.Name:
			s.nextSendAt = n.now + commandRetryInterval
			n.send(n.leader, envelope{Command: &s.command})
		}
	}
}

// handleCommandResult completes a submission. Duplicate results are ignored.
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
