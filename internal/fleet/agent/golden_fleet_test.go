package agent

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/url"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"dewhitch/internal/fleet"
	"dewhitch/internal/fleet/gossip"
	"dewhitch/internal/fleet/maintenance"
	"dewhitch/internal/fleet/slowstart"
	"dewhitch/internal/golden"
)

// TestGoldenStatus compares the status page, which operators and the fleet command read, with the golden files.
func TestGoldenStatus(t *testing.T) {
	full := Status{Name: "g1", Fleet: "north-fleet", Leader: "g2", LeaderAge: 11, Quorum: true, Epoch: fleet.Epoch{Generation: 12, Index: 13},
		Sections: []string{"freeze", "voters"}, Frozen: &fleet.OperatorMark{By: "alice", Reason: "night", At: 1700000000014},
		Unacknowledged: []string{"g3"}, Members: []MemberStatus{{Member: gossip.Member{Name: "g4", State: "alive", Address: "127.0.0.4:7004",
			Metadata: gossip.Metadata{Zone: "hall-a", Region: "north", Number: 15, Version: "1.2.3", Role: "gateway"}},
			Epoch: fleet.Epoch{Generation: 16, Index: 17}, ProcessStartedAt: 1700000000000000018, Age: 19, Fresh: true, Voter: true}},
		PassedOver: 20, Folder: "kept"}
	golden.Filled(t, full)
	for name, s := range map[string]Status{"status.json": full, "status-least.json": {}} {
		text, err := json.MarshalIndent(s, "", "  ")
		if err != nil {
			t.Fatal(err)
		}
		golden.Compare(t, name, append(text, '\n'))
		var got Status
		if err := json.Unmarshal(golden.Read(t, name), &got); err != nil || !reflect.DeepEqual(got, s) {
			t.Errorf("%s: read as %+v, error %v", name, got, err)
		}
	}
}

// withoutTimes returns a page with 1 in place of all times, which depend on the clock, and with sorted keys.
func withoutTimes(t *testing.T, page []byte) []byte {
	t.Helper()
	var v any
	if err := json.Unmarshal(page, &v); err != nil {
		t.Fatalf("%s: %v", page, err)
	}
	var walk func(any)
	walk = func(v any) {
		switch v := v.(type) {
		case []any:
			for _, e := range v {
				walk(e)
			}
		case map[string]any:
			for k, e := range v {
				if slices.Contains([]string{"since", "until", "asked", "g0"}, k) && e != 0.0 { // g0: key of a time in the roster
					v[k] = 1
				}
				walk(e)
			}
		}
	}
	walk(v)
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	return append(text, '\n')
}

