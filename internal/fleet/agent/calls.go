package agent

import (
	"context"
	"errors"

	"dewhitch/internal/fleet"
)

// ErrEnded is returned after Run has returned.
var ErrEnded = errors.New("fleet: this process is leaving")

// call runs f on the agent's goroutine and waits until f has returned. If call returns ErrEnded, f may or may not have run.
func (a *Agent) call(f func()) error {
	done := make(chan struct{})
	select {
	case a.calls <- func() { f(); close(done) }:
	case <-a.stopped:
		return ErrEnded
	}
	select {
	case <-done:
		return nil
	case <-a.stopped:
		return ErrEnded
	}
}

// Submit sends a command to the leader and returns the epoch in which it takes effect. It returns the errors of
// fleet.Node.Submit, the context's error, or ErrEnded. After the latter two the command may still take effect.
func (a *Agent) Submit(ctx context.Context, name string, args []byte) (fleet.Epoch, error) {
	type result struct {
		epoch fleet.Epoch
		err   error
	}
	results := make(chan result, 1)
	if err := a.call(func() {
		now, unixMS := a.now()
		a.node.Submit(now, unixMS, name, args, func(e fleet.Epoch, err error) { results <- result{e, err} })
	}); err != nil {
		return fleet.Epoch{}, err
	}
	select {
	case r := <-results:
		return r.epoch, r.err
	case <-ctx.Done():
		return fleet.Epoch{}, ctx.Err()
	case <-a.stopped:
		return fleet.Epoch{}, ErrEnded
	}
}
