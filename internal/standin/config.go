package standin

import (
	"encoding/json"
	"fmt"
	"time"
)

// Config is what a gateway of a run is told, as far as runs differ in it.
type Config struct {
	Name, Listen, Discovery, Counter, Admin string
	Seed                                    uint64
	Instances, Number                       int
	Zones                                   []string // their full names
	Zone                                    int      // the gateway's own
	Cores                                   float64  // 0: one
	Plans                                   []Plan
	Classes                                 []Class
}

// Plan is a plan of the settings, in their words.
type Plan struct {
	Name                                                                            string
	QuotaRate, Depth, CapRate, HardBurst, Tolerance, OverrunCost, BeyondEarns, Pays float64
	Open                                                                            int
}

// Class is a class of the settings, in their words.
type Class struct {
	Name, Effect, Group        string
	Aim, Deadline, DedupWindow time.Duration
	Points                     float64
}

// The rules that runs play by.
const (
	ColdSpan      = 13 * time.Second
	StartCapacity = 0.22
	FallSpan      = 3 * time.Second
	FallMultiple  = 3.0
	DrainGrace    = 500 * time.Millisecond
)

// JSON is the configuration as the program reads it.
func (c Config) JSON() (string, error) {
	type object = map[string]any
	cores := c.Cores
	if cores == 0 {
		cores = 1
	}
	text, err := json.Marshal(object{"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "counter": c.Counter,
		"admin": c.Admin, "seed": fmt.Sprintf("%016x", c.Seed),
		"limits": object{"cores": cores, "memory_mb": 192, "sockets": 512},
		"settings": object{"NInstances": c.Instances, "MyNumber": c.Number, "Areas": c.Zones, "Az": c.Zone,
			"Kinds": []string{"std-3c"}, "Tick": 4_000_000,
			"Caps": object{"ConnIdle": 15_000_000_000, "ConnectTimeout": 250_000_000, "MaxRetryAfter": 500_000_000, "MayCancel": true,
				"RetryAfter": true, "TryLimit": 6},
			"Contracts":      c.Plans,
			"FamilyInfo":     object{"Counter": true, "CountLimit": 30_000_000, "UnitsTop": 4},
			"Feedback":       object{"Source": "answers", "Fields": []string{"queue", "inflight", "qps"}},
			"RequestClasses": c.Classes,
			"Rules": object{"AnswerSlack": 16_000_000, "Cold": int64(ColdSpan), "Fall": int64(FallSpan),
				"FallMultiple": FallMultiple, "StartCapacity": StartCapacity, "StopSendingWithin": int64(DrainGrace)}}})
	return string(text), err
}
