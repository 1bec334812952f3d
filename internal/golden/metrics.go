package golden

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics returns the Prometheus page of c without the values: the names, types, help texts and labels, which alerts and
// dashboards depend on.
func Metrics(t testing.TB, c prometheus.Collector) []byte {
	t.Helper()
	registry := prometheus.NewPedanticRegistry()
	if err := registry.Register(c); err != nil {
		t.Fatal(err)
	}
	page := httptest.NewRecorder()
	promhttp.HandlerFor(registry, promhttp.HandlerOpts{}).ServeHTTP(page, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	if page.Code != http.StatusOK {
		t.Fatalf("%d: %s", page.Code, page.Body)
	}
	var names strings.Builder
	for line := range strings.Lines(page.Body.String()) {
		if at := strings.LastIndexByte(line, ' '); !strings.HasPrefix(line, "#") && at >= 0 {
			line = line[:at] + "\n"
		}
		names.WriteString(line)
	}
	return []byte(names.String())
}
