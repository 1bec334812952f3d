package core

import (
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// Queue is a queue of the planner's inbox.
type Queue int

// The queues, in the order of their priority, highest first.
const (
	QueueEndpoints Queue = iota // endpoint updates
	QueueControl                // operators' calls, fleet plans, the end of the process
	QueueOutcome                // ends of attempts and of calls to the counter; cancelled and expedited requests
	QueueArrival                // new requests
	QueueCount                  // the number of queues
)

// String is the queue's name in metrics and logs.
func (q Queue) String() string { return [...]string{"news", "control", "outcome", "arrival"}[q] }

// Monitor observes the planner. Its methods are called on the planner's goroutine and may not block.
type Monitor interface {
	// Waited reports how long a message waited in its queue.
	Waited(q Queue, wait time.Duration)
	// ListApplied reports that an endpoint update is in force, and how long ago its first byte was read.
	ListApplied(version int64, age time.Duration)
	// Answered reports how a request ended, as the ledger has it.
	Answered(event ledger.Event)
	// Retried reports that a further attempt at a request starts; after is the outcome of the attempt that ended last.
	Retried(after dw.Outcome)
}

// SetMonitor has the planner report to m; before Run.
func (p *Planner) SetMonitor(m Monitor) { p.monitor = m }

// noMonitor discards all reports.
type noMonitor struct{}

func (noMonitor) Waited(Queue, time.Duration)      {}
func (noMonitor) ListApplied(int64, time.Duration) {}
func (noMonitor) Answered(ledger.Event)            {}
func (noMonitor) Retried(dw.Outcome)               {}

// Watcher follows requests, attempts and the endpoint list. Its methods are called on the planner's goroutine and may not
// block.
type Watcher interface {
	RequestReceived()
	// AttemptStarted reports an attempt that was handed to Backends.
	AttemptStarted(id AttemptID, server dw.ServerID, zone int)
	// AttemptEnded reports the end of an attempt that was started, exactly once, unless the planner stops before.
	AttemptEnded(id AttemptID, result AttemptResult)
	// EndpointsChanged reports all listed servers after each update of the list; the slice is the watcher's.
	EndpointsChanged(servers []dw.Endpoint)
}

// SetWatcher has the planner report to w; before Run.
func (p *Planner) SetWatcher(w Watcher) { p.watcher = w }
