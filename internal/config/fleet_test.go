package config

import (
	"os"
	"strings"
	"testing"
)

// TestFleetFileThatShips guards against a shipped fleet file that the program rejects.
func TestFleetFileThatShips(t *testing.T) {
	f, err := LoadFleet("../../deploy/fleet.toml")
	if err != nil || f.Name != "turku" || len(f.Voters) != 3 {
		t.Fatalf("shipped file: got %+v, error %v", f, err)
	}
	if f, err := LoadFleet(""); f != nil || err != nil {
		t.Errorf("empty path: got %+v, error %v, want neither", f, err)
	}
}

// TestFleetFaultsNameTheKey checks that the error for each kind of faulty fleet file names the key or the line.
func TestFleetFaultsNameTheKey(t *testing.T) {
	text, err := os.ReadFile("../../deploy/fleet.toml")
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ old, new, want string }{
		{"name = \"turku\"", "name = \"\"", "fleet.toml:6: fleet.name"},
		{"listen = \"127.0.0.1:7946\"", "listen = \"here\"", "fleet.listen"},
		{"[\"n0\", \"n1\", \"n2\"]", "[\"n0\", \"n1\"]", "fleet.voters: 2; an odd number"},
		{"[\"n0\", \"n1\", \"n2\"]", "[\"n0\", \"n0\", \"n2\"]", "fleet.voters"},
		{"lease_ms = 2000", "lease_ms = 600", "fleet.lease_ms"},
		{"lease_ms", "leash_ms", "fleet.leash_ms: there is no such key"},
		{"[\"n0/127.0.0.1:7946\"]", "[\"n9\"]", "fleet.seeds"},
		{"\n[peers]", "\n[peers]\nn1 = \"nowhere\"\n#", "peers.n1"},
		{"status_ms = 200", "status_ms = ", "fleet.toml:14"},
	} {
		if !strings.Contains(string(text), c.old) {
			t.Fatalf("the shipped file does not contain %q", c.old)
		}
		_, err := parseFleet("fleet.toml", []byte(strings.Replace(string(text), c.old, c.new, 1)))
		if err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("with %q: got error %v, want %s", c.new, err, c.want)
		}
	}
}
