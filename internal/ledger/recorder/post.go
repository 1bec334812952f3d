package recorder

import (
	"time"

	"dewhitch/internal/ledger"
)

// Post records one posting with the current time. It sets p.At.
func (rec *Recorder) Post(p ledger.Posting) {
	now := int64(0)
	if isTimed[p.Event] {
		now = rec.now()
	}
	rec.queueMu.Lock()
	if now != 0 {
		rec.lastTime = now
	}
	p.At = rec.lastTime // the time of the last timed posting, as readers need the order more than the microsecond
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
	} else if n >= maxQueueLength { // Run does not drain the queue in time
		rec.lockAndDrainQueue()
	}
}

// lockAndDrainQueue adds the queued postings to the ledger.
func (rec *Recorder) lockAndDrainQueue() {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.drainQueue(nil)
}

// now returns the time in Unix nanoseconds by the monotonic clock since the start.
func (rec *Recorder) now() int64 { return rec.startTime.UnixNano() + int64(time.Since(rec.startTime)) }

// isTimed is true for the events whose time is read: those that open an entry or end a request.
var isTimed = [ledger.EventCount]bool{ledger.FrontTaken: true, ledger.FrontServed: true, ledger.FrontRejected: true,
	ledger.FrontFailed: true, ledger.FrontClientDeparted: true, ledger.FrontWriteFailed: true, ledger.FrontNotSubmitted: true, ledger.UnitsPushed: true}

// drainQueue adds the queued postings to the ledger. It calls atBoundary, if not nil, under queueMu, so that the ledger then
// contains exactly the postings before that call. The lock mu is held.
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
