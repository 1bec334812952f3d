package config

import (
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"dewhitch/internal/config/settings"
	"dewhitch/internal/golden"
)

// goldenFile returns the path of a golden file, for functions that read a file by its path.
func goldenFile(name string) string { return filepath.Join("testdata", "golden", name) }

// goldenNode returns the expected content of node.json. The settings are those that package settings decodes.
func goldenNode(t *testing.T) Node {
	t.Helper()
	var f struct {
		Settings json.RawMessage `json:"settings"`
	}
	if err := json.Unmarshal(golden.Read(t, "node.json"), &f); err != nil {
		t.Fatal(err)
	}
	s, names, err := settings.Decode(f.Settings) // the golden test of that package checks each field
	if err != nil || len(s.Classes) != 3 {
		t.Fatal(err)
	}
	return Node{Name: "node-1", Listen: "10.0.0.1:1001", Discovery: "10.0.0.2:1002", Counter: "10.0.0.3:1003", Admin: "10.0.0.4:1004",
		TempDir: "/scratch", Seed: 0x1f, Cores: 1.5, MemoryMB: 101, Sockets: 102, KnownList: json.RawMessage(`{"revision":7,"members":[]}`),
		Settings: s, Names: names}
}

// TestGoldenNode guards against a change in how the node's configuration file and the environment variables that override it are
// read. Platforms write them, with every key; the gateway reads them at its start and at SIGHUP.
func TestGoldenNode(t *testing.T) {
	file := goldenNode(t)
	withEnv := file
	withEnv.Name, withEnv.Listen, withEnv.Discovery, withEnv.Admin, withEnv.InheritedFD = "node-2", "10.0.1.1:1101", "10.0.1.2:1102", "10.0.1.4:1104", 5
	reloaded := withEnv
	reloaded.Discovery = file.Discovery
	fileOnly := map[string]string{"NODE_CONFIG": goldenFile("node.json"), "TMPDIR": "/scratch"}
	allVariables := map[string]string{"NODE_NAME": "node-2", "NODE_LISTEN": "10.0.1.1:1101", "NODE_DISCOVERY": "10.0.1.2:1102",
		"NODE_ADMIN": "10.0.1.4:1104", "NODE_FD": "5", "NODE_CONFIG": fileOnly["NODE_CONFIG"], "TMPDIR": "/scratch"}
	for _, c := range []struct {
		name string
		env  map[string]string
		load func(func(string) string) (*Node, error)
		want Node
	}{{"the file", fileOnly, LoadNode, file}, {"the environment above it", allVariables, LoadNode, withEnv},
		{"the same, read anew", allVariables, ReloadNode, reloaded}} {
		got, err := c.load(func(key string) string { return c.env[key] })
		if err != nil {
			t.Fatal(c.name, err)
		}
		if !reflect.DeepEqual(*got, c.want) {
			t.Errorf("%s\n got %+v\nwant %+v", c.name, *got, c.want)
		}
	}
}

// TestGoldenLimits guards against a change in how the limits file is read, with every key. Operators write it; gateways and
// forwarders read it.
func TestGoldenLimits(t *testing.T) {
	got, err := LoadLimits(goldenFile("limits.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if want := (Limits{Listen: "10.0.0.1:2001",
		Registry: Registry{Servers: []string{"10.0.0.2:2002", "10.0.0.3:2003"}, Path: "/golden/planners", Session: 2004 * time.Millisecond},
		Forward:  Forward{Listen: "10.0.0.4:2005", Gateways: 6, Sockets: 2007, MemoryMB: 208}}); !reflect.DeepEqual(*got, want) {
		t.Errorf("\n got %+v\nwant %+v", *got, want)
	}
	if err := got.CheckForward(); err != nil {
		t.Error(err)
	}
}

