package main

import (
	"bytes"
	"strings"
	"testing"

	"dewhitch/internal/golden"
)

// TestGoldenAnswers guards against a changed output of the adapter, which the simulator reads. The input is a fixed script of
// three gateways.
func TestGoldenAnswers(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader(script(0, 1, 2)), &out); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "answers.txt", out.Bytes())
}
