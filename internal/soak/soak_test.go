package soak

import (
	"bytes"
	"testing"
	"time"

	"dewhitch/internal/standin"
)

// A run of 12 seconds, which uses the same code and the same audit as the default run of ten minutes.
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
