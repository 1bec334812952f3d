package golden_test

import (
	"testing"

	"dewhitch/internal/golden"
)

// countingTB counts the calls of Errorf instead of failing the test.
type countingTB struct {
	testing.TB
	faults int
}

func (c *countingTB) Helper()               {}
func (c *countingTB) Errorf(string, ...any) { c.faults++ }

// TestFilled checks that a value with every field set passes, and that one with a zero field at any depth fails.
func TestFilled(t *testing.T) {
	type inner struct{ A, B int }
	type outer struct {
		In   inner
		List []inner
		Map  map[string]inner
		At   *inner
	}
	full := inner{1, 2}
	for _, c := range []struct {
		v      outer
		faults int
	}{
		{outer{full, []inner{full}, map[string]inner{"k": full}, &full}, 0},
		{outer{inner{1, 0}, []inner{full}, map[string]inner{"k": full}, &full}, 1},
		{outer{full, []inner{{0, 2}}, map[string]inner{"k": full}, &full}, 1},
		{outer{full, []inner{full}, map[string]inner{"k": {1, 0}}, &full}, 1},
		{outer{full, []inner{full}, map[string]inner{"k": full}, &inner{1, 0}}, 1},
		{outer{full, []inner{}, map[string]inner{}, nil}, 3},
	} {
		got := countingTB{TB: t}
		if golden.Filled(&got, c.v); got.faults != c.faults {
			t.Errorf("%+v: got %d faults, want %d", c.v, got.faults, c.faults)
		}
	}
}
