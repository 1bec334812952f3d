package classtable

import (
	"fmt"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	dw "dewhitch"
)

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

// TestReloadedTable: after any number of retunings, every name of the settings in force goes under a class of the
// module whose rules are at least as strict, or none; an equal class goes under itself; the names of earlier settings
// stay, with what they meant; the table is bounded.
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
					t.Fatalf("%s: %+v, %v", n, e, ok)
				}
				if e.Class >= 0 && !AtLeastAsStrict(module[e.Class], cs[i]) {
					t.Fatalf("%s: %+v goes under %+v", n, cs[i], module[e.Class])
				}
				if e.Class < 0 {
					for _, m := range module {
						if AtLeastAsStrict(m, cs[i]) {
							t.Fatalf("%s: refused, though %+v would do", n, m)
						}
					}
				}
				for j, m := range module {
					if m == cs[i] && module[e.Class] != m {
						t.Fatalf("%s: equal to class %d, goes under %d", n, j, e.Class)
					}
				}
			}
			for _, e := range before {
				if got, ok := table.Find(e.Name); !ok || !seen[e.Name] && got != e {
					t.Fatalf("%s: was %+v, is %+v", e.Name, e, got)
				}
			}
			if len(table) > MaxNames {
				t.Fatalf("%d names", len(table))
			}
		}
	})
}

// With spares, a class of any effect has one to go under, whatever the settings of the start named, but for streaming; and
// the names of the start mean what they meant.
func TestSpareClassesCoverEveryIdempotency(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names, module := classes(t, "module")
		extendedNames, extended := WithSpareClasses(names, module)
		if len(extendedNames) != len(extended) {
			t.Fatalf("%d names of %d classes", len(extendedNames), len(extended))
		}
		for i, m := range module {
			if extended[i] != m || extendedNames[i] != names[i] {
				t.Fatalf("class %d is %+v, was %+v", i, extended[i], m)
			}
		}
		if got, want := New(names, extended), New(names, module); !reflect.DeepEqual(got, want) {
			t.Fatalf("%+v, not %+v", got, want)
		}
		c := class(t, "new")
		c.Streaming = module[0].Streaming
		if k := NearestClass(extended, c); k < 0 || !AtLeastAsStrict(extended[k], c) {
			t.Fatalf("%+v goes under %d", c, k)
		}
	})
}

func TestAtLeastAsStrict(t *testing.T) {
	safe := dw.Class{Idempotency: dw.Idempotent}
	byKeyAll := dw.Class{Idempotency: dw.IdempotentByKey, DedupScope: dw.DedupAll, DedupWindow: 3e9}
	byKeyZone := dw.Class{Idempotency: dw.IdempotentByKey, DedupScope: dw.DedupZone, DedupWindow: 3e9}
	unsafe := dw.Class{Idempotency: dw.NotIdempotent}
	for _, c := range []struct {
		m, c dw.Class
		want bool
	}{
		{safe, safe, true}, {unsafe, safe, true}, {safe, unsafe, false}, {safe, byKeyAll, false},
		{byKeyZone, byKeyAll, true}, {byKeyAll, byKeyZone, false}, {unsafe, byKeyZone, true},
		{byKeyAll, unsafe, false}, {dw.Class{Idempotency: dw.IdempotentByKey, DedupWindow: 4e9}, byKeyAll, false},
		{dw.Class{Idempotency: dw.Idempotent, Streaming: true}, safe, false},
	} {
		if got := AtLeastAsStrict(c.m, c.c); got != c.want {
			t.Errorf("%+v for %+v: %v", c.m, c.c, got)
		}
	}
}