// TestGoldenOperations guards against a change in how the operators' file is read, with every key. Operators write it; gateways
// and forwarders read it. The golden file turns sync off, which is on by default.
func TestGoldenOperations(t *testing.T) {
	got, err := LoadOperations(goldenFile("operations.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if want := (Operations{Operator: Operator{Listen: "10.0.0.1:3001"},
		Ledger: Ledger{Enabled: true, Rows: 3002, Open: 3003, RecentPostings: 3004, AuditInterval: 3005 * time.Millisecond,
			StatementInterval: 3006 * time.Millisecond,
			AlarmFile:         "alarms.jsonl", Dir: "books", SegmentBytes: 7 << 20, Segments: 11, Records: 3009},
		Warm: WarmStart{Mode: "on", Interval: 3010 * time.Millisecond, Dir: "warm"}}); !reflect.DeepEqual(*got, want) {
		t.Errorf("\n got %+v\nwant %+v", *got, want)
	}
}

// TestGoldenFleet guards against a change in how the fleet file is read, with every key. Operators write it; a member of a fleet
// reads it.
func TestGoldenFleet(t *testing.T) {
	got, err := LoadFleet(goldenFile("fleet.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if want := (Fleet{Name: "golden", Listen: "10.0.0.1:4001", Region: "north", Voters: []string{"n0", "n1", "n2"},
		Seeds: []string{"n0/10.0.0.2:4002", "n1"}, Keyring: "keys", Dir: "votes", Lease: 4003 * time.Millisecond, StatusInterval: 404 * time.Millisecond,
		Peers: map[string]string{"n1": "10.0.0.5:4009", "n2": "10.0.0.6:4010"}, MaxEvacuatedZones: 5,
		Registry: Registry{Servers: []string{"10.0.0.3:4006", "10.0.0.4:4007"}, Path: "/golden/members/golden",
			Session: 4008 * time.Millisecond}}); !reflect.DeepEqual(*got, want) {
		t.Errorf("\n got %+v\nwant %+v", *got, want)
	}
}

// TestGoldenDefaults guards against a changed default of the keys that a file omits.
func TestGoldenDefaults(t *testing.T) {
	dir := t.TempDir()
	write := func(text string) string {
		path := filepath.Join(dir, "file.toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	limits, err := LoadLimits(write(""))
	if want := (&Limits{Registry: Registry{Path: "/dewhitch/planners", Session: 4 * time.Second},
		Forward: Forward{Sockets: 1024, MemoryMB: 192}}); err != nil || !reflect.DeepEqual(limits, want) {
		t.Errorf("limits: %v\n got %+v\nwant %+v", err, limits, want)
	}
	operations, err := LoadOperations(write(""))
	if want := (&Operations{Ledger: Ledger{Rows: 20000, Open: 65536, RecentPostings: 4096, AuditInterval: time.Second,
		StatementInterval: 10 * time.Second,
		SegmentBytes:      4 << 20, Segments: 8, Records: 1000000, Sync: true},
		Warm: WarmStart{Mode: "auto", Interval: 500 * time.Millisecond}}); err != nil || !reflect.DeepEqual(operations, want) {
		t.Errorf("operations: %v\n got %+v\nwant %+v", err, operations, want)
	}
	fleet, err := LoadFleet(write("[fleet]\nname = \"x\"\nlisten = \"10.0.0.1:1\"\nvoters = [\"n0\"]\n"))
	if want := (&Fleet{Name: "x", Listen: "10.0.0.1:1", Voters: []string{"n0"}, Lease: 2 * time.Second, StatusInterval: 200 * time.Millisecond,
		Registry: Registry{Path: "/dewhitch/members/x", Session: 4 * time.Second}}); err != nil || !reflect.DeepEqual(fleet, want) {
		t.Errorf("fleet: %v\n got %+v\nwant %+v", err, fleet, want)
	}
	node, err := parseNode([]byte(`{"name":"n","listen":"10.0.0.1:1","discovery":"10.0.0.1:2","seed":"1","settings":{"NInstances":1,`+
		`"RequestClasses":[{"Aim":1,"Deadline":1,"Effect":"safe"}],"Caps":{"TryLimit":1}}}`), noEnv, false)
	if err != nil || node.Cores != 1 || node.MemoryMB != 192 || node.Sockets != 1024 || node.KnownList != nil {
		t.Errorf("node: error %v, unexpected limits in %+v", err, node)
	}
}
