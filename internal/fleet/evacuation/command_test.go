package evacuation

import (
	"errors"
	"testing"

	"dewhitch/internal/fleet"
)

func TestCommands(t *testing.T) {
	plan := fleet.Plan{}
	run := func(verb string, c Command) (Statuses, error) {
		sections, err := Commands()[verb](&plan, c.Encode(), 1000)
		if sections != nil {
			plan.Sections = sections
		}
		v := Statuses{}
		if _, err := plan.Section(Section, &v); err != nil {
			t.Fatal(err)
		}
		return v, err
	}
	for _, c := range []struct {
		verb    string
		command Command
		want    error
	}{
		{"leave", Command{}, ErrIncomplete},
		{"leave", Command{Zone: "a", By: "me"}, ErrIncomplete},
		{"leave", Command{Zone: "a", By: "me", Reason: "so", ForMS: -1}, ErrDuration},
		{"leave", Command{Zone: "a", By: "me", Reason: "so", ForMS: maxDurationMS + 1}, ErrDuration},
		{"return", Command{Zone: "a", By: "me", Reason: "so"}, ErrNotEvacuated},
	} {
		if v, err := run(c.verb, c.command); !errors.Is(err, c.want) || len(v) != 0 {
			t.Errorf("%s %+v: %+v, %v", c.verb, c.command, v, err)
		}
	}
	leaveForMinute := Command{Zone: "a", By: "me", Reason: "so", ForMS: 60_000}
	if v, err := run("leave", leaveForMinute); err != nil || v["a"].State != Evacuated || v["a"].Until != 61_000 {
		t.Errorf("%+v, %v", v, err)
	}
	if sections, err := Commands()["leave"](&plan, leaveForMinute.Encode(), 5000); sections != nil || err != nil {
		t.Errorf("said twice, it is settled twice: %v, %v", sections, err)
	}
	if v, err := run("return", Command{Zone: "a", By: "me", Reason: "done"}); err != nil || v["a"].State != Returning {
		t.Errorf("%+v, %v", v, err)
	}
	if v, err := run("return", Command{Zone: "b", By: "me", Reason: "no", Hold: true}); err != nil || !v["b"].KeepInService {
		t.Errorf("%+v, %v", v, err)
	}
	if v, _ := run("return", Command{Zone: "b", By: "me", Reason: "done"}); len(v) != 1 {
		t.Errorf("the hold stands: %+v", v)
	}
}

// An operator's evacuation lasts for its duration, and a zone on hold is not evacuated, whatever is observed.
func TestOperatorsCommandTakesPrecedence(t *testing.T) {
	sim := newSimulation(8, 3, 2, 20)
	sim.statuses = Statuses{"a": {State: Evacuated, By: "me", Reason: "so", Since: sim.unixMS(), Until: sim.unixMS() + 20_000},
		"b": {State: Returning, KeepInService: true, By: "me", Reason: "no", Since: sim.unixMS()}}
	sim.failureRate = failZone("b")
	sim.runFor(15 * 1e9)
	if sim.statuses["a"].State != Evacuated || !sim.statuses["b"].KeepInService || len(sim.statuses) != 2 {
		t.Errorf("%+v", sim.statuses)
	}
	sim.failureRate = failZone("")
	sim.runFor(60 * 1e9)
	if _, out := sim.statuses["a"]; out {
		t.Errorf("its time is up: %+v", sim.statuses)
	}
}
