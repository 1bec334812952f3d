package main

import (
	"bytes"
	"strings"
	"testing"

	"dewhitch/internal/golden"
)

// All that the adapter writes for a fixed script of three instances. The simulator reads it.
func TestGoldenAnswers(t *testing.T) {
	var out bytes.Buffer
	if err := run(strings.NewReader(script(0, 1, 2)), &out); err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "answers.txt", out.Bytes())
}
