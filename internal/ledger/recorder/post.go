package recorder

import (
	"time"

	"dewhitch/internal/ledger"
)

// Post books one posting, at the present.
func (rec *Recorder) Post(p ledger.Posting) {
	now := int64(0)
	if isTimed[p.Event] {
		now = rec.now()
	}
	rec.queueMu.Lock()
	if now != 0 {
		rec.lastTime = now
	}
	p.At = rec.lastTime // of the last that was timed: readers want the order more than the microsecond
	if rec.store != nil {
		rec.store.Append(p)
	}
	rec.queue = append(rec.queue, p)
	n := len(rec.queue)
	rec.queueMu.Unlock()
	if n == wakeQueueLength {
		select {
		case rec.wake <- struct{}{}:
		default:
		}
	} else if n >= maxQueueLength { // Run does not come to it
		rec.lockAndDrainQueue()
	}
}

// lockAndDrainQueue books what waits.
func (rec *Recorder) lockAndDrainQueue() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.drainQueue(nil)
}

func (rec *Recorder) now() int64 { return rec.startTime.UnixNano() + int64(time.Since(rec.startTime)) }

// isTimed are the events whose time is of use: they open something, or end a request.
var isTimed = [ledger.EventCount]bool{ledger.FrontTaken: true, ledger.FrontServed: true, ledger.FrontRejected: true,
	ledger.FrontFailed: true, ledger.FrontClientDeparted: true, ledger.FrontWriteFailed: true, ledger.FrontNotSubmitted: true, ledger.UnitsPushed: true}

// drainQueue books what waits; mark, if any, is called where the next posting begins anew. The lock mu is held.
func (rec *Recorder) drainQueue(atBoundary func()) {
	rec.queueMu.Lock()
	waiting := rec.queue
	rec.queue = rec.spareQueue[:0]
	if atBoundary != nil {
		atBoundary()
	}
	rec.queueMu.Unlock()
	for _, p := range waiting {
		rec.ledger.Post(p)
	}
	if rec.spareQueue = waiting[:0]; cap(waiting) > 4*wakeQueueLength {
		rec.spareQueue = nil
	}
}
