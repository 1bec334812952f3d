package front

import (
	"strings"
	"testing"

	"dewhitch/internal/golden"
)

// TestGoldenCloseReasons compares the names of the close reasons, in their order, with a golden file. They are a label of a metric and
// appear in logs.
func TestGoldenCloseReasons(t *testing.T) {
	var names strings.Builder
	for r := range closeReasonCount {
		names.WriteString(r.String() + "\n")
	}
	golden.Compare(t, "close_reasons", []byte(names.String()))
}
