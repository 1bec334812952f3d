package counter

import (
	"sync/atomic"
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// The states of a call. A call starts as queued and only moves forward:
//
//	queued  -> written: by the writer, before it writes the first byte of the call
//	queued  -> settled: by Add (the queue is full), the pipeline (no connection) or the timer
//	written -> settled: by the writer (not all bytes were written), the reader or the timer
//
// Only the goroutine that moves a call to settled posts the call's end to the ledger and calls done.
const (
	callQueued  int32 = iota // nothing was written, so nothing was added
	callWritten              // part or all of the call was written: the amount may have been added or may still be added
	callSettled              // the outcome is final and was reported
)

// call is one call to the counter. Its outcome guarantees the following about the amount:
//
//	dw.OutcomeOK             the amount was added once; the total includes it
//	dw.OutcomeRejected       the amount was not and will not be added: the queue was full, or the counter rejected the call
//	dw.OutcomeConnectFailed  the amount was not and will not be added: the call was not written completely
//	dw.OutcomeTimeout        unknown: the call was written, and no valid answer was received in time
type call struct {
	target    string    // HTTP request target
	size      int       // size of the encoded request in bytes; set and read by the writer only
	writtenAt time.Time // time when the batch that contains the call was assembled; set before the reader receives the call
	state     atomic.Int32
	timer     *time.Timer // runs expire at the call's timeout
	done      func(outcome dw.Outcome, total float64)
	recorder  Recorder
	posting   ledger.Posting // posting of the call's start; once the call is settled, of its end
}

// settlementEvents maps the outcome of a call to the ledger event that records it.
var settlementEvents = [dw.OutcomeCount]ledger.Event{
	dw.OutcomeOK:            ledger.CallAdded,
	dw.OutcomeTimeout:       ledger.CallUnknown,
	dw.OutcomeRejected:      ledger.CallRejected,
	dw.OutcomeConnectFailed: ledger.CallRejected,
}

// settle ends the call if it is in the given state, and returns true if it did. It posts the end to the ledger before it calls
// done.
func (c *call) settle(from int32, outcome dw.Outcome, total float64) bool {
	if !c.state.CompareAndSwap(from, callSettled) {
		return false
	}
	c.timer.Stop()
	c.posting.Event = settlementEvents[outcome]
	c.recorder.Post(c.posting)
	c.done(outcome, total)
	return true
}

// expire settles the call at its timeout. If the call was written, its answer may still arrive. The reader pairs that answer
// with this call and discards it, so that later answers are paired with the right calls.
func (c *call) expire() {
	if !c.settle(callQueued, dw.OutcomeConnectFailed, 0) {
		c.settle(callWritten, dw.OutcomeTimeout, 0)
	}
}
