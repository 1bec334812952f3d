package soak

import (
	"bytes"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// The short form of the ten-minute run: the same code, the same reckoning.
func TestShort(t *testing.T) {
	program := filepath.Join(t.TempDir(), "dewhitch")
	if out, err := exec.Command("go", "build", "-o", program, "dewhitch/cmd/dewhitch").CombinedOutput(); err != nil {
		t.Fatal(string(out))
	}
	var out bytes.Buffer
	err := Run(t.Context(), Plan{Program: program, Dir: t.TempDir(), Length: 12 * time.Second, Kill: 1500 * time.Millisecond,
		Seed: 7, Hauliers: 16, Out: &out})
	t.Log(out.String())
	if err != nil {
		t.Fatal(err)
	}
}
