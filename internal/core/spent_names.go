package core

import (
	"container/list"
	"time"

	dw "dewhitch"
)

const (
	maxSpentNames = 2048             // maximum number of names that are remembered
	spentNameTime = 60 * time.Second // time for which a name is remembered
)

// spentNames remembers the client-given names of requests that may have run, are not idempotent, and whose client departed without an
// answer. Such a client may come again with the same name, and the request must not run twice: servers recognize a repeat only by its
// key, for a limited time, and another attempt could reach them after that. It belongs to the planner's goroutine.
type spentNames struct {
	byName map[string]time.Time // time from which a name may be forgotten
	oldest *list.List           // names, the one that was added first at the front
}

func newSpentNames() spentNames {
	return spentNames{byName: map[string]time.Time{}, oldest: list.New()}
}

// add remembers a name. It forgets those whose time is over and, above maxSpentNames, the oldest.
func (n *spentNames) add(name string, now time.Time) {
	for e := n.oldest.Front(); e != nil; e = n.oldest.Front() {
		first := e.Value.(string)
		if len(n.byName) < maxSpentNames && now.Before(n.byName[first]) {
			break
		}
		n.oldest.Remove(e)
		delete(n.byName, first)
	}
	if _, known := n.byName[name]; !known {
		n.oldest.PushBack(name)
	}
	n.byName[name] = now.Add(spentNameTime)
}

// contains reports whether a name is remembered.
func (n *spentNames) contains(name string, now time.Time) bool {
	until, known := n.byName[name]
	return known && now.Before(until)
}

// mayHaveRun reports whether a server may have executed an attempt with this outcome.
func mayHaveRun(o dw.Outcome) bool {
	switch o {
	case dw.OutcomeOK, dw.OutcomeError, dw.OutcomeTimeout, dw.OutcomeReset, dw.OutcomeCancelled:
		return true
	}
	return false
}
