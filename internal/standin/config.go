package standin

import (
	"encoding/json"
	"fmt"
	"time"
)

// Config is the part of a gateway's configuration in which runs differ.
type Config struct {
	Name      string
	Listen    string // address for clients
	Discovery string // address
	Counter   string // address
	Admin     string // address
	Seed      uint64
	Instances int // gateways of the fleet
	Number    int // of this gateway, from 0
	Zones     []string
	Zone      int     // index of the gateway's own zone
	Cores     float64 // 0: one
	Plans     []Plan
	Classes   []Class
}

// Plan is a plan of the settings. The names of its fields are the keys of the settings' JSON.
type Plan struct {
	Name        string
	QuotaRate   float64 // units per second that fill the quota's token bucket
	Depth       float64 // units that the bucket holds
	CapRate     float64 // units per second that fill the hard ceiling's bucket
	HardBurst   float64 // units that it holds
	Tolerance   float64 // units by which it may drop below 0
	OverrunCost float64 // fraction of its weight that a request costs when forwarded beyond the quota
	BeyondEarns float64 // fraction of its weight that a request earns when served beyond the quota
	Pays        float64 // multiplies the class's weight
	Open        int     // attempts in flight; 0: no such quota
}

// Class is a request class of the settings. The names of its fields are the keys of the settings' JSON; durations are in ns.
type Class struct {
	Name        string
	Effect      string        // safe, keyed or unsafe
	Group       string        // the scope of the deduplication
	Aim         time.Duration // latency objective
	Deadline    time.Duration // total time that a client waits
	DedupWindow time.Duration // of keyed requests
	Points      float64       // priority weight
}

// Settings that all runs share.
const (
	SlowStartSpan    = 13 * time.Second       // slow start of a server, from its start
	StartCapacity    = 0.22                   // fraction of its capacity at its start
	OverloadSpan     = 3 * time.Second        // for which a warming server bears overload
	OverloadMultiple = 3.0                    // of its present capacity: what is overload of a warming server
	DrainGrace       = 500 * time.Millisecond // after which attempts to a draining server have to have stopped
)

// JSON returns the configuration as the program reads it.
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
