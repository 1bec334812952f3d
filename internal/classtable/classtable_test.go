package classtable

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	dw "dewhitch"
)

// class draws a class.
func class(t *rapid.T, label string) dw.Class {
	return dw.Class{
		Objective:   dw.Span(rapid.IntRange(1, 5).Draw(t, label+".aim")) * 1e8,
		Deadline:    dw.Span(rapid.IntRange(1, 5).Draw(t, label+".deadline")) * 1e9,
		Weight:      float64(rapid.IntRange(0, 3).Draw(t, label+".points")),
		Idempotency: dw.Idempotency(rapid.IntRange(0, 2).Draw(t, label+".effect")),
		DedupScope:  dw.DedupScope(rapid.IntRange(0, 2).Draw(t, label+".group")),
		DedupWindow: dw.Span(rapid.IntRange(0, 3).Draw(t, label+".window")) * 1e9,
		Streaming:   rapid.IntRange(0, 4).Draw(t, label+".streaming") == 0,
	}
}

// classes draws 1 to 6 classes and their names, which may be repeated.
func classes(t *rapid.T, label string) ([]string, []dw.Class) {
	n := rapid.IntRange(1, 6).Draw(t, label)
	names := make([]string, n)
	cs := make([]dw.Class, n)
	for i := range n {
		names[i] = fmt.Sprintf("c%d", rapid.IntRange(0, 8).Draw(t, label+".name"))
		cs[i] = class(t, fmt.Sprintf("%s%d", label, i))
	}
	return names, cs
}

// TestReloadedTable guards against reloaded settings whose requests are handled by less strict rules than their own. After any
// number of reloads every name is mapped to a module class that is at least as strict, or to none if no class is. An equal
// class is preferred, names of earlier settings keep their entries, and the table is bounded.
func TestReloadedTable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names, module := classes(t, "module")
		table := New(names, module)
		for round := range rapid.IntRange(1, 5).Draw(t, "rounds") {
			newNames, cs := classes(t, fmt.Sprintf("round%d", round))
			before := table
			table = table.Reload(module, newNames, cs)
			seen := map[string]bool{}
			for i, n := range newNames {
				if seen[n] {
					continue
				}
				seen[n] = true
				e, ok := table.Find(n)
				if !ok || e.Idempotency != cs[i].Idempotency {
					t.Fatalf("%s: got entry %+v, found %v; expected an entry with the class's idempotency", n, e, ok)
				}
				if e.Class >= 0 && !AtLeastAsStrict(module[e.Class], cs[i]) {
					t.Fatalf("%s: class %+v is mapped to the less strict %+v", n, cs[i], module[e.Class])
				}
				if e.Class < 0 {
					for _, m := range module {
						if AtLeastAsStrict(m, cs[i]) {
							t.Fatalf("%s: mapped to no class, though %+v is strict enough", n, m)
						}
					}
				}
				for j, m := range module {
					if m == cs[i] && module[e.Class] != m {
						t.Fatalf("%s: equal to class %d, but mapped to %d", n, j, e.Class)
					}
				}
			}
			for _, e := range before {
				if got, ok := table.Find(e.Name); !ok || !seen[e.Name] && got != e {
					t.Fatalf("%s: the entry changed from %+v to %+v", e.Name, e, got)
				}
			}
			if len(table) > MaxNames {
				t.Fatalf("got %d names, over MaxNames", len(table))
			}
		}
	})
}

// TestSpareClassesCoverEveryIdempotency guards against a reload that rejects all requests of a class because its idempotency
// changed. With spare classes, a class of any idempotency is mapped to one that is strict enough if streaming is the same, and
// the names of the initial settings keep their classes.
func TestSpareClassesCoverEveryIdempotency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names, module := classes(t, "module")
		extendedNames, extended := WithSpareClasses(names, module)
		if len(extendedNames) != len(extended) {
			t.Fatalf("got %d names for %d classes", len(extendedNames), len(extended))
		}
		for i, m := range module {
			if extended[i] != m || extendedNames[i] != names[i] {
				t.Fatalf("class %d: got %+v, want %+v", i, extended[i], m)
			}
		}
		if got, want := New(names, extended), New(names, module); !reflect.DeepEqual(got, want) {
			t.Fatalf("got table %+v, want %+v", got, want)
		}
		c := class(t, "new")
		c.Streaming = module[0].Streaming
		if k := NearestClass(extended, c); k < 0 || !AtLeastAsStrict(extended[k], c) {
			t.Fatalf("%+v is mapped to class %d, which is missing or not strict enough", c, k)
		}
	})
}

// TestAtLeastAsStrict guards against rules that allow a retry that the class forbids. It checks combinations of idempotency,
// scope, window and streaming.
func TestAtLeastAsStrict(t *testing.T) {
	idempotent := dw.Class{Idempotency: dw.Idempotent}
	byKeyAll := dw.Class{Idempotency: dw.IdempotentByKey, DedupScope: dw.DedupAll, DedupWindow: 3e9}
	byKeyZone := dw.Class{Idempotency: dw.IdempotentByKey, DedupScope: dw.DedupZone, DedupWindow: 3e9}
	notIdempotent := dw.Class{Idempotency: dw.NotIdempotent}
	for _, c := range []struct {
		rules, class dw.Class
		want         bool
	}{
		{idempotent, idempotent, true}, {notIdempotent, idempotent, true}, {idempotent, notIdempotent, false},
		{idempotent, byKeyAll, false}, {byKeyZone, byKeyAll, true}, {byKeyAll, byKeyZone, false},
		{notIdempotent, byKeyZone, true}, {byKeyAll, notIdempotent, false},
		{dw.Class{Idempotency: dw.IdempotentByKey, DedupWindow: 4e9}, byKeyAll, false},
		{dw.Class{Idempotency: dw.Idempotent, Streaming: true}, idempotent, false},
	} {
		if got := AtLeastAsStrict(c.rules, c.class); got != c.want {
			t.Errorf("rules %+v for class %+v: got %v, expected the opposite", c.rules, c.class, got)
		}
	}
}
