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

// Whether a backend may have executed an attempt depends only on whether its command was written completely. A backend executes
// complete commands only, and a connection is reset when its attempt fails, so that the kernel delivers nothing more
// (resetOnClose). Once a command was written completely, only a rejection shows that it was not executed.

// unsentOutcome returns the outcome of an attempt whose command was not written completely, and which was therefore not
// executed. A shortage on this machine, or an end that the planner or the client caused, is not attributed to the backend;
// otherwise the gateway would avoid every backend because of it.
func unsentOutcome(ctx context.Context, err error) dw.Outcome {
	ownFault := errors.Is(err, errNoDescriptor) || sockets.ClassifyDialError(err) == sockets.Shortage
	notWanted := errors.Is(err, errClientDeparted) || errors.Is(err, errNotAllowed) || errors.Is(ctx.Err(), context.Canceled)
	if ownFault || notWanted {
		return dw.OutcomeNotSent
	}
	return dw.OutcomeConnectFailed
}

// sentOutcome returns the outcome of an attempt whose command was written completely and whose answer could not be read. The
// backend may have executed it. A lack of memory on this machine is not attributed to the backend.
func sentOutcome(ctx context.Context, err error) dw.Outcome {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) || errors.Is(err, errNoMemory):
		return dw.OutcomeCancelled
	case ctx.Err() != nil:
		return dw.OutcomeTimeout
	case errors.Is(err, resp.ErrProtocol) || errors.Is(err, os.ErrDeadlineExceeded):
		return dw.OutcomeError
	}
	return dw.OutcomeReset
}

// outcomeEvents maps the outcomes of attempts to ledger events.
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

// postEnd posts the end of an attempt when it is first called, and does nothing after that. Only the attempt's goroutine calls
// it.
func (p *Pools) postEnd(a *attempt, o dw.Outcome) {
	if a.posting.Event != ledger.None {
		a.posting.Event = outcomeEvents[o]
		p.recorder.Post(a.posting)
		a.posting.Event = ledger.None
	}
}
