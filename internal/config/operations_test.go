package config

import (
	"strings"
	"testing"
	"time"
)

// TestOperations guards against a shipped file that differs from the defaults, and checks that the error for each kind of faulty
// file names the key and the line.
func TestOperations(t *testing.T) {
	o, err := LoadOperations("../../deploy/operations.toml")
	if err != nil {
		t.Fatal(err)
	}
	defaults, err := parseOperations("bare.toml", nil)
	if err != nil {
		t.Fatal(err)
	}
	if *o != *defaults {
		t.Errorf("shipped file: got %+v, want the defaults %+v", o, defaults)
	}
	if o.Ledger.Enabled || o.Operator.Listen != "" || o.Ledger.AuditInterval != time.Second ||
		o.Warm.Enabled(false) || !o.Warm.Enabled(true) {
		t.Errorf("unexpected defaults: %+v", o)
	}
	for text, want := range map[string]string{
		"[ledger]\n\nrows = 3":                    "f.toml:3: ledger.rows: ",
		"[ledger]\nenabled = true\nhauliers = 20": "f.toml:3: ledger.hauliers: there is no such key",
		"# books\n[legder]\nrows = 20":            "f.toml:2: legder: there is no such key",
		"[ledger]\nenabled = 1":                   "f.toml:2: ledger.enabled: ",
		"ledger.audit_ms = 1":                     "f.toml:1: ledger.audit_ms: ",
		"[ledger]\nrows = ":                       "f.toml:2: ",
		"[warm_start]\nmode = \"maybe\"":          "f.toml:2: warm_start.mode: ",
		"[warm_start]\nevery_ms = 5":              "f.toml:2: warm_start.every_ms: ",
		"[operator]\nlisten = \"here\"":           "operator.listen: \"here\" is not host:port",
	} {
		if _, err := parseOperations("f.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: got error %v, want %s", text, err, want)
		}
	}
}
