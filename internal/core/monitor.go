package core

import (
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// Queue is one of the kinds of messages that wait for the planner.
type Queue int

// The queues.
const (
	QueueEndpoints Queue = iota // changes of the list of servers
	QueueControl                // operators' calls, the fleet's settlements, the end of the process
	QueueOutcome                // ends of attempts and of calls to the counter
	QueueArrival                // what clients ask for, and that they have left
	QueueCount                  // how many there are
)

// String is the queue's name in metrics and logs.
func (q Queue) String() string { return [...]string{"news", "control", "outcome", "arrival"}[q] }

// Monitor is told what the planner does, on the planner's goroutine: it may not block.
type Monitor interface {
	// Waited tells how long a message waited for the planner.
	Waited(q Queue, d time.Duration)
	// ListApplied tells that a message of discovery's is in force, and how long after its first byte was read.
	ListApplied(version int64, age time.Duration)
	// Answered tells how the planner ended a request, and for what reason.
	Answered(why ledger.Event)
	// Retried tells that a request is sent again, after an attempt that ended so.
	Retried(after dw.Outcome)
}

// noMonitor is told for nobody.
type noMonitor struct{}

func (noMonitor) Waited(Queue, time.Duration)      {}
func (noMonitor) ListApplied(int64, time.Duration) {}
func (noMonitor) Answered(ledger.Event)            {}
func (noMonitor) Retried(dw.Outcome)               {}

// SetMonitor has m told what the planner does; before it runs.
func (p *Planner) SetMonitor(m Monitor) { p.monitor = m }
