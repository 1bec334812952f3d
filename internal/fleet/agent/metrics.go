package agent

import (
	"github.com/prometheus/client_golang/prometheus"

	"dewhitch/internal/fleet/gossip"
)

func newDesc(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("dewhitch_fleet_"+name, help, labels, nil)
}

var (
	membersDesc        = newDesc("members", "Members as gossip has them.", "state")
	freshDesc          = newDesc("fresh", "1 if a leader with a quorum confirmed the plan within the lease.")
	generationDesc     = newDesc("epoch_founding", "The founding of the plan's epoch.")
	indexDesc          = newDesc("epoch_number", "The plan's epoch within its founding.")
	unacknowledgedDesc = newDesc("unacknowledged", "Living members that have not acknowledged the plan.")
	droppedDesc        = newDesc("passed_over_total", "Messages and reports that could not be used.")
	sentBytesDesc      = newDesc("sent_bytes_total", "Bytes sent to other members.")
	haltedDesc         = newDesc("folder_halted", "1 if the folder can't be written to.")
)

// Describe implements prometheus.Collector.
func (a *Agent) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{membersDesc, freshDesc, generationDesc, indexDesc, unacknowledgedDesc, droppedDesc, sentBytesDesc,
		haltedDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector. It collects nothing after Run has returned.
func (a *Agent) Collect(ch chan<- prometheus.Metric) {
	s, err := a.Status()
	if err != nil {
		return
	}
	gauge := func(d *prometheus.Desc, v float64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, v, labels...)
	}
	states := map[string]float64{gossip.StateAlive: 0, gossip.StateSuspect: 0, gossip.StateDead: 0, gossip.StateLeft: 0}
	for _, m := range s.Members {
		states[m.State]++
	}
	for state, n := range states {
		gauge(membersDesc, n, state)
	}
	gauge(freshDesc, boolValue(s.Quorum))
	gauge(haltedDesc, boolValue(s.Folder == folderHalted))
	gauge(generationDesc, float64(s.Epoch.Generation))
	gauge(indexDesc, float64(s.Epoch.Index))
	gauge(unacknowledgedDesc, float64(len(s.Unacknowledged)))
	ch <- prometheus.MustNewConstMetric(droppedDesc, prometheus.CounterValue, float64(s.PassedOver))
	ch <- prometheus.MustNewConstMetric(sentBytesDesc, prometheus.CounterValue, float64(a.gossip.SentBytes()))
}

func boolValue(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
