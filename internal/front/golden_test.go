package front

import (
	"strings"
	"testing"

	"dewhitch/internal/golden"
)

// TestGoldenCloseReasons keeps the words for why connections ended, in their order: a label of a metric, and in logs.
func TestGoldenCloseReasons(t *testing.T) {
	var names strings.Builder
	for r := range closeReasonCount {
		names.WriteString(r.String() + "\n")
	}
	golden.Compare(t, "close_reasons", []byte(names.String()))
}
