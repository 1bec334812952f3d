// Package telemetry measures the processing of endpoint updates and requests in a gateway: the versions of the endpoint list
// that were read and applied with their ages, the time that messages waited for the planner, and the reasons for which requests
// ended or were retried and connections were closed. All labels are from fixed sets.
package telemetry

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/ledger"
)

const namespace = "dewhitch"

// buckets holds the bounds of the histograms of durations, in seconds. The last one is the grace period of a drain.
var buckets = []float64{0.0001, 0.0005, 0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 6}

// Stage is a stage in the processing of an update of the endpoint list.
type Stage int

// The stages of an update.
const (
	StageRead    Stage = iota // the update is read completely and decoded
	StageApplied              // the planner has applied the update, and all later decisions use it
	stageCount
)

var stageNames = [stageCount]string{"read", "applied"}

// Metrics holds the measurements of one process. It implements core.Monitor, discovery.Monitor, operator.Component and
// prometheus.Collector, and is safe for concurrent use.
type Metrics struct {
	collectors []prometheus.Collector // all metrics except the versions of the list

	waits    [core.QueueCount]prometheus.Observer // waiting times by queue, in seconds
	maxWaits [core.QueueCount]atomic.Int64        // maximum waiting times by queue since the start of the process, in nanoseconds

	versionDesc       *prometheus.Desc
	versions          [stageCount]atomic.Int64        // last version of the endpoint list at each stage
	ages              [stageCount]prometheus.Observer // ages of updates at each stage, from the first byte of the message, in seconds
	lastAges          [stageCount]atomic.Int64        // age of the last update at each stage, in nanoseconds
	maxAges           [stageCount]atomic.Int64        // maximum age at each stage since the start of the process, in nanoseconds
	listBytes         prometheus.Counter              // number of bytes of the messages read from discovery
	listInterruptions *prometheus.CounterVec          // interrupted connections for the endpoint list, by reason

	late lateness

	requestsEnded      [ledger.EventCount]prometheus.Counter // ended requests by event; nil for events outside the planner's journal
	retries            [dw.OutcomeCount]prometheus.Counter   // retries by the outcome of the previous attempt
	connectionsClosed  *prometheus.CounterVec                // closed client connections, by reason
	connectionsOwed    *prometheus.CounterVec                // client connections that ended while something was owed, by reason
	commandsRefused    *prometheus.CounterVec                // commands that were refused as their connection ended, by reason
	connectionsOverdue prometheus.Counter                    // client connections open after the deadline for closing them
}

// New returns metrics that are all zero.
func New() *Metrics {
	m := &Metrics{versionDesc: prometheus.NewDesc(namespace+"_list_version", "Version of the list of servers, by how far it has come.",
		[]string{"stage"}, nil)}
	waits := m.histogram("queue_wait_seconds", "How long messages waited for the planner.", "queue")
	for q := range m.waits {
		m.waits[q] = waits.WithLabelValues(core.Queue(q).String())
	}
	m.late = lateness{seconds: m.histogram("late_seconds", "How late parts of the process ran.", "part"), worst: map[string]time.Duration{}}
	ages := m.histogram("list_age_seconds", "Age of a message of discovery's, from its first byte.", "stage")
	for s := range m.ages {
		m.ages[s] = ages.WithLabelValues(stageNames[s])
	}
	m.listBytes = m.counter("list_bytes_total", "Bytes of messages of discovery's that were read.").WithLabelValues()
	m.listInterruptions = m.counter("list_breaks_total", "Ends of the list's connection, by reason.", "reason")
	answers := m.counter("answers_total", "Requests that the planner ended, by reason.", "reason")
	for e := range m.requestsEnded {
		if ledger.Event(e).Journal() == ledger.JournalPlanner {
			m.requestsEnded[e] = answers.WithLabelValues(ledger.Event(e).String())
		}
	}
	retries := m.counter("retries_total", "Attempts after a first one, by the end of the one before.", "after")
	for o := range m.retries {
		m.retries[o] = retries.WithLabelValues(dw.Outcome(o).String())
	}
	m.connectionsClosed = m.counter("connections_closed_total", "Client connections that ended, by reason.", "reason")
	m.connectionsOwed = m.counter("connections_ended_owed_total",
		"Client connections that the gateway ended within a command or before all answers were delivered, by reason.", "reason")
	m.commandsRefused = m.counter("commands_refused_total",
		"Commands that were refused because the gateway ended their connection, by reason.", "reason")
	m.connectionsOverdue = m.counter("connections_overdue_total", "Client connections held past the time of a drain or an ending.").WithLabelValues()
	return m
}

