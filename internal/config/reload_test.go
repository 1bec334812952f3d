package config

import (
	"os"
	"strings"
	"testing"
)

func noEnv(string) string { return "" }

// FuzzReload: whatever a file read at SIGHUP holds, it is taken whole with settings that a module can work with, or
// rejected with an error; it never panics, and a rejected one gives nothing back.
func FuzzReload(f *testing.F) {
	good, err := os.ReadFile("../../cmd/dewhitch/testdata/node.json")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(""))
	f.Add(good[:len(good)/2])
	f.Add([]byte(`{"name":"n0","listen":"1.2.3.4:5","discovery":"1.2.3.4:6","seed":"1","settings":{}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		n, err := parseNode(text, noEnv, true)
		if err != nil {
			if n != nil {
				t.Fatalf("rejected, and yet %+v", n)
			}
			return
		}
		if err := n.Settings.Check(); err != nil {
			t.Fatalf("taken with settings that no module can work with: %v", err)
		}
		if len(n.Names.Classes) != len(n.Settings.Classes) {
			t.Fatalf("%d names of %d classes", len(n.Names.Classes), len(n.Settings.Classes))
		}
	})
}

// TestBrokenReloads: the files of the retuning days that must be rejected, each with the key at fault named.
func TestBrokenReloads(t *testing.T) {
	good, err := os.ReadFile("../../cmd/dewhitch/testdata/node.json")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parseNode([]byte(`{"listen":"1.2.3.4:5","discovery":"1.2.3.4:6","counter":"1.2.3.4:7",`+string(good[1:])), noEnv, true); err != nil {
		t.Fatalf("the good file: %v", err)
	}
	for _, c := range []struct{ text, key string }{
		{"", "not JSON"},
		{string(good[:len(good)/2]), "not JSON"},
		{`{"name":"n0","listen":"1.2.3.4:5","discovery":"1.2.3.4:6","seed":"1"}`, "settings: missing"},
		{`{"name":"n0","listen":"1.2.3.4:5","discovery":"1.2.3.4:6","seed":"1","settings":{"NInstances":1,"Caps":{"TryLimit":1},"RequestClasses":[{"Name":"a","Aim":1,"Deadline":0,"Effect":"safe"}]}}`, "Classes[0].Deadline"},
		{`{"name":"n0","listen":"1.2.3.4:5","discovery":"1.2.3.4:6","seed":"1","settings":{"NInstances":1,"Caps":{"TryLimit":0},"RequestClasses":[{"Name":"a","Aim":1,"Deadline":1,"Effect":"safe"}]}}`, "MaxAttempts"},
		{`{"name":"n0","discovery":"1.2.3.4:6","seed":"1","settings":{"NInstances":1,"Caps":{"TryLimit":1},"RequestClasses":[{"Name":"a","Aim":1,"Deadline":1,"Effect":"safe"}]}}`, "listen"},
	} {
		_, err := parseNode([]byte(c.text), noEnv, true)
		if err == nil || !strings.Contains(err.Error(), c.key) {
			t.Errorf("%.60q: %v, want %q", c.text, err, c.key)
		}
	}
}
