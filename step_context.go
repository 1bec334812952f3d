package dewhitch

import "math/rand/v2"

// stepContext is what all owners of decisions share. Gateway.Handle and Gateway.Import set the time and
// collect the actions; everybody else reads the time and appends actions by emit. Like Gateway, it is owned
// by one goroutine.
type stepContext struct {
	settings  Settings
	rng       *rand.Rand // each draw is part of the decision: a replay makes the same draws in the same order
	now       Instant    // of the event that is handled
	startedAt Instant    // of the first event; before it, of the import
	actions   []Action   // of the event that is handled
	timers    timerTable
}

// emit appends an action to those of the event that is handled.
func (c *stepContext) emit(a Action) { c.actions = append(c.actions, a) }
