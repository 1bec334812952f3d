package recorder

import (
	"time"

	"dewhitch/internal/ledger"
)

// Post books one posting, at the present.
func (rec *Recorder) Post(p ledger.Posting) {
	now := int64(0)
	if timed[p.Event] {
		now = rec.time()
	}
	rec.posting.Lock()
	if now != 0 {
		rec.now = now
	}
	p.At = rec.now // of the last that was timed: readers want the order more than the microsecond
	if rec.keeper != nil {
		rec.keeper.Append(p)
	}
	rec.queue = append(rec.queue, p)
	n := len(rec.queue)
	rec.posting.Unlock()
	if n == wakeBatch {
		select {
		case rec.full <- struct{}{}:
		default:
		}
	} else if n >= maxBatch { // Run does not come to it
		rec.drainQueueNow()
	}
}

// drainQueueNow books what waits.
func (rec *Recorder) drainQueueNow() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.drainQueue(nil)
}

func (rec *Recorder) time() int64 { return rec.start.UnixNano() + int64(time.Since(rec.start)) }

// timed are the events whose time is of use: they open something, or end a request.
var timed = [ledger.EventCount]bool{ledger.FrontTaken: true, ledger.FrontServed: true, ledger.FrontRejected: true,
	ledger.FrontFailed: true, ledger.FrontClientDeparted: true, ledger.FrontWriteFailed: true, ledger.FrontNotSubmitted: true, ledger.UnitsPushed: true}

// drainQueue books what waits; mark, if any, is called where the next posting begins anew. The lock mu is held.
func (rec *Recorder) drainQueue(mark func()) {
	rec.posting.Lock()
	waiting := rec.queue
	rec.queue = rec.spareQueue[:0]
	if mark != nil {
		mark()
	}
	rec.posting.Unlock()
	for _, p := range waiting {
		rec.ledger.Post(p)
	}
	if rec.spareQueue = waiting[:0]; cap(waiting) > 4*wakeBatch {
		rec.spareQueue = nil
	}
}