// TestGoldenPages checks the paths, form fields and answers of a running member's pages, and compares the pages after
// the commands, and the names, types and labels of the metrics, with the golden files.
func TestGoldenPages(t *testing.T) {
	defer waitForGoroutines(t)
	members, stop := startMembers(t, 1, false)
	defer stop()
	waitUntilFresh(t, members)
	eventually(t, "the roster", func() bool {
		var roster map[string]int64
		err := members[0].call(func() {
			p := members[0].node.Plan()
			schedule, _ := maintenance.Read(&p)
			roster = schedule.Roster
		})
		return err == nil && roster["g0"] != 0
	})
	members[0].EndpointsChanged([]slowstart.Server{{ID: 0x0a0b0c0d, Zone: "hall-a", Since: 1700000000021}})
	mux := http.NewServeMux()
	members[0].Pages(mux)
	server := httptest.NewServer(mux)
	defer server.Close()
	defer http.DefaultClient.CloseIdleConnections()
	readAnswer := func(r *http.Response, err error) (int, []byte) {
		if err != nil {
			t.Fatal(err)
		}
		defer r.Body.Close()
		text, err := io.ReadAll(r.Body)
		if err != nil {
			t.Fatal(err)
		}
		return r.StatusCode, text
	}
	acceptedAnswer := regexp.MustCompile(`^YES [0-9]+\.[0-9]+\n$`)
	for _, c := range []struct {
		verb string
		form url.Values
		code int
	}{
		{"freeze", url.Values{"by": {"erin"}, "why": {"noon"}}, 200},
		{"thaw", url.Values{"by": {"erin"}, "why": {"day"}}, 200},
		{"freeze", url.Values{"by": {"erin"}, "why": {"night"}}, 200}, // while frozen, the leader proposes nothing on its own initiative
		{"leave", url.Values{"by": {"alice"}, "why": {"power"}, "zone": {"hall-b"}, "for_ms": {"1800000"}}, 200},
		{"return", url.Values{"by": {"bob"}, "why": {"keep"}, "zone": {"hall-c"}, "hold": {"true"}}, 200},
		{"leave", url.Values{"by": {"alice"}, "why": {"power"}, "zone": {"hall-b"}, "for_ms": {"x"}}, 400},
		{"return", url.Values{"by": {"alice"}, "why": {"power"}, "zone": {"hall-d"}}, 409},
		{"work-request", url.Values{"by": {"carol"}, "why": {"kernel"}, "key": {"k1"}, "kind": {"restart"}, "for_ms": {"300000"},
			"not_before": {"4000000000000"}, "machine": {"s-00000001", "s-00000002"}}, 200},
		{"work-request", url.Values{"by": {"dan"}, "why": {"disk"}, "key": {"k2"}, "kind": {"replace"}, "for_ms": {"1"}, "after": {"1"},
			"machine": {"s-00000003"}}, 200},
		{"work-hold", url.Values{"by": {"carol"}, "why": {"wait"}, "id": {"1"}}, 200},
		{"work-resume", url.Values{"by": {"carol"}, "why": {"go"}, "id": {"1"}}, 200},
		{"work-cancel", url.Values{"by": {"dan"}, "why": {"no"}, "id": {"2"}}, 200},
		{"work-done", url.Values{"by": {"dan"}, "why": {"no"}, "id": {"2"}}, 409},
		{"work-gone", url.Values{"by": {"dan"}, "why": {"no"}, "machine": {"g9"}}, 409},
	} {
		code, text := readAnswer(http.PostForm(server.URL+"/fleet/"+c.verb, c.form))
		if code != c.code || code == 200 && !acceptedAnswer.Match(text) || code != 200 && !strings.HasPrefix(string(text), "NO ") {
			t.Errorf("%s with the form %v: got unexpected answer %d %s", c.verb, c.form, code, text)
		}
	}
	for page, file := range map[string]string{"zones": "page-zones.json", "work": "page-work.json", "servers": "page-servers.json"} {
		code, text := readAnswer(http.Get(server.URL + "/fleet/" + page))
		if code != 200 {
			t.Fatalf("page %s: got %d %s, expected 200", page, code, text)
		}
		golden.Compare(t, file, withoutTimes(t, text))
	}
	var want, got map[string]any
	if err := json.Unmarshal(golden.Read(t, "status.json"), &want); err != nil {
		t.Fatal(err)
	}
	_, text := readAnswer(http.Get(server.URL + "/fleet"))
	if err := json.Unmarshal(text, &got); err != nil {
		t.Fatal(err)
	}
	if a, b := slices.Sorted(maps.Keys(want)), slices.Sorted(maps.Keys(got)); !slices.Equal(a, b) {
		t.Errorf("the status page has keys %v, expected %v", b, a)
	}
	if got["folder"] != "none" || !reflect.DeepEqual(got["sections"], []any{"freeze", "voters", "work", "zones"}) {
		t.Errorf("status page: got %s, expected no folder and the sections freeze, voters, work and zones", text)
	}

	r := prometheus.NewRegistry()
	r.MustRegister(members[0])
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	var lines strings.Builder
	for _, f := range families {
		for _, m := range f.GetMetric() {
			fmt.Fprint(&lines, f.GetName(), " ", f.GetType())
			for _, l := range m.GetLabel() {
				fmt.Fprintf(&lines, " %s=%s", l.GetName(), l.GetValue())
			}
			fmt.Fprintln(&lines)
		}
	}
	golden.Compare(t, "metrics.txt", []byte(lines.String()))
}

// TestGoldenForms compares the encoding of a maintenance command from a form with the golden file.
func TestGoldenForms(t *testing.T) {
	args, err := parseMaintenanceCommand(url.Values{"by": {"alice"}, "why": {"kernel"}, "key": {"k1"}, "kind": {"off"}, "for_ms": {"11"}, "not_before": {"12"},
		"machine": {"s-00000001", "s-00000002"}, "id": {"13"}, "after": {"14"}})
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "form-work.cbor", args)
	for _, key := range []string{"for_ms", "not_before", "id", "after"} {
		if _, err := parseMaintenanceCommand(url.Values{key: {"x"}}); err == nil || !strings.HasPrefix(err.Error(), key+": ") {
			t.Errorf("invalid field %s: got error %v, expected one that begins with the field", key, err)
		}
	}
}

// TestGoldenMachine checks the name of a server in requests, plans and statuses.
func TestGoldenMachine(t *testing.T) {
	if got := MachineName(0x0a0b0c0d); got != "s-0a0b0c0d" {
		t.Error(got)
	}
	if id, ok := parseMachineName("s-0a0b0c0d"); !ok || id != 0x0a0b0c0d {
		t.Error(id, ok)
	}
}
