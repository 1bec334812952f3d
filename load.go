package dewhitch

// LoadFields is a set of values that a load report can contain.
type LoadFields uint8

// The values that a load report can contain.
const (
	HasInflight LoadFields = 1 << iota
	HasQueue
	HasUtil
	HasLatency
	HasRate
	HasErrors
)

// Load is a server's report on its own load. It is late and noisy, and only the fields in Has are valid.
type Load struct {
	Has       LoadFields // fields that the report contains
	Inflight  float64    // running requests
	Queue     float64    // waiting requests
	Util      float64    // busy fraction of the processor, from 0 to 1
	LatencyMS float64    // recent service time in milliseconds
	Rate      float64    // requests per second
	Errors    float64    // errors per second
}

// loadFields maps names on the wire to the fields of a load report.
var loadFields = map[string]LoadFields{"inflight": HasInflight, "queue": HasQueue, "util": HasUtil,
	"latency_ms": HasLatency, "qps": HasRate, "eps": HasErrors}

// LoadField returns the field with a name on the wire, or 0 if there is none.
func LoadField(name string) LoadFields { return loadFields[name] }

// Set stores a value by its name on the wire. A value with an unknown name is ignored.
func (l *Load) Set(name string, v float64) {
	field := LoadField(name)
	l.Has |= field
	switch field {
	case HasInflight:
		l.Inflight = v
	case HasQueue:
		l.Queue = v
	case HasUtil:
		l.Util = v
	case HasLatency:
		l.LatencyMS = v
	case HasRate:
		l.Rate = v
	case HasErrors:
		l.Errors = v
	}
}