// histogram adds a histogram of durations in seconds with one label.
func (m *Metrics) histogram(name, help, label string) *prometheus.HistogramVec {
	v := prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets},
		[]string{label})
	m.collectors = append(m.collectors, v)
	return v
}

// counter adds a counter with the given labels.
func (m *Metrics) counter(name, help string, labels ...string) *prometheus.CounterVec {
	v := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
	m.collectors = append(m.collectors, v)
	return v
}

// Waited implements core.Monitor.
func (m *Metrics) Waited(q core.Queue, d time.Duration) {
	m.waits[q].Observe(d.Seconds())
	m.recordWorst(q.String(), d)
	storeMax(&m.maxWaits[q], int64(d))
}

// ListRead implements discovery.Monitor.
func (m *Metrics) ListRead(version int64, bytes int, age time.Duration) {
	m.listBytes.Add(float64(bytes))
	m.observeStage(StageRead, version, age)
}

// ListApplied implements core.Monitor.
func (m *Metrics) ListApplied(version int64, age time.Duration) {
	m.observeStage(StageApplied, version, age)
}

// observeStage records that a version of the list reached a stage.
func (m *Metrics) observeStage(s Stage, version int64, age time.Duration) {
	m.versions[s].Store(version)
	m.lastAges[s].Store(int64(age))
	m.ages[s].Observe(age.Seconds())
	storeMax(&m.maxAges[s], int64(age))
}

// ListInterrupted implements discovery.Monitor.
func (m *Metrics) ListInterrupted(reason string) { m.listInterruptions.WithLabelValues(reason).Inc() }

// Answered implements core.Monitor.
func (m *Metrics) Answered(reason ledger.Event) {
	if c := m.requestsEnded[reason]; c != nil {
		c.Inc()
	}
}

// Retried implements core.Monitor.
func (m *Metrics) Retried(after dw.Outcome) { m.retries[after].Inc() }

// ConnectionClosed counts a client connection that was closed. The reason is one of a fixed set.
func (m *Metrics) ConnectionClosed(reason string) { m.connectionsClosed.WithLabelValues(reason).Inc() }

// ConnectionEndedOwed counts a client connection that the gateway ended within a command, or before the client's system had received
// all answers. The reason is one of a fixed set.
func (m *Metrics) ConnectionEndedOwed(reason string) {
	m.connectionsOwed.WithLabelValues(reason).Inc()
}

// CommandsRefused counts n commands that were refused because the gateway ended their connection. The reason is one of a fixed set.
func (m *Metrics) CommandsRefused(reason string, n int) {
	m.commandsRefused.WithLabelValues(reason).Add(float64(n))
}

// ConnectionsOverdue counts n client connections that are open after the deadline for closing them, in a drain or a shutdown.
func (m *Metrics) ConnectionsOverdue(n int) { m.connectionsOverdue.Add(float64(n)) }

// storeMax sets v to n if n is greater than its value.
func storeMax(v *atomic.Int64, n int64) {
	for {
		old := v.Load()
		if n <= old || v.CompareAndSwap(old, n) {
			return
		}
	}
}

// AppendFields appends the current figures as fields of a JSON object, each with a comma before it. Times are in milliseconds.
func (m *Metrics) AppendFields(b []byte) []byte {
	field := func(name string, n int64) {
		b = append(strconv.AppendQuote(append(b, ','), name), ':')
		b = strconv.AppendInt(b, n, 10)
	}
	for s, name := range stageNames {
		field("list_version_"+name, m.versions[s].Load())
		field("list_age_"+name+"_ms", time.Duration(m.lastAges[s].Load()).Milliseconds())
		field("list_age_"+name+"_max_ms", time.Duration(m.maxAges[s].Load()).Milliseconds())
	}
	for q := range core.QueueCount {
		field("wait_"+q.String()+"_max_ms", time.Duration(m.maxWaits[q].Load()).Milliseconds())
	}
	return b
}

// Pages implements operator.Component. It adds no pages.
func (m *Metrics) Pages(*http.ServeMux) {}

// Describe implements prometheus.Collector.
func (m *Metrics) Describe(ch chan<- *prometheus.Desc) {
	ch <- m.versionDesc
	for _, c := range m.collectors {
		c.Describe(ch)
	}
}

// Collect implements prometheus.Collector.
func (m *Metrics) Collect(ch chan<- prometheus.Metric) {
	for s, name := range stageNames {
		ch <- prometheus.MustNewConstMetric(m.versionDesc, prometheus.GaugeValue, float64(m.versions[s].Load()), name)
	}
	for _, c := range m.collectors {
		c.Collect(ch)
	}
}
