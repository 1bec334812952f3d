package drill

import (
	"bytes"
	"strings"
	"testing"
)

// TestPage guards against a page that loads other files, lacks one of its three plots or a violation, or does not escape the
// scenario's name.
func TestPage(t *testing.T) {
	r := &Result{Scenario: "planted <b>", Seed: 3, ServedBySecond: []float64{1, 0.5, 1}, SentToZones: map[string][]int{"zone a": {1, 2, 3}},
		SentToServers: map[string][]int{"server-a1": {1, 2, 3}}, Violations: []string{"lost: one"},
		Timeline: []TimelineEvent{{0.5, "silent(servers(\"a\"))"}, {1, "gateway-a1: zone hall-a out: all"}, {1, "plan 1.2 settled"}}}
	var b bytes.Buffer
	if err := Page(&b, r); err != nil {
		t.Fatal(err)
	}
	text := b.String()
	if strings.Count(text, "<svg") != 3 || strings.Contains(text, "planted <b>") || !strings.Contains(text, "lost: one") ||
		strings.Contains(text, "src=") || strings.Contains(text, "href=\"http") {
		t.Errorf("not self-contained, not escaped, without the violation, or not with 3 but %d plots:\n%.600s", strings.Count(text, "<svg"), text)
	}
}
