package operator

import (
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/recorder"
	"dewhitch/internal/ledger/statement"
)

// Source returns a report of the ledger's figures. It is called from any goroutine.
type Source interface{ Report() recorder.Report }

// Ledger returns the component that publishes the ledger. durable returns true if a posting made now survives a crash of the
// process.
func Ledger(s Source, durable func() bool) Component {
	return &ledgerComponent{source: s, durable: durable}
}

// ledgerComponent derives the metrics from a report at each scrape, and keeps no counts that could differ from the ledger's.
type ledgerComponent struct {
	source  Source
	durable func() bool
}

// Pages implements Component: /ledger has a JSON line for each row.
func (p *ledgerComponent) Pages(mux *http.ServeMux) {
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/jsonl")
		r := p.source.Report()
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

// desc returns the description of a metric, whose name gets the prefix dewhitch_.
func desc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("dewhitch_"+name, help, labels, nil)
}

// The ledger's metrics.
var (
	requestsDesc     = desc("reqs_total", "Reqs by what the front booked: taken, and how they ended.", "plan", "class", "event")
	decisionsDesc    = desc("decisions_total", "Reqs by what the planner booked, with its reasons.", "plan", "class", "event")
	attemptsDesc     = desc("fetches_total", "Fetches by what the pools booked.", "plan", "class", "event")
	unitsDesc        = desc("units_total", "Units on hauliers' accounts; those given back count down.", "event")
	counterCallsDesc = desc("counter_calls_total", "Calls to the quota counter.", "event")
	openDesc         = desc("ledger_open", "Reqs and calls that are open.")
	rowsDesc         = desc("ledger_rows", "Rows in memory.")
	evictionsDesc    = desc("ledger_rolled_up_total", "Rows that were rolled up into those of their plan and class.")
	abandonedDesc    = desc("ledger_abandoned_total", "Entries that were given up for want of room; their rows no longer add up.")
	alarmsDesc       = desc("ledger_alarms", "Alarms that stand: figures that must be equal and are not.")
	raisedDesc       = desc("ledger_alarms_raised_total", "Alarms that were raised.")
	durableDesc      = desc("ledger_lasting", "1 if what is booked now survives a crash of the process.")
)

// rowDescs holds the metrics of a row's events, by the journal of the event.
var rowDescs = [ledger.JournalCount]*prometheus.Desc{ledger.JournalFront: requestsDesc, ledger.JournalPlanner: decisionsDesc,
	ledger.JournalAttempts: attemptsDesc}

// Describe implements prometheus.Collector.
func (p *ledgerComponent) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{requestsDesc, decisionsDesc, attemptsDesc, unitsDesc, counterCallsDesc, openDesc, rowsDesc,
		evictionsDesc, abandonedDesc, alarmsDesc, raisedDesc, durableDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (p *ledgerComponent) Collect(ch chan<- prometheus.Metric) {
	r := p.source.Report()
	collectRows(ch, &r)
	collectTotals(ch, &r)
	gauge(ch, openDesc, float64(r.Open))
	gauge(ch, rowsDesc, float64(r.Rows))
	gauge(ch, alarmsDesc, float64(r.Alarms))
	counter(ch, evictionsDesc, float64(r.Evictions))
	counter(ch, abandonedDesc, float64(r.Abandoned))
	counter(ch, raisedDesc, float64(r.Raised))
	durable := 0.0
	if p.durable() {
		durable = 1
	}
	gauge(ch, durableDesc, durable)
}

// collectRows collects the events of each row of a plan and class. It omits events with a count of 0, except that of accepted
// requests, so that each row appears.
func collectRows(ch chan<- prometheus.Metric, r *recorder.Report) {
	for _, line := range r.Lines {
		if line.Key.Class == ledger.ClassAccount {
			continue
		}
		plan := r.Names.Plan(line.Key.Plan)
		class := r.Names.Class(line.Key.Class)
		for e := ledger.None + 1; e < ledger.EventCount; e++ {
			if journal := e.Journal(); journal <= ledger.JournalAttempts && (line.Counts.N[e] > 0 || e == ledger.FrontTaken) {
				counter(ch, rowDescs[journal], float64(line.Counts.N[e]), plan, class, e.String())
			}
		}
	}
}

// collectTotals collects the units and the calls to the shared counter, over all customers.
func collectTotals(ch chan<- prometheus.Metric, r *recorder.Report) {
	for e := ledger.None + 1; e < ledger.EventCount; e++ {
		switch e.Journal() {
		case ledger.JournalUnits:
			gauge(ch, unitsDesc, float64(r.Total.Units(e))/1e6, e.String())
		case ledger.JournalCounter:
			counter(ch, counterCallsDesc, float64(r.Total.N[e]), e.String())
		}
	}
}

func gauge(ch chan<- prometheus.Metric, d *prometheus.Desc, v float64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
}

func counter(ch chan<- prometheus.Metric, d *prometheus.Desc, v float64, labels ...string) {
	ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, v, labels...)
}
