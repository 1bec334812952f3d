package main_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"testing"

	"dewhitch/internal/golden"
)

// goldenPageFiles holds, by path, the file of each page that a member serves. Most of them are golden files of the packages that
// write the pages.
var goldenPageFiles = map[string]string{
	"/fleet":         "../../../../internal/fleet/agent/testdata/golden/status.json",
	"/fleet/zones":   "../../../../internal/fleet/evacuation/testdata/golden/verdicts.json",
	"/fleet/work":    "../../../../internal/fleet/maintenance/testdata/golden/book.json",
	"/fleet/servers": "servers.json",
}

// replaceValuesByTypes replaces each scalar value of decoded JSON by the name of its Go type.
func replaceValuesByTypes(v any) any {
	switch v := v.(type) {
	case []any:
		for i := range v {
			v[i] = replaceValuesByTypes(v[i])
		}
		return v
	case map[string]any:
		for k := range v {
			v[k] = replaceValuesByTypes(v[k])
		}
		return v
	default:
		return fmt.Sprintf("%T", v)
	}
}

// TestGoldenCommands guards against changes in what the fleet commands send to a member's operators' listener, which may run
// another version: the method, path and form of each call with all of its flags. With --json, a command must print the page as
// received; without it, the command must read the page.
func TestGoldenCommands(t *testing.T) {
	pages := map[string][]byte{}
	for path, file := range goldenPageFiles {
		pages[path] = golden.Read(t, file)
	}
	var mu sync.Mutex
	var calls strings.Builder
	member := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		if err := r.ParseForm(); err != nil {
			t.Error(err)
		}
		fmt.Fprintln(&calls, r.Method, r.URL)
		for _, key := range slices.Sorted(maps.Keys(r.PostForm)) {
			fmt.Fprintf(&calls, "\t%s=%q\n", key, r.PostForm[key])
		}
		if page, ok := pages[r.URL.Path]; ok && r.Method == http.MethodGet {
			_, _ = w.Write(page)
			return
		}
		fmt.Fprintln(w, "YES 12.13")
	}))
	defer member.Close()
	run := func(args ...string) []byte {
		t.Helper()
		c := exec.Command(program, append([]string{"fleet", "--at", member.Listener.Addr().String()}, args...)...)
		c.Env = append(c.Environ(), "TZ=UTC")
		out, err := c.Output()
		if err != nil {
			t.Errorf("fleet %v: got the error %v, expected none", args, err)
		}
		return out
	}
	whyAndBy := []string{"--why", "so", "--by", "alice"}
	for _, line := range []string{"freeze", "thaw", "leave hall-b --for 30m", "leave hall-b", "return hall-b", "return hall-b --hold",
		"work request --machines s-00000001,s-00000002 --kind restart --for 5m --not-before 2030-01-02T03:04:05Z --after 7 --key k1",
		"work request --machines s-00000003 --kind replace --for 1m", "work request --machines s-00000004 --kind off --for 2m",
		"work done 7 s-00000001 s-00000002", "work done 7", "work cancel 8", "work hold 9", "work resume 10", "work gone g8 g9"} {
		mu.Lock()
		fmt.Fprintln(&calls, "$", line)
		mu.Unlock()
		if out := run(append(strings.Fields(line), whyAndBy...)...); string(out) != "YES 12.13\n" {
			t.Errorf("%s: got %q, expected the member's answer", line, out)
		}
	}
	for _, c := range []struct {
		line, page string
		shows      []string // values of the page that the output without --json contains
	}{
		{"status", "/fleet", []string{"g1", "north-fleet", "g2", "11 ms", "12.13", "alice", "night", "2023-11-14T22:13:20Z", "g3", "g4", "alive",
			"hall-a", "16.17", "19 ms", "true", "kept"}},
		{"zones", "/fleet/zones", []string{"hall-a>hall-b", "in, held", "2023-11-14T22:13:20Z", "2", "ill", "g1 g2", "alice"}},
		{"work list", "/fleet/work", []string{"restart, kernel", "replace, disk", "off, rack", "alice", "held", "look", "s-00000001", "announced", "n1",
			"s-00000002", "free", "n2", "s-00000003", "back", "n3", "s-00000004", "n4", "s-00000005", "done", "s-00000006", "cancelled",
			"2023-11-14T22:13:20Z", "1970-01-01T00:00:00Z", "waiting"}},
	} {
		mu.Lock()
		fmt.Fprintln(&calls, "$", c.line)
		mu.Unlock()
		if out, want := run(append(strings.Fields(c.line), "--json")...), pages[c.page]; string(out) != string(want) {
			t.Errorf("%s --json: got %s, expected %s", c.line, out, want)
		}
		out := run(strings.Fields(c.line)...)
		for _, s := range c.shows {
			if !strings.Contains(string(out), s) {
				t.Errorf("%s: expected %q in the output, got\n%s", c.line, s, out)
			}
		}
	}
	mu.Lock()
	fmt.Fprintln(&calls, "$ work plan")
	mu.Unlock()
	var plan any
	if out := run("work", "plan", "--machines", "s-00000001,s-000000ff", "--for", "1m", "--load", "0.1", "--cold", "10s", "--start", "0.5",
		"--json"); json.Unmarshal(out, &plan) != nil {
		t.Errorf("work plan: the output is not JSON: %s", out)
	}
	text, err := json.MarshalIndent(replaceValuesByTypes(plan), "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	mu.Lock()
	defer mu.Unlock()
	golden.Compare(t, "work-plan.json", append(text, '\n'))
	golden.Compare(t, "calls.txt", []byte(calls.String()))
}
