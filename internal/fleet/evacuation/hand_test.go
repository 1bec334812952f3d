package evacuation

import (
	"testing"

	"dewhitch/internal/fleet"
)

func TestByHand(t *testing.T) {
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
	}{{"leave", Command{}}, {"leave", Command{Zone: "a", By: "me"}}, {"leave", Command{Zone: "a", By: "me", Reason: "so", ForMS: -1}},
		{"leave", Command{Zone: "a", By: "me", Reason: "so", ForMS: mostFor + 1}}, {"return", Command{Zone: "a", By: "me", Reason: "so"}}} {
		if v, err := call(c.verb, c.call); err == nil || len(v) != 0 {
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
	if v, err := call("return", Command{Zone: "b", By: "me", Reason: "no", Hold: true}); err != nil || !v["b"].Hold {
		t.Errorf("%+v, %v", v, err)
	}
	if v, _ := call("return", Command{Zone: "b", By: "me", Reason: "done"}); len(v) != 1 {
		t.Errorf("the hold stands: %+v", v)
	}
}

// What an operator left stays left until the time is up, and what is held is not left whatever is seen.
func TestOperatorsWordCounts(t *testing.T) {
	w := newWorld(8, 3, 2, 20)
	w.v = Statuses{"a": {State: Evacuated, By: "me", Reason: "so", Since: w.unix(), Until: w.unix() + 20_000},
		"b": {State: Returning, Hold: true, By: "me", Reason: "no", Since: w.unix()}}
	w.bad = ill("b")
	w.run(15 * 1e9)
	if w.v["a"].State != Evacuated || !w.v["b"].Hold || len(w.v) != 2 {
		t.Errorf("%+v", w.v)
	}
	w.bad = ill("")
	w.run(60 * 1e9)
	if _, out := w.v["a"]; out {
		t.Errorf("its time is up: %+v", w.v)
	}
}
