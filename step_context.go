package dewhitch

import "math/rand/v2"

// stepContext is the state that all components share. Gateway.Handle and Gateway.Import set the time and
// collect the actions; the components only read the time and append actions with emit. Like Gateway, it is
// owned by one goroutine.
type stepContext struct {
	settings  Settings
	rng       *rand.Rand // random draws, part of the decisions: a replay makes the same draws in the same order
	now       Instant    // time of the current event
	startedAt Instant    // time of the first event; until then, time of the import
	actions   []Action   // actions of the current event
	timers    timerTable
}

// emit appends an action to those of the current event.
func (c *stepContext) emit(a Action) { c.actions = append(c.actions, a) }
