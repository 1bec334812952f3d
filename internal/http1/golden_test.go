package http1

import (
	"testing"

	"dewhitch/internal/golden"
)

// TestGoldenRequests compares the requests that AppendRequest writes with a golden file. The shared counter and the discovery service
// read them.
func TestGoldenRequests(t *testing.T) {
	b := AppendRequest(nil, "GET", "/api/targets?follow=1&since=41", "10.0.0.1:1001")
	golden.Compare(t, "requests.txt", AppendRequest(b, "POST", "/counters/a.1?by=-2.5&expire_ms=4000", "10.0.0.2:1002"))
}
