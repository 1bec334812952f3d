package standin

import (
	"encoding/json"
	"fmt"
	"time"
)

// Config is the part of a gateway's configuration that differs between runs.
type Config struct {
	Name      string
	Listen    string // listen address for clients
	Discovery string // address of the discovery agent
	Counter   string // address of the quota counter
	Admin     string // listen address for admin calls
	Seed      uint64
	Instances int // number of gateways in the fleet
	Number    int // number of this gateway, from 0
	Zones     []string
	Zone      int     // index in Zones of the gateway's own zone
	Cores     float64 // CPU limit in cores; 0 means one core
	Plans     []Plan
	Classes   []Class
}

// Plan is a plan of the settings. The names of its fields are the keys of the settings' JSON.
type Plan struct {
	Name        string
	QuotaRate   float64 // units per second that fill the quota's token bucket
	Depth       float64 // units that the quota's token bucket holds
	CapRate     float64 // units per second that fill the hard ceiling's bucket
	HardBurst   float64 // units that the hard ceiling's bucket holds
	Tolerance   float64 // units by which the hard ceiling's bucket may drop below 0
	OverrunCost float64 // fraction of its weight that a request costs when forwarded beyond the quota
	BeyondEarns float64 // fraction of its weight that a request earns when served beyond the quota
	Pays        float64 // factor by which the class's weight is multiplied
	Open        int     // limit of attempts in flight; 0 for no limit
}

// Class is a request class of the settings. The names of its fields are the keys of the settings' JSON; durations are in ns.
type Class struct {
	Name        string
	Effect      string        // safe, keyed or unsafe
	Group       string        // scope of deduplication
	Aim         time.Duration // latency objective
	Deadline    time.Duration // total time that a client waits for an answer
	DedupWindow time.Duration // time for which keyed requests are deduplicated
	Points      float64       // priority weight of a request
}

// Settings that are the same in all runs.
const (
	SlowStartSpan    = 13 * time.Second       // duration of a server's slow start
	StartCapacity    = 0.22                   // fraction of its capacity that a server starts with
	OverloadSpan     = 3 * time.Second        // time for which a server in slow start tolerates overload
	OverloadMultiple = 3.0                    // multiple of its present capacity at which a server in slow start is overloaded
	DrainGrace       = 500 * time.Millisecond // time after which a draining server must receive no more attempts
)

// JSON returns the configuration in the form that the gateway reads.
func (c Config) JSON() (string, error) {
	type object = map[string]any
	cores := c.Cores
	if cores == 0 {
		cores = 1
	}
	settings := object{
		"NInstances": c.Instances, "MyNumber": c.Number, "Areas": c.Zones, "Az": c.Zone,
		"Kinds": []string{"std-3c"},
		"Tick":  4_000_000,
		"Caps": object{
			"ConnIdle": 15_000_000_000, "ConnectTimeout": 250_000_000, "MaxRetryAfter": 500_000_000,
			"MayCancel": true, "RetryAfter": true, "TryLimit": 6,
		},
		"Contracts":      c.Plans,
		"FamilyInfo":     object{"Counter": true, "CountLimit": 30_000_000, "UnitsTop": 4},
		"Feedback":       object{"Source": "answers", "Fields": []string{"queue", "inflight", "qps"}},
		"RequestClasses": c.Classes,
		"Rules": object{
			"AnswerSlack": 16_000_000, "Cold": int64(SlowStartSpan), "Fall": int64(OverloadSpan), "FallMultiple": OverloadMultiple,
			"StartCapacity": StartCapacity, "StopSendingWithin": int64(DrainGrace),
		},
	}
	text, err := json.Marshal(object{
		"name": c.Name, "listen": c.Listen, "discovery": c.Discovery, "counter": c.Counter, "admin": c.Admin,
		"seed":     fmt.Sprintf("%016x", c.Seed),
		"limits":   object{"cores": cores, "memory_mb": 192, "sockets": 512},
		"settings": settings,
	})
	return string(text), err
}
