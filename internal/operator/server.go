// Package operator is the operators' listener: what the parts of a running program show there, as Prometheus metrics and
// pages of their own, the ledger's among them. Labels are plans, classes and events, whose number is bounded; customers are
// in the ledger's own exports.
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

// The bounds hold for each request: a listener that is open to operators is open to their mistakes.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	maxHeaderBytes = 16 << 10 // bytes
	maxScrapes     = 2        // of the metrics, at the same time
)

// Component is what one part of the program shows: its pages, and its metrics. Its methods are called from any goroutine.
type Component interface {
	// Pages adds the part's pages.
	Pages(*http.ServeMux)
	prometheus.Collector
}

// Serve answers at a listener until the context ends, and closes it. The error is that of a listener that failed before.
func Serve(ctx context.Context, l net.Listener, parts ...Component) error {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes}))
	for _, p := range parts {
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
