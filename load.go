package dewhitch

// LoadFields is a set of the values that a load report can hold.
type LoadFields uint8

// The values of a load report.
const (
	HasInflight LoadFields = 1 << iota
	HasQueue
	HasUtil
	HasLatency
	HasRate
	HasErrors
)

// Load is a server's report on itself. It is late and noisy, and only the fields in Has are valid.
type Load struct {
	Has       LoadFields
	Inflight  float64 // requests that run
	Queue     float64 // requests that wait
	Util      float64 // busy fraction of the processor, from 0 to 1
	LatencyMS float64 // milliseconds: recent service time
	Rate      float64 // requests a second
	Errors    float64 // errors a second
}

// loadFields are the fields of a load report by their names on the wire.
var loadFields = map[string]LoadFields{"inflight": HasInflight, "queue": HasQueue, "util": HasUtil,
	"latency_ms": HasLatency, "qps": HasRate, "eps": HasErrors}

// LoadField finds a field by its name on the wire; 0: there is no such field.
func LoadField(name string) LoadFields { return loadFields[name] }

// Set puts a value into the report by its name on the wire. A value with an unknown name is ignored.
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
