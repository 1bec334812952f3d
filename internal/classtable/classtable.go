// Package classtable maps the class names that clients use to classes of the decision module, over reloads of the settings. It does
// no I/O and reads no clock.
//
// The module has the classes of its start for its lifetime, as its quota accounts, server statistics and open requests refer to
// them. A class of reloaded settings is mapped to one of those whose rules are at least as strict as its own, so that following
// the module's rules breaks none of the new class's.
package classtable

import (
	"math"
	"slices"

	dw "dewhitch"
)

// Entry is what one class name means.
type Entry struct {
	Name        string
	Class       int            // index of the module's class; below 0: none is strict enough, and requests of the name are rejected
	Idempotency dw.Idempotency // by the settings that named it last, for the command that its requests come by
}

// Table is the names that clients may use, those of the settings in force first. It is never changed in place.
type Table []Entry

// MaxNames bounds the names of a table: those of dropped classes are forgotten first, the oldest first.
const MaxNames = 256

// New is the table of the settings that the module was made with. Of a repeated name the first counts.
func New(names []string, classes []dw.Class) Table {
	t := make(Table, 0, len(names))
	for i, n := range names {
		if _, repeated := t.Find(n); !repeated {
			t = append(t, Entry{Name: n, Class: i, Idempotency: classes[i].Idempotency})
		}
	}
	return t
}

// WithSpareClasses are the classes that a module is made with, and their names for ledger and snapshots: those of the settings, and
// after them, for each idempotent one, the same as a class that is not idempotent. Reloaded settings may change a class to that;
// without the spare class, all requests of it would be rejected until a restart. Clients can't name the spare classes.
func WithSpareClasses(names []string, classes []dw.Class) ([]string, []dw.Class) {
	names = slices.Clone(names)
	classes = slices.Clone(classes)
	for i, c := range classes {
		if c.Idempotency == dw.NotIdempotent {
			continue
		}
		c.Idempotency = dw.NotIdempotent
		c.DedupScope = dw.DedupAll
		c.DedupWindow = 0
		names = append(names, names[i]+" (once)")
		classes = append(classes, c)
	}
	return names, classes
}

// Reload is the table when settings with these classes come into force; module is the module's classes. Names that the settings
// drop stay at the end, for clients that still use them. Of a repeated name the first counts.
func (t Table) Reload(module []dw.Class, names []string, classes []dw.Class) Table {
	out := make(Table, 0, len(names)+len(t))
	named := make(map[string]bool, len(names))
	for i, n := range names {
		if named[n] {
			continue
		}
		named[n] = true
		out = append(out, Entry{Name: n, Class: NearestClass(module, classes[i]), Idempotency: classes[i].Idempotency})
	}
	for _, e := range t {
		if !named[e.Name] && len(out) < MaxNames {
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

// idempotencyDistance is the distance of two classes of different idempotency, far above the other distances: the class would lose retries.
const idempotencyDistance = 100

// NearestClass is the index of the module's class that a class is mapped to: an equal one, or the nearest of those that are at least as
// strict, by deadline, objective and weight; -1 if none is.
func NearestClass(module []dw.Class, c dw.Class) int {
	nearest := -1
	shortest := math.Inf(1)
	for i, m := range module {
		if m == c {
			return i
		}
		if !AtLeastAsStrict(m, c) {
			continue
		}
		distance := logRatio(float64(m.Deadline), float64(c.Deadline)) + logRatio(float64(m.Objective), float64(c.Objective)) +
			logRatio(m.Weight+1, c.Weight+1)
		if m.Idempotency != c.Idempotency {
			distance += idempotencyDistance
		}
		if distance < shortest {
			nearest = i
			shortest = distance
		}
	}
	return nearest
}

// logRatio is the distance of two amounts, on a scale on which twice and half are equally far.
func logRatio(a, b float64) float64 { return math.Abs(math.Log(max(a, 1e-9) / max(b, 1e-9))) }

// AtLeastAsStrict tells whether following the rules of m breaks none of those of c: m may not allow a retry that c forbids, nor one at more
// servers or for a longer time.
func AtLeastAsStrict(m, c dw.Class) bool {
	if m.Streaming != c.Streaming {
		return false
	}
	switch c.Idempotency {
	case dw.Idempotent:
		return true
	case dw.IdempotentByKey:
		narrowerScope := m.DedupScope == c.DedupScope || c.DedupScope == dw.DedupAll
		return m.Idempotency == dw.NotIdempotent ||
			m.Idempotency == dw.IdempotentByKey && narrowerScope && m.DedupWindow <= c.DedupWindow
	default:
		return m.Idempotency == dw.NotIdempotent
	}
}
