package config

import (
	"os"
	"strings"
	"testing"
)

// noEnv is an environment without variables.
func noEnv(string) string { return "" }

// FuzzReload checks that a file of any content, read at SIGHUP, is either accepted as a whole with valid settings, or rejected
// with an error and without a result. Parsing never panics.
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
				t.Fatalf("rejected with an error, but the result is %+v", n)
			}
			return
		}
		if err := n.Settings.Check(); err != nil {
			t.Fatalf("accepted with invalid settings: %v", err)
		}
		if len(n.Names.Classes) != len(n.Settings.Classes) {
			t.Fatalf("got %d class names for %d classes", len(n.Names.Classes), len(n.Settings.Classes))
		}
	})
}

// TestBrokenReloads checks that faulty files read at SIGHUP are rejected, each with an error that names the faulty key.
func TestBrokenReloads(t *testing.T) {
	good, err := os.ReadFile("../../cmd/dewhitch/testdata/node.json")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := parseNode([]byte(`{"listen":"1.2.3.4:5","discovery":"1.2.3.4:6","counter":"1.2.3.4:7",`+string(good[1:])), noEnv, true); err != nil {
		t.Fatalf("the valid file was rejected: %v", err)
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
			t.Errorf("%.60q: got error %v, want %q", c.text, err, c.key)
		}
	}
}
