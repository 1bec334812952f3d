package evacuation

import (
	"errors"
	"testing"

	"dewhitch/internal/fleet"
)

func TestCommands(t *testing.T) {
	plan := fleet.Plan{}
	call := func(verb string, c Command) (Statuses, error) {
		set, err := Commands()[verb](&plan, c.Encode(), 1000)
		if set != nil {
			plan.Sections = set
		}
		v := Statuses{}
		if _, err := plan.Section(Section, &v); err != nil {
			t.Fatal(err)
		}
		return v, err
	}
	for _, c := range []struct {
		verb string
		call Command
		want error
	}{
		{"leave", Command{}, ErrIncomplete},
		{"leave", Command{Zone: "a", By: "me"}, ErrIncomplete},
		{"leave", Command{Zone: "a", By: "me", Reason: "so", ForMS: -1}, ErrDuration},
		{"leave", Command{Zone: "a", By: "me", Reason: "so", ForMS: maxForMS + 1}, ErrDuration},
		{"return", Command{Zone: "a", By: "me", Reason: "so"}, ErrNotEvacuated},
	} {
		if v, err := call(c.verb, c.call); !errors.Is(err, c.want) || len(v) != 0 {
			t.Errorf("%s %+v: %+v, %v", c.verb, c.call, v, err)
		}
	}
	me := Command{Zone: "a", By: "me", Reason: "so", ForMS: 60_000}
	if v, err := call("leave", me); err != nil || v["a"].State != Evacuated || v["a"].Until != 61_000 {
		t.Errorf("%+v, %v", v, err)
	}
	if set, err := Commands()["leave"](&plan, me.Encode(), 5000); set != nil || err != nil {
		t.Errorf("said twice, it is settled twice: %v, %v", set, err)
	}
	if v, err := call("return", Command{Zone: "a", By: "me", Reason: "done"}); err != nil || v["a"].State != Returning {
		t.Errorf("%+v, %v", v, err)
	}
	if v, err := call("return", Command{Zone: "b", By: "me", Reason: "no", Hold: true}); err != nil || !v["b"].KeepInService {
		t.Errorf("%+v, %v", v, err)
	}
	if v, _ := call("return", Command{Zone: "b", By: "me", Reason: "done"}); len(v) != 1 {
		t.Errorf("the hold stands: %+v", v)
	}
}

// An operator's evacuation lasts for its duration, and a zone on hold is not evacuated, whatever is observed.
func TestOperatorsCommandTakesPrecedence(t *testing.T) {
	sim := newSimulation(8, 3, 2, 20)
	sim.statuses = Statuses{"a": {State: Evacuated, By: "me", Reason: "so", Since: sim.unix(), Until: sim.unix() + 20_000},
		"b": {State: Returning, KeepInService: true, By: "me", Reason: "no", Since: sim.unix()}}
	sim.failing = unhealthyZone("b")
	sim.run(15 * 1e9)
	if sim.statuses["a"].State != Evacuated || !sim.statuses["b"].KeepInService || len(sim.statuses) != 2 {
		t.Errorf("%+v", sim.statuses)
	}
	sim.failing = unhealthyZone("")
	sim.run(60 * 1e9)
	if _, out := sim.statuses["a"]; out {
		t.Errorf("its time is up: %+v", sim.statuses)
	}
}
