package recorder

import (
	"time"

	"dewhitch/internal/ledger"
)

// Post records one posting. It sets p.At to the current time, or to that of the last timed posting if the event is not in
// isTimed.
func (rec *Recorder) Post(p ledger.Posting) {
	now := int64(0)
	if isTimed[p.Event] {
		now = rec.now()
	}
	rec.queueMu.Lock()
	if now != 0 {
		rec.lastTime = now
	}
	p.At = rec.lastTime // readers need the order of postings more than the exact time of each
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

// now returns the Unix time in nanoseconds: the start time plus the time elapsed since by the monotonic clock.
func (rec *Recorder) now() int64 { return rec.startTime.UnixNano() + int64(time.Since(rec.startTime)) }

// isTimed is true for events whose postings get the current time: those that open an entry or end a request. Other postings get
// the time of the last timed one.
var isTimed = [ledger.EventCount]bool{ledger.FrontTaken: true, ledger.FrontServed: true, ledger.FrontRejected: true,
	ledger.FrontFailed: true, ledger.FrontClientDeparted: true, ledger.FrontWriteFailed: true, ledger.FrontNotSubmitted: true, ledger.UnitsPushed: true}

// drainQueue adds the queued postings to the ledger. It calls atBoundary, if not nil, under queueMu; the ledger then contains
// exactly the postings before that call. The lock mu is held.
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
