package dewhitch

// LoadFields is a set of the values a load report can hold.
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

// Load is a server's report on itself: late, noisy, and only the fields in Has.
type Load struct {
	Has                     LoadFields
	Inflight, Queue, Util   float64
	LatencyMS, Rate, Errors float64
}

// loadFields are the fields of a load report by the names that reports give them.
var loadFields = map[string]LoadFields{"inflight": HasInflight, "queue": HasQueue, "util": HasUtil,
	"latency_ms": HasLatency, "qps": HasRate, "eps": HasErrors}

// LoadField finds a field by its name; 0: no such field.
func LoadField(name string) LoadFields { return loadFields[name] }

// Set puts a value into the report; one with an unknown name is passed over.
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
