package soak

import (
	"bytes"
	"testing"
	"time"

	"dewhitch/internal/standin"
)

// TestShortRun guards against ledgers that don't agree with the clients, backends and counter after kills and faults. It uses
// the code and the audit of the default run of ten minutes for a run of 12 seconds.
func TestShortRun(t *testing.T) {
	program, err := standin.Build(t.TempDir(), "dewhitch")
	if err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	err = Run(t.Context(), Config{Program: program, Dir: t.TempDir(), Length: 12 * time.Second, KillInterval: 1500 * time.Millisecond,
		Seed: 7, Customers: 16, Out: &out})
	t.Log(out.String())
	if err != nil {
		t.Fatal(err)
	}
}
