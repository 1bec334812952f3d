// Package operator is the operators' listener: what the parts of a running program show there, as Prometheus metrics and
// pages of their own, the ledger's among them. It owns the listener. Labels are plans, classes and ends, whose number is
// bounded; hauliers are in the ledger's own exports.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/recorder"
	"dewhitch/internal/ledger/statement"
)

const (
	readTime  = 5 * time.Second // for a request; a listener that is open to operators is open to their mistakes
	writeTime = 30 * time.Second
	maxHeader = 16 << 10
)

// Source gives a report on the books.
type Source interface{ Report() recorder.Report }

// Part is what one part of the program shows: its pages, and its metrics.
type Part interface {
	Pages(*http.ServeMux)
	prometheus.Collector
}

// Serve answers at a listener until the context ends.
func Serve(ctx context.Context, l net.Listener, parts ...Part) error {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector())
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{MaxRequestsInFlight: 2}))
	for _, p := range parts {
		registry.MustRegister(p)
		p.Pages(mux)
	}
	server := &http.Server{Handler: mux, ReadTimeout: readTime, WriteTimeout: writeTime, MaxHeaderBytes: maxHeader}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Ledger shows the books. kept says whether what is posted survives a crash.
func Ledger(s Source, kept func() bool) Part { return &collector{s, kept} }

// collector makes metrics of a report at each scrape: the books are counted once, where they are kept.
type collector struct {
	source Source
	kept   func() bool
}

// Pages implements Part: /ledger has a JSON line for each row.
func (c *collector) Pages(mux *http.ServeMux) {
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/jsonl")
		r := c.source.Report()
		for _, line := range r.Lines {
			head, err := json.Marshal(struct {
				Plan  string `json:"plan"`
				Class string `json:"class"`
			}{r.Names.Plan(line.Key.Plan), r.Names.Class(line.Key.Class)})
			if err != nil {
				return
			}
			text := statement.AppendFigures(head[:len(head)-1], &line.Counts)
			if _, err := w.Write(append(text, "}\n"...)); err != nil {
				return
			}
		}
	})
}

func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("dewhitch_"+name, help, labels, nil)
}

var (
	reqs     = desc("reqs_total", "Reqs by what the front booked: taken, and how they ended.", "plan", "class", "event")
	planner  = desc("decisions_total", "Reqs by what the planner booked, with its reasons.", "plan", "class", "event")
	fetches  = desc("fetches_total", "Fetches by what the pools booked.", "plan", "class", "event")
	units    = desc("units_total", "Units on hauliers' accounts; those given back count down.", "event")
	calls    = desc("counter_calls_total", "Calls to the quota counter.", "event")
	open     = desc("ledger_open", "Reqs and calls that are open.")
	rows     = desc("ledger_rows", "Rows in memory.")
	rolled   = desc("ledger_rolled_up_total", "Rows that were rolled up into those of their plan and class.")
	given    = desc("ledger_abandoned_total", "Entries that were given up for want of room; their rows no longer add up.")
	alarms   = desc("ledger_alarms", "Alarms that stand: figures that must be equal and are not.")
	raised   = desc("ledger_alarms_raised_total", "Alarms that were raised.")
	lasting  = desc("ledger_lasting", "1 if what is booked now survives a crash of the process.")
	families = [ledger.Books]*prometheus.Desc{ledger.Front: reqs, ledger.Planner: planner, ledger.Fetches: fetches,
		ledger.Units: nil, ledger.Counter: calls}
)

// Describe implements prometheus.Collector.
func (c *collector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{reqs, planner, fetches, units, calls, open, rows, rolled, given, alarms, raised, lasting} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *collector) Collect(ch chan<- prometheus.Metric) {
	r := c.source.Report()
	count := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
	}
	for _, line := range r.Lines {
		if line.Key.Class == ledger.ClassAccount {
			continue
		}
		plan, class := r.Names.Plan(line.Key.Plan), r.Names.Class(line.Key.Class)
		for e := ledger.None + 1; e < ledger.Events; e++ {
			if b := e.Book(); b <= ledger.Fetches && (line.Counts.N[e] > 0 || e == ledger.FrontTaken) {
				count(families[b], float64(line.Counts.N[e]), plan, class, e.String())
			}
		}
	}
	for e := ledger.None + 1; e < ledger.Events; e++ {
		switch e.Book() {
		case ledger.Units:
			ch <- prometheus.MustNewConstMetric(units, prometheus.GaugeValue, float64(r.Total.Units(e))/1e6, e.String())
		case ledger.Counter:
			count(calls, float64(r.Total.N[e]), e.String())
		}
	}
	gauge := func(d *prometheus.Desc, v float64) { ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v) }
	gauge(open, float64(r.Open))
	gauge(rows, float64(r.Rows))
	gauge(alarms, float64(r.Alarms))
	count(rolled, float64(r.Evictions))
	count(given, float64(r.Abandoned))
	count(raised, float64(r.Raised))
	v := 0.0
	if c.kept() {
		v = 1
	}
	gauge(lasting, v)
}
