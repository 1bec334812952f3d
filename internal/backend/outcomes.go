package backend

import (
	"context"
	"errors"
	"os"

	dw "dewhitch"
	"dewhitch/internal/ledger"
	"dewhitch/internal/resp"
	"dewhitch/internal/sockets"
)

// Whether an attempt may have run depends on one thing: whether its command was written completely. A backend runs complete
// commands alone, and a connection that is given up is reset, so that the kernel delivers nothing more (resetOnClose). Of a
// command that was written, only a rejection tells that it did not run.

// unsentOutcome is the outcome of an attempt whose command was not written completely, whatever the reason: it did not run.
// What this machine lacks, and an end that the planner or the client caused, is no fault of the backend's: blamed, every
// backend would be avoided for it.
func unsentOutcome(ctx context.Context, err error) dw.Outcome {
	ownFault := errors.Is(err, errNoDescriptor) || sockets.DialClass(err) == sockets.Shortage
	notWanted := errors.Is(err, errClientLeft) || errors.Is(err, errNotAllowed) || errors.Is(ctx.Err(), context.Canceled)
	if ownFault || notWanted {
		return dw.OutcomeNotSent
	}
	return dw.OutcomeConnectFailed
}

// sentOutcome is the outcome of an attempt whose command was written completely and whose answer could not be read: it may
// have run.
func sentOutcome(ctx context.Context, err error) dw.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		return dw.OutcomeCancelled
	case ctx.Err() != nil:
		return dw.OutcomeTimeout
	case errors.Is(err, resp.ErrProtocol) || errors.Is(err, os.ErrDeadlineExceeded):
		return dw.OutcomeError
	}
	return dw.OutcomeReset
}

// outcomeEvents are the ledger's events for the outcomes of attempts.
var outcomeEvents = [dw.OutcomeCount]ledger.Event{
	dw.OutcomeOK:            ledger.AttemptOK,
	dw.OutcomeError:         ledger.AttemptError,
	dw.OutcomeRejected:      ledger.AttemptRejected,
	dw.OutcomeTimeout:       ledger.AttemptTimeout,
	dw.OutcomeConnectFailed: ledger.AttemptConnectFailed,
	dw.OutcomeReset:         ledger.AttemptReset,
	dw.OutcomeCancelled:     ledger.AttemptCancelled,
	dw.OutcomeNotSent:       ledger.AttemptNotSent,
}

// postEnd posts the end of an attempt, the first time that it is called. Only the attempt's goroutine calls it.
func (p *Pools) postEnd(a *attempt, o dw.Outcome) {
	if a.posting.Event != ledger.None {
		a.posting.Event = outcomeEvents[o]
		p.recorder.Post(a.posting)
		a.posting.Event = ledger.None
	}
}
