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
	before, now := idSet(known.OlderView), idSet(found.Excluded)
	changes := Changes{}
	for id := range now {
		if !before[id] {
			changes[id] = true
		}
	}
	for id := range before {
		if !now[id] {
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
	excluded := idSet(s.Excluded)
	maps.Copy(excluded, changes)
	maps.DeleteFunc(excluded, func(_ string, isExcluded bool) bool { return !isExcluded })
	s.Excluded = slices.AppendSeq([]string{}, maps.Keys(excluded)) // an empty list, as older builds write it, and not null
	slices.Sort(s.Excluded)
	return s
}

func idSet(ids []string) map[string]bool {
	set := make(map[string]bool, len(ids))
	for _, id := range ids {
		set[id] = true
	}
	return set
}
