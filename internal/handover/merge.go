package handover

import (
	"maps"
	"slices"
)

// absorb returns the state after a read of the file. known is the state before, and found is the content of the file.
//
// A state with a revision was written by a process that had read the one before, so it replaces the known one. A process of an
// older build writes no revision. It reads the file once, at its start, and later replaces it with its own view, which lacks the
// changes of the other processes. So only its own changes are taken: the differences from its view before. Such a process writes
// its view at its start already, unless that view is empty.
func absorb(known, found State) State {
	if found.Revision > 0 {
		return found
	}
	changes := Changes{}
	for _, id := range found.Excluded {
		if !slices.Contains(known.OlderView, id) {
			changes[id] = true
		}
	}
	for _, id := range known.OlderView {
		if !slices.Contains(found.Excluded, id) {
			changes[id] = false
		}
	}
	next := known.with(changes)
	next.OlderView = found.Excluded
	return next
}

// Changes holds the servers to exclude (true) or to include (false), by id.
type Changes map[string]bool

// with returns the state with changes applied, and its ids sorted.
func (s State) with(changes Changes) State {
	excluded := map[string]bool{}
	for _, id := range s.Excluded {
		excluded[id] = true
	}
	maps.Copy(excluded, changes)
	maps.DeleteFunc(excluded, func(_ string, isExcluded bool) bool { return !isExcluded })
	s.Excluded = slices.Sorted(maps.Keys(excluded))
	return s
}
