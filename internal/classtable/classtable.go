// Package classtable owns the table of class names that the fronts read reqs by: which of the module's classes a name's
// reqs go under, as settings are read anew while the gateway runs. It does no I/O and reads no clock.
//
// The module keeps the classes of its start, as its quota state, what it knows of servers and its open reqs depend on
// them. A class that later settings name goes under one of those whose rules are at least as strict as its own, so that
// no rule of the new class is broken by following the old one.
package classtable

import (
	"math"
	"slices"

	dw "dewhitch"
)

// Entry is what one class name means.
type Entry struct {
	Name   string
	Class  int            // of the module; below 0: none is strict enough, and reqs of the name are refused
	Effect dw.Idempotency // as the settings that named it last say: which command it comes by
}

// Table is the names that clients may use, those of the settings in force first.
type Table []Entry

// MostNames bounds a table, whatever settings come: the names of dropped classes go first, the oldest first.
const MostNames = 256

// Start is the table of the settings that the module was made with.
func Start(names []string, classes []dw.Class) Table {
	t := make(Table, 0, len(names))
	for i, n := range names {
		if _, twice := t.Find(n); !twice { // a name given twice means what it meant first
			t = append(t, Entry{Name: n, Class: i, Effect: classes[i].Idempotency})
		}
	}
	return t
}

// Spared is the classes that a module is made with, and their names for books and snapshots: those of the settings, and
// behind them, for each that may be repeated, one that may not, as which settings read anew may name a class. Clients
// never name these themselves. Danger: without one, every req of such a class would be refused until a restart.
func Spared(names []string, classes []dw.Class) ([]string, []dw.Class) {
	names, classes = slices.Clone(names), slices.Clone(classes)
	for i, c := range classes {
		if c.Idempotency != dw.NotIdempotent {
			c.Idempotency, c.DedupScope, c.DedupWindow = dw.NotIdempotent, dw.DedupAll, 0
			names, classes = append(names, names[i]+" (once)"), append(classes, c)
		}
	}
	return names, classes
}

// Retune is the table once settings with these classes are in force; module is the module's classes. The names that
// they drop are kept behind, for clients that have not moved yet.
func (t Table) Retune(module []dw.Class, names []string, classes []dw.Class) Table {
	out := make(Table, 0, len(names)+len(t))
	named := make(map[string]bool, len(names))
	for i, n := range names {
		if named[n] {
			continue // a name given twice means what it meant first
		}
		named[n] = true
		out = append(out, Entry{Name: n, Class: Choose(module, classes[i]), Effect: classes[i].Idempotency})
	}
	for _, e := range t {
		if !named[e.Name] && len(out) < MostNames {
			named[e.Name] = true
			out = append(out, e)
		}
	}
	return out
}

// Find is the entry of a name.
func (t Table) Find(name string) (Entry, bool) {
	for _, e := range t {
		if e.Name == name {
			return e, true
		}
	}
	return Entry{}, false
}

// Names are the names of the table, in its order.
func (t Table) Names() []string {
	names := make([]string, len(t))
	for i, e := range t {
		names[i] = e.Name
	}
	return names
}

// Choose is the module's class that a class goes under: an equal one, or else the nearest of those that are at least
// as strict; -1 if none is.
func Choose(module []dw.Class, c dw.Class) int {
	best, nearest := -1, math.Inf(1)
	for i, m := range module {
		if m == c {
			return i
		}
		if !Stricter(m, c) {
			continue
		}
		d := far(float64(m.Deadline), float64(c.Deadline)) + far(float64(m.Objective), float64(c.Objective)) +
			far(m.Weight+1, c.Weight+1)
		if m.Idempotency != c.Idempotency {
			d += 100 // another effect costs retries that the class would have had
		}
		if d < nearest {
			best, nearest = i, d
		}
	}
	return best
}

// far is how many times one is the other, on a scale where twice and half are as far.
func far(a, b float64) float64 { return math.Abs(math.Log(max(a, 1e-9) / max(b, 1e-9))) }

// Stricter says whether following the rules of m breaks none of those of c. Danger: a class that may not run twice
// must not be taken for one that may be repeated, nor a group of servers for a larger one.
func Stricter(m, c dw.Class) bool {
	if m.Streaming != c.Streaming {
		return false
	}
	switch c.Idempotency {
	case dw.Idempotent:
		return true
	case dw.IdempotentByKey:
		return m.Idempotency == dw.NotIdempotent ||
			m.Idempotency == dw.IdempotentByKey && (m.DedupScope == c.DedupScope || c.DedupScope == dw.DedupAll) && m.DedupWindow <= c.DedupWindow
	default:
		return m.Idempotency == dw.NotIdempotent
	}
}
