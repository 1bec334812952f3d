package evacuation

import (
	"bytes"
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"dewhitch/internal/fleet"
	"dewhitch/internal/golden"
)

var goldenStatuses = Statuses{"hall-a>hall-b": {State: Probing, Since: 1700000000001, FailedReturns: 2, Reason: "ill", Probers: []string{"g1", "g2"},
	By: "alice", Until: 1700000000003, KeepInService: true, FailedProbes: 4, Partial: true, AnyRequest: true}}

// TestGoldenStatuses checks the encodings of statuses against golden files: the section of the plan that voters store and members read,
// and the JSON that operators read.
func TestGoldenStatuses(t *testing.T) {
	if Section != "zones" {
		t.Error("section:", Section)
	}
	for name, v := range map[string]Statuses{"verdicts": goldenStatuses, "verdicts-least": {"hall-b": {State: Evacuated}}} {
		if name == "verdicts" {
			golden.Filled(t, v)
		}
		golden.Compare(t, name+".cbor", EncodeSection(v)["zones"])
		p := fleet.Plan{Sections: map[string]cbor.RawMessage{"zones": golden.Read(t, name+".cbor")}}
		got := Statuses{}
		if _, err := p.Section(Section, &got); err != nil || !reflect.DeepEqual(got, v) {
			t.Errorf("%s: read as %+v, error %v", name, got, err)
		}
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, name+".json", text)
		got = Statuses{}
		if err := json.Unmarshal(golden.Read(t, name+".json"), &got); err != nil || !reflect.DeepEqual(got, v) {
			t.Errorf("%s: read as %+v, error %v", name, got, err)
		}
	}
}

// TestGoldenStates checks the names of the states in the plan and on operators' pages.
func TestGoldenStates(t *testing.T) {
	for state, want := range map[State]string{Evacuated: "out", Probing: "probing", Returning: "returning"} {
		if string(state) != want {
			t.Errorf("got state %q, expected %q", state, want)
		}
	}
}

// TestGoldenCommands checks the encoding of operators' commands, their names, and the resulting statuses against golden files.
func TestGoldenCommands(t *testing.T) {
	for name, c := range map[string]Command{
		"call":       {By: "alice", Reason: "power", Zone: "hall-b", ForMS: 1800000, Hold: true},
		"call-least": {By: "bob", Reason: "day", Zone: "hall-c"},
	} {
		if name == "call" {
			golden.Filled(t, c)
		}
		golden.Compare(t, name+".cbor", c.Encode())
		if got, err := decode(golden.Read(t, name+".cbor")); err != nil || got != c {
			t.Errorf("%s: read as %+v, error %v", name, got, err)
		}
	}
	if got := slices.Sorted(maps.Keys(Commands())); !slices.Equal(got, []string{"leave", "return"}) {
		t.Error("calls:", got)
	}
	for verb, file := range map[string]string{"leave": "settled-leave.cbor", "return": "settled-return.cbor"} {
		sections, err := Commands()[verb](&fleet.Plan{}, golden.Read(t, "call.cbor"), 1700000000005)
		if err != nil || len(sections) != 1 {
			t.Fatalf("%s: got sections %v, error %v, expected one section", verb, sections, err)
		}
		golden.Compare(t, file, sections["zones"])
	}
	if bytes.Equal(golden.Read(t, "settled-leave.cbor"), golden.Read(t, "settled-return.cbor")) {
		t.Error("leave and return have the same golden result, expected different ones")
	}
}
