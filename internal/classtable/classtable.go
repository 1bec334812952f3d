// Package classtable maps the class names that clients use to classes of the decision module, across reloads of the settings. It
// does no I/O and reads no clock.
//
// The module keeps the classes that it was created with, as its quota accounts, server statistics and open requests refer to
// them. A class of reloaded settings is mapped to one of these whose rules are at least as strict as its own, so that the module
// violates none of the new class's rules.
package classtable

import (
	"math"
	"slices"

	dw "dewhitch"
)

// Entry maps a class name to a class of the module.
type Entry struct {
	Name  string
	Class int // index of the module's class; below 0 if none is strict enough, so that requests are rejected
	// Idempotency is taken from the latest settings that contain the name; it decides which commands may use the name.
	Idempotency dw.Idempotency `json:"Effect"` // key in the log line of a reload
}

// Table lists the names that clients may use, those of the current settings first. A table is not modified after its creation.
type Table []Entry

// MaxNames is the number of names above which a reload drops names of earlier settings, the oldest first.
const MaxNames = 256

// New returns the table of the settings that the module is created with. Only the first class of a repeated name is used.
func New(names []string, classes []dw.Class) Table {
	t := make(Table, 0, len(names))
	for i, n := range names {
		if _, repeated := t.Find(n); !repeated {
			t = append(t, Entry{Name: n, Class: i, Idempotency: classes[i].Idempotency})
		}
	}
	return t
}

// WithSpareClasses returns the classes that a module is created with, and their names for the ledger and snapshots: those of the
// settings, and after them, for each idempotent class, a spare copy that is not idempotent. Reloaded settings may make a class
// non-idempotent; without the spare class, all its requests would be rejected until a restart. Clients can't use the names of
// spare classes.
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

// Reload returns the table for reloaded settings with the given classes. module is the module's classes. Names that the settings
// drop stay at the end, for clients that still use them. Only the first class of a repeated name is used.
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

// Find returns the entry of a name, and true if there is one.
func (t Table) Find(name string) (Entry, bool) {
	for _, e := range t {
		if e.Name == name {
			return e, true
		}
	}
	return Entry{}, false
}

// Names returns the names of the table, in its order.
func (t Table) Names() []string {
	names := make([]string, len(t))
	for i, e := range t {
		names[i] = e.Name
	}
	return names
}

// idempotencyDistance is added to the distance of two classes of different idempotency. It is far above the other distances,
// because such a mapping makes the class lose retries.
const idempotencyDistance = 100

// NearestClass returns the index of the module's class that c is mapped to: an equal class, or the nearest, by deadline,
// objective, weight and idempotency, of those that are at least as strict. It returns -1 if there is none.
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

// logRatio returns the distance of two amounts on a logarithmic scale, on which twice and half an amount are equally far from it.
func logRatio(a, b float64) float64 { return math.Abs(math.Log(max(a, 1e-9) / max(b, 1e-9))) }

// AtLeastAsStrict returns true if a request of class c may be handled by the rules of m: m allows no retry that c forbids, and
// retries at no more servers and for no longer than c.
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
