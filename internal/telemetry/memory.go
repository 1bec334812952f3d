package telemetry

import (
	"net/http"

	"github.com/prometheus/client_golang/prometheus"

	"dewhitch/internal/memory"
)

// The metrics of the account of memory. All but the last two are in bytes.
var (
	memoryUsed     = memoryDesc("used_bytes", "Memory that is acquired, by use.")
	memoryPeak     = memoryDesc("peak_bytes", "Most memory that was acquired at a time, by use.")
	memoryCapacity = memoryDesc("capacity_bytes", "Memory that may be acquired, by use.")
	memoryWaits    = memoryDesc("waits_total", "Acquisitions that waited for memory, by use.")
	memoryShed     = memoryDesc("shed_total", "Connections closed as others waited for their memory, by use.")
)

func memoryDesc(name, help string) *prometheus.Desc {
	return prometheus.NewDesc(namespace+"_memory_"+name, help, []string{"use"}, nil)
}

// Memory publishes the account of the memory that clients and backends can make grow. It implements operator.Component.
type Memory struct{ Account *memory.Account }

// Pages implements operator.Component. It adds no pages.
func (Memory) Pages(*http.ServeMux) {}

// Describe implements prometheus.Collector.
func (Memory) Describe(ch chan<- *prometheus.Desc) {
	for _, desc := range []*prometheus.Desc{memoryUsed, memoryPeak, memoryCapacity, memoryWaits, memoryShed} {
		ch <- desc
	}
}

// Collect implements prometheus.Collector.
func (m Memory) Collect(ch chan<- prometheus.Metric) {
	for _, f := range m.Account.Figures() {
		send := func(desc *prometheus.Desc, kind prometheus.ValueType, value int64) {
			ch <- prometheus.MustNewConstMetric(desc, kind, float64(value), f.Use.String())
		}
		send(memoryUsed, prometheus.GaugeValue, f.Used)
		send(memoryPeak, prometheus.GaugeValue, f.Peak)
		send(memoryCapacity, prometheus.GaugeValue, f.Capacity)
		send(memoryWaits, prometheus.CounterValue, f.Waits)
		send(memoryShed, prometheus.CounterValue, f.Shed)
	}
}
