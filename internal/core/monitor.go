package core

import (
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// Queue identifies a queue of the planner's inbox.
type Queue int

// The queues of the planner's inbox, in order of priority, highest first.
const (
	QueueEndpoints Queue = iota // endpoint updates
	QueueControl                // operators' calls, fleet plans, reads of the module's state, shutdown
	QueueOutcome                // ends of attempts and counter calls; cancelled and expedited requests
	QueueArrival                // new requests
	QueueCount                  // number of queues
)

// String returns the queue's name in metrics and logs.
func (q Queue) String() string { return [...]string{"news", "control", "outcome", "arrival"}[q] }

// Monitor observes the planner. Its methods are called on the planner's goroutine and must not block.
type Monitor interface {
	// Waited reports the time that a message waited in its queue.
	Waited(q Queue, wait time.Duration)
	// TimerLate reports how long after its time a timer fired.
	TimerLate(d time.Duration)
	// ListApplied reports that an endpoint update was applied, and the time since its first byte was read.
	ListApplied(version int64, age time.Duration)
	// Answered reports the ledger event with which a request ended.
	Answered(event ledger.Event)
	// Retried reports that another attempt of a request starts. after is the outcome of the attempt that ended last.
	Retried(after dw.Outcome)
}

// SetMonitor sets the monitor. It must be called before Run.
func (p *Planner) SetMonitor(m Monitor) { p.monitor = m }

// noMonitor discards all reports.
type noMonitor struct{}

func (noMonitor) Waited(Queue, time.Duration)      {}
func (noMonitor) TimerLate(time.Duration)          {}
func (noMonitor) ListApplied(int64, time.Duration) {}
func (noMonitor) Answered(ledger.Event)            {}
func (noMonitor) Retried(dw.Outcome)               {}

// Watcher observes requests, attempts and the endpoint list. Its methods are called on the planner's goroutine and must not
// block.
type Watcher interface {
	// RequestReceived reports that the planner has accepted a request.
	RequestReceived()
	// AttemptStarted reports an attempt just before it is passed to Backends.
	AttemptStarted(id AttemptID, server dw.ServerID, zone int)
	// AttemptEnded reports the end of a started attempt. It is called exactly once per attempt unless the planner stops first.
	AttemptEnded(id AttemptID, result AttemptResult)
	// EndpointsChanged reports all listed servers after each update of the list. The watcher owns the slice.
	EndpointsChanged(servers []dw.Endpoint)
}

// SetWatcher sets the watcher. It must be called before Run.
func (p *Planner) SetWatcher(w Watcher) { p.watcher = w }
