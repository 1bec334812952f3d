package ops

import (
	"encoding/json"
	"slices"
	"sync"
	"testing"
)

// TestFigures checks the counts, and guards against a reload of the settings that loses or mixes up the counts of classes.
func TestFigures(t *testing.T) {
	var f Figures
	f.AddClasses([]string{"lookup", "order"})
	f.RequestEnded("lookup", Success)
	f.RequestEnded("order", Overload)
	f.RequestEnded("order", Error)
	f.RequestEnded("nothing", Success) // an unknown class is ignored
	f.Dispatched("order")
	f.AddOpen(1)
	f.Targets(5, 2)
	f.CountReload(true)
	f.CountReload(false)
	f.CountReload(false)
	// Reloaded settings drop a class, add one and reorder them. The counts continue under the classes' names.
	f.AddClasses([]string{"bulk", "lookup"})
	f.RequestEnded("lookup", Success)
	f.RequestEnded("bulk", Error)
	var got struct {
		Replies                         map[string]struct{ Success, Overload, Error, Dispatches int }
		Concurrent, Targets, Dispatches int
		ReloadSuccess                   int `json:"reload_success"`
		ReloadFailure                   int `json:"reload_failure"`
		Disabled                        int `json:"targets_disabled"`
	}
	text := f.AppendJSON(nil)
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatalf("invalid JSON %s: %v", text, err)
	}
	r := got.Replies
	if r["lookup"].Success != 2 || r["order"].Overload != 1 || r["order"].Error != 1 || r["order"].Dispatches != 1 ||
		r["bulk"].Error != 1 || len(r) != 3 {
		t.Fatalf("wrong counts of a class: %s", text)
	}
	if got.Dispatches != 1 || got.Concurrent != 1 || got.Targets != 5 || got.Disabled != 2 || got.ReloadSuccess != 1 || got.ReloadFailure != 2 {
		t.Fatalf("wrong totals: %s", text)
	}
}

// TestFiguresConcurrently guards against lost counts when goroutines count while classes are added and the figures are read.
func TestFiguresConcurrently(t *testing.T) {
	var f Figures
	f.AddClasses([]string{"a"})
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for range 1000 {
				f.RequestEnded("a", Success)
				f.AddOpen(1)
				f.AddOpen(-1)
			}
		})
	}
	workers.Go(func() {
		for range 100 {
			f.AddClasses([]string{"a", "b"})
			f.AppendJSON(nil)
		}
	})
	workers.Wait()
	var got struct {
		Replies map[string]struct{ Success int }
	}
	json.Unmarshal(f.AppendJSON(nil), &got)
	if got.Replies["a"].Success != 8000 {
		t.Fatalf("got %+v, want 8000 successes", got)
	}
}

// TestState checks readiness and the notifications through a start, a repeated drain, its end, and a shutdown.
func TestState(t *testing.T) {
	var s State
	var notified []bool
	s.OnDrainChange(func(on bool) { notified = append(notified, on) })
	if s.Ready() {
		t.Fatal("ready before the start")
	}
	s.Start()
	s.Drain(true)
	s.Drain(true)
	if s.Ready() || !s.Drained() {
		t.Fatal("ready while drained")
	}
	s.Drain(false)
	if !s.Ready() {
		t.Fatal("not ready after the drain")
	}
	s.End()
	if s.Ready() || len(notified) != 2 || !notified[0] || notified[1] {
		t.Fatalf("after the end: got ready %v, notifications %v, want false and [true false]", s.Ready(), notified)
	}
}

// TestDrainsOfTwo guards against a drain by operators that ends a drain by the fleet, or the reverse. The gateway must be drained
// as long as either drains it, and watchers must be notified once of each change.
func TestDrainsOfTwo(t *testing.T) {
	steps := map[string]func(*State){
		"operators drain": func(s *State) { s.Drain(true) }, "operators end": func(s *State) { s.Drain(false) },
		"it drains itself": func(s *State) { s.DrainByFleet(true) }, "it ends": func(s *State) { s.DrainByFleet(false) },
	}
	for _, c := range []struct {
		order []string
		want  []bool
	}{
		{[]string{"it drains itself", "operators drain", "it ends"}, []bool{true}},
		{[]string{"it drains itself", "operators drain", "it ends", "operators end"}, []bool{true, false}},
		{[]string{"operators drain", "it drains itself", "operators end", "operators drain", "it ends", "operators end"}, []bool{true, false}},
		{[]string{"operators drain", "operators end", "it drains itself", "operators end"}, []bool{true, false, true}},
		{[]string{"operators end", "it ends"}, nil},
	} {
		var s State
		var notified []bool
		s.OnDrainChange(func(on bool) { notified = append(notified, on) })
		for _, step := range c.order {
			steps[step](&s)
		}
		if !slices.Equal(notified, c.want) || s.Drained() != (len(c.want)%2 == 1) {
			t.Errorf("%q: got notifications %v, drained %v, want notifications %v", c.order, notified, s.Drained(), c.want)
		}
	}
}
