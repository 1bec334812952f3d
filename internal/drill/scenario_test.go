package drill

import (
	"strings"
	"testing"
	"time"
)

// TestLibraryIsValid guards against scenarios of the library that do not load, or do not begin with a comment that describes them,
// as drill list prints that line.
func TestLibraryIsValid(t *testing.T) {
	all, err := List()
	if err != nil || len(all) == 0 {
		t.Fatal(len(all), err)
	}
	for _, s := range all {
		if _, err := Find(s.Name, Size{}); err != nil {
			t.Error(err)
		}
		if len(s.Description) < 10 || strings.HasPrefix(s.Description, "fleet") {
			t.Errorf("scenario %s: expected a description of at least 10 bytes in its first line", s.Name)
		}
	}
}

// TestErrorsNamePositionAndExpectation guards against errors of a scenario file that do not name the position or what is expected
// there, and against files that exhaust time or memory.
func TestErrorsNamePositionAndExpectation(t *testing.T) {
	const fleet = "fleet(zones = [\"a\", \"b\"], load = 0.5, length = 30)\n"
	for _, c := range []struct{ text, want string }{
		{"x = 1", "no fleet"},
		{"fleet(load = 7)", "x.star:1:6: load = 7; expected 0.01 to 1.5"},
		{"fleet(zones = [])", "expected one at least"},
		{"fleet(gateways = 100)", "expected 1 to 20"},
		{fleet + fleet, "x.star:2:6: a second fleet"},
		{fleet + "at(3, 4)", "x.star:2:3: at: got int, expected an action"},
		{fleet + "\nat(3, silent(servers(\"z\")))", `x.star:3:21: zone "z"; expected one of`},
		{fleet + "at(3, silent(gateways(\"a\")))", "expected servers"},
		{fleet + "at(3, kill(servers(\"a\")))", "expected gateways"},
		{fleet + "at(3, slow(servers(\"a\"), 0.5))", "times = 0.5; expected 1 to 1000"},
		{fleet + "at(3, cut(zone(\"a\"), zone(\"b\"), how = \"softly\"))", "expected silent or refused"},
		{fleet + "at(31, heal())", "x.star:2:3: at 31s, and the drill is over after 30s"},
		{fleet + "at(3, stall(gateway(\"a\", 9), seconds = 1))", "gateway = 9; expected 1 to 2"},
		{fleet + "expect(sent = 3)", "sent needs target, start and end"},
		{fleet + "expect(served = 3)", "served = 3; expected 0 to 1"},
		{"while True:\n  x = 1", "too many steps"},
		{"x = [1, 2, 3]\nfor i in range(40):\n  x = x + x", "more than 64 MB of memory"},
		{"x = \"a\" * 1000000000", "x.star:1:9: a text times a number is refused"},
		{"silent(servers(\"b\"))", "expected the fleet first"},
		{"load(\"other.star\", \"x\")", "x.star:1"},
		{"fleet(", "x.star:1"},
	} {
		_, err := Load("x.star", []byte(c.text), Size{})
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%q: got error %v, expected %q", c.text, err, c.want)
		}
	}
}

// TestEventsAreSorted guards against events that are executed in the order of the file instead of the order of their times.
func TestEventsAreSorted(t *testing.T) {
	s, err := Load("x.star", []byte(`fleet(load = 0.5, length = 30)
for i in range(3):
    at(20 - 5 * i, silent(server("b", 1 + i)))
`), Size{})
	if err != nil {
		t.Fatal(err)
	}
	for i, want := range []time.Duration{10 * time.Second, 15 * time.Second, 20 * time.Second} {
		if s.Events[i].At != want {
			t.Errorf("event %d is at %v, expected the events in the order of their times", i, s.Events[i].At)
		}
	}
}
