package core

import (
	"time"

	dw "dewhitch"
	"dewhitch/internal/ledger"
)

// fetchBegan tells that the value of a good fetch has begun to come.
type fetchBegan struct {
	fetch Attempt
	began time.Time
	value Stream
}

func (fetchBegan) queue() Queue { return QueueOutcome }
func (fetchEnded) queue() Queue { return QueueOutcome }

type fetchEnded struct {
	fetch  Attempt
	began  time.Time
	end    AttemptResult
	unsent bool // it was never started
}

// send starts a fetch. The module alone decides to send again: nothing here does.
func (p *Planner) send(now time.Time, a dw.StartAttempt) {
	t := p.reqs[a.Request]
	if t == nil {
		return
	}
	f := Attempt{RequestID: t.id, Number: t.attempts, Request: t.req, Deadline: t.req.ReceivedAt.Add(t.req.Timeout)}
	if until := now.Add(time.Duration(a.Timeout)); a.Timeout != 0 && until.Before(f.Deadline) {
		f.Deadline = until
	}
	if a.StartWithin != 0 {
		f.StartBy = now.Add(time.Duration(a.StartWithin))
	}
	if t.attempts > 0 {
		p.monitor.Retried(t.last)
	}
	t.attempts++
	t.out++
	backend, known := p.route(a.Server)
	f.Backend = backend
	// Past the attempts that settings read anew allow, a fetch is not sent, as one whose time is up.
	spent := t.most > 0 && t.attempts > t.most
	if t.answered || t.req.ClientLeft() || !known || !now.Before(f.Deadline) || spent { // it never left; told later, as any end is
		f.Backend.ID = a.Server
		end := fetchEnded{f, now, AttemptResult{Outcome: dw.OutcomeNotSent}, true}
		go func() { _ = p.post(end) }()
		return
	}
	t.post(p, ledger.PlanSent)
	if p.watcher != nil {
		p.watcher.AttemptStarted(AttemptID{t.id, f.Number}, backend.ID, p.listed[backend.ID].Zone)
	}
	p.backends.Start(f, func(v Stream) {
		if p.post(fetchBegan{f, now, v}) != nil {
			v.Close()
		}
	}, func(end AttemptResult) { _ = p.post(fetchEnded{f, now, end, false}) })
}
