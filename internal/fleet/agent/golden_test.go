package agent

import (
	"testing"

	"dewhitch/internal/golden"
)

// TestGoldenMetrics compares the names, types and labels of the fleet's metrics, which operators' alerts use, with the
// golden file.
func TestGoldenMetrics(t *testing.T) {
	members, stop := startMembers(t, 1, false)
	defer stop()
	golden.Compare(t, "metrics", golden.Metrics(t, members[0]))
}
