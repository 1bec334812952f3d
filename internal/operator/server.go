// Package operator serves the operators' HTTP listener, on which the components of a running program publish Prometheus metrics
// and pages, among them the ledger's. Labels are plans, classes and events, whose number is bounded; figures by customer are
// only in the ledger's own exports.
package operator

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Bounds of each HTTP request, which limit the effect of operators' mistakes.
const (
	readTimeout    = 5 * time.Second  // time to read one request
	writeTimeout   = 30 * time.Second // time to write one answer
	maxHeaderBytes = 16 << 10         // maximum size of a request's header, in bytes
	maxScrapes     = 2                // maximum number of concurrent requests for the metrics
)

// Component is a component of the program that publishes metrics and pages. Its methods are called from any goroutine,
// concurrently.
type Component interface {
	// Pages adds the handlers of the component's pages.
	Pages(*http.ServeMux)
	prometheus.Collector
}

// Serve serves the components' metrics and pages on a listener until the context ends, and closes it. It then returns nil. If the
// listener fails before, Serve returns that error.
func Serve(ctx context.Context, l net.Listener, components ...Component) error {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	for _, p := range components {
		registry.MustRegister(p)
		p.Pages(mux)
	}
	server := &http.Server{Handler: mux, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, MaxHeaderBytes: maxHeaderBytes}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
