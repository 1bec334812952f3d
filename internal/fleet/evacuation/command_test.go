package evacuation

import (
	"errors"
	"testing"

	"dewhitch/internal/fleet"
)

// Commands with missing fields or a duration out of bounds are rejected, and so is the return of a zone in service. An accepted leave
// command can be repeated without effect.
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
			t.Errorf("invalid command %s %+v: got statuses %+v and error %v", c.verb, c.command, v, err)
		}
	}
	leaveForMinute := Command{Zone: "a", By: "me", Reason: "so", ForMS: 60_000}
	if v, err := run("leave", leaveForMinute); err != nil || v["a"].State != Evacuated || v["a"].Until != 61_000 {
		t.Errorf("leave for 60 s: got %+v, %v, expected zone a evacuated until 61000", v, err)
	}
	if sections, err := Commands()["leave"](&plan, leaveForMinute.Encode(), 5000); sections != nil || err != nil {
		t.Errorf("the same leave command again: got sections %v, error %v, expected neither", sections, err)
	}
	if v, err := run("return", Command{Zone: "a", By: "me", Reason: "done"}); err != nil || v["a"].State != Returning {
		t.Errorf("return: got %+v, %v, expected zone a returning", v, err)
	}
	if v, err := run("return", Command{Zone: "b", By: "me", Reason: "no", Hold: true}); err != nil || !v["b"].KeepInService {
		t.Errorf("return with a hold: got %+v, %v, expected zone b on hold", v, err)
	}
	if v, _ := run("return", Command{Zone: "b", By: "me", Reason: "done"}); len(v) != 1 {
		t.Errorf("return of a zone on hold: got %+v, expected no status of zone b", v)
	}
}

// An operator's evacuation lasts for its duration although the zone is healthy, and a zone on hold is not evacuated although all its
// attempts fail.
func TestOperatorsCommandTakesPrecedence(t *testing.T) {
	sim := newSimulation(8, 3, 2, 20)
	sim.statuses = Statuses{"a": {State: Evacuated, By: "me", Reason: "so", Since: sim.unixMS(), Until: sim.unixMS() + 20_000},
		"b": {State: Returning, KeepInService: true, By: "me", Reason: "no", Since: sim.unixMS()}}
	sim.failureRate = failZone("b")
	sim.runFor(15 * 1e9)
	if sim.statuses["a"].State != Evacuated || !sim.statuses["b"].KeepInService || len(sim.statuses) != 2 {
		t.Errorf("after 15 s: got %+v, expected zone a evacuated and zone b on hold", sim.statuses)
	}
	sim.failureRate = failZone("")
	sim.runFor(60 * 1e9)
	if _, out := sim.statuses["a"]; out {
		t.Errorf("60 s later, after the end of the evacuation of zone a: got %+v, expected zone a in service", sim.statuses)
	}
}
