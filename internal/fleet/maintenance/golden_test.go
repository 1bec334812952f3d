package maintenance

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dewhitch/internal/fleet"
	"dewhitch/internal/golden"
)

// goldenSchedule sets every field and has each state and kind at least once. Its second request omits all optional fields.
var goldenSchedule = Schedule{LastID: 9, LastAnnouncementID: 8, Requests: []Request{
	{ID: 1, Key: "k1", By: "alice", Reason: "kernel", Kind: Restart, ForMS: 300000, NotBefore: 1700000000011, After: 2, RequestedAt: 1700000000012,
		State: OnHold, Note: "look", Overtaken: 3, Machines: []Machine{
			{Name: "s-00000001", State: Announced, Since: 21, Until: 22, AnnouncementID: 23, Note: "n1", ProcessStartedAt: 24},
			{Name: "s-00000002", State: Released, Since: 31, Until: 32, AnnouncementID: 33, Note: "n2", ProcessStartedAt: 34},
			{Name: "s-00000003", State: Returned, Since: 41, Until: 42, AnnouncementID: 43, Note: "n3", ProcessStartedAt: 44},
			{Name: "s-00000004", State: OnHold, Since: 51, Until: 52, AnnouncementID: 53, Note: "n4", ProcessStartedAt: 54},
			{Name: "s-00000005", State: Done, Since: 61, Until: 62, AnnouncementID: 63, Note: "n5", ProcessStartedAt: 64},
			{Name: "s-00000006", State: Cancelled, Since: 71, Until: 72, AnnouncementID: 73, Note: "n6", ProcessStartedAt: 74}}},
	{ID: 2, Key: "k2", By: "bob", Reason: "disk", Kind: Replace, ForMS: 1, RequestedAt: 2, Machines: []Machine{{Name: "s-00000007"}}},
	{ID: 3, Key: "k3", By: "carol", Reason: "rack", Kind: Off, ForMS: 3, RequestedAt: 4, State: Done, Machines: []Machine{{Name: "g7", State: Done}}},
	{ID: 4, Key: "k4", By: "dan", Reason: "none", Kind: Off, ForMS: 5, RequestedAt: 6, State: Cancelled, Machines: []Machine{{Name: "g8", State: Cancelled}}},
}, Roster: map[string]int64{"g1": 81, "g2": 82, "gateway-3": 83}, Off: []string{"s-00000009", "s-00000008"}}

// TestGoldenSchedule compares the encoding of the plan's section, which voters store and members read, and of the operators' page with
// the golden files.
func TestGoldenSchedule(t *testing.T) {
	if Section != "work" {
		t.Error("section:", Section)
	}
	first := goldenSchedule
	first.Requests = first.Requests[:1]
	golden.Filled(t, first)
	for name, schedule := range map[string]Schedule{"book": goldenSchedule, "book-least": {}} {
		golden.Compare(t, name+".cbor", EncodeSection(schedule)["work"])
		p := fleet.Plan{Sections: map[string]cbor.RawMessage{"work": golden.Read(t, name+".cbor")}}
		if got, err := Read(&p); err != nil || !reflect.DeepEqual(got, schedule) {
			t.Errorf("%s: read as %+v, error %v", name, got, err)
		}
		text, err := json.MarshalIndent(schedule, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, name+".json", text)
		var got Schedule
		if err := json.Unmarshal(golden.Read(t, name+".json"), &got); err != nil || !reflect.DeepEqual(got, schedule) {
			t.Errorf("%s: read as %+v, error %v", name, got, err)
		}
	}
}

// TestGoldenStates checks the values that states and kinds have in plans and commands, and the texts of the states on operators' pages.
func TestGoldenStates(t *testing.T) {
	for state, want := range map[State]string{Waiting: "", Announced: "announced", Released: "free", Returned: "back", OnHold: "held", Done: "done",
		Cancelled: "cancelled"} {
		if string(state) != want {
			t.Errorf("got state %s, expected %s", string(state), want)
		}
		if want == "" {
			want = "waiting" // as operators read it
		}
		if got := state.String(); got != want {
			t.Errorf("state shown as %s, expected %s", got, want)
		}
	}
	for kind, want := range map[Kind]string{Restart: "restart", Replace: "replace", Off: "off"} {
		if string(kind) != want {
			t.Errorf("got kind %s, expected %s", kind, want)
		}
	}
}

// TestGoldenCommands compares the encoding of the operators' commands, their names, and the section that results from a request with
// the golden files.
func TestGoldenCommands(t *testing.T) {
	for name, c := range map[string]Command{
		"call": {By: "alice", Reason: "kernel", Key: "k1", Kind: Restart, ForMS: 300000, NotBefore: 1700000000011, After: 12,
			Machines: []string{"s-00000001", "s-00000002"}, ID: 13},
		"call-request": {By: "bob", Reason: "disk", Key: "k2", Kind: Replace, ForMS: 7, NotBefore: 8, Machines: []string{"s-00000003"}},
		"call-least":   {By: "carol", Reason: "rack"},
	} {
		if name == "call" {
			golden.Filled(t, c)
		}
		golden.Compare(t, name+".cbor", c.Encode())
		var got Command
		if err := cbor.Unmarshal(golden.Read(t, name+".cbor"), &got); err != nil || !reflect.DeepEqual(got, c) {
			t.Errorf("%s: read as %+v, error %v", name, got, err)
		}
	}
	if got := slices.Sorted(maps.Keys(Commands())); !slices.Equal(got, []string{"work-cancel", "work-done", "work-gone", "work-hold",
		"work-request", "work-resume"}) {
		t.Error("calls:", got)
	}
	sections, err := Commands()["work-request"](&fleet.Plan{}, golden.Read(t, "call-request.cbor"), 1700000000021)
	if err != nil || len(sections) != 1 {
		t.Fatal(sections, err)
	}
	golden.Compare(t, "settled-request.cbor", sections["work"])
}

// TestGoldenForecast compares the output of "work plan --json", and the page of servers that the command reads, with the golden files.
func TestGoldenForecast(t *testing.T) {
	type page struct {
		Ahead   Forecast          `json:"ahead"`
		Servers map[string]Server `json:"servers"`
	}
	v := page{Forecast{Steps: []ForecastStep{{Name: "s-00000001", Free: time.Second, Done: 2 * time.Second}}, Elapsed: 3 * time.Second, Spare: 0.375,
		MaxOut: 4, Stuck: []string{"s-00000002: waits"}}, map[string]Server{"s-00000001": {Zone: "hall-a", Ready: true, Since: 1700000000031}}}
	golden.Filled(t, v)
	for name, v := range map[string]page{"ahead": v, "ahead-least": {}} {
		text, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, name+".json", text)
		var got page
		if err := json.Unmarshal(golden.Read(t, name+".json"), &got); err != nil || !reflect.DeepEqual(got, v) {
			t.Errorf("%s: read as %+v, error %v", name, got, err)
		}
	}
}
