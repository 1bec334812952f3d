package counter

import (
	"sync/atomic"
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// The states of a call. It begins as queued and moves forward only:
//
//	queued  -> written: the writer, before it writes the first byte of the call
//	queued  -> settled: Add (the queue is full), the pipeline (no connection), the timer
//	written -> settled: the writer (not all bytes were written), the reader, the timer
//
// Whoever moves a call to settled, and nobody else, posts its end to the ledger and calls done.
const (
	callQueued  int32 = iota // nothing was written, so nothing was added
	callWritten              // some or all of it was written: the amount may have been added, or may be later
	callSettled
)

// call is one call to the counter. What its outcome promises of the amount:
//
//	dw.OutcomeOK             added once; the total includes it
//	dw.OutcomeRejected       not added, nor will it be: the queue was full, or the counter rejected the call
//	dw.OutcomeConnectFailed  not added, nor will it be: not all of the call was written
//	dw.OutcomeTimeout        unknown: it was written, and no answer was understood in time
type call struct {
	target    string    // request target
	size      int       // of the request in bytes; the writer's, set with writtenAt
	writtenAt time.Time // when its batch was made up; set before the call is handed to the reader
	state     atomic.Int32
	timer     *time.Timer // runs expire
	done      func(outcome dw.Outcome, total float64)
	recorder  Recorder
	posting   ledger.Posting // of its begin, then of its end
}

// settlementEvents are the ledger's events for the outcomes that a call may have.
var settlementEvents = [dw.OutcomeCount]ledger.Event{
	dw.OutcomeOK:            ledger.CallAdded,
	dw.OutcomeTimeout:       ledger.CallUnknown,
	dw.OutcomeRejected:      ledger.CallRejected,
	dw.OutcomeConnectFailed: ledger.CallRejected,
}

// settle ends the call if it is in the state given, and reports whether it did. The end is posted before done is called.
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

// expire settles the call at its timeout. The answer to a call that was written is still to come; the reader pairs it
// with this call and discards it, so that later answers stay with their calls.
func (c *call) expire() {
	if !c.settle(callQueued, dw.OutcomeConnectFailed, 0) {
		c.settle(callWritten, dw.OutcomeTimeout, 0)
	}
}
