package evacuation

import "time"

// Config bounds the decisions of a Detector.
type Config struct {
	Windows       []time.Duration // of evidence, the shortest first; one unhealthy window is enough
	MaxEvacuated  int             // zones that may be evacuated at once; 0: a third of them, at least one where there are two
	ProbeDelay    time.Duration   // from an evacuation to the first probe
	MaxProbeDelay time.Duration   // upper bound of the backoff after failed probes and returns
	RecoveryTime  time.Duration   // of the recovery ramp of a zone that returns
	ProbeTimeout  time.Duration   // until a probe without enough evidence goes to another gateway
}

// Defaults are the values that gateways use.
var Defaults = Config{
	Windows: []time.Duration{
		300 * time.Millisecond,
		600 * time.Millisecond,
		1200 * time.Millisecond,
		2400 * time.Millisecond,
	},
	ProbeDelay:    3 * time.Second,
	MaxProbeDelay: 60 * time.Second,
	RecoveryTime:  13 * time.Second,
	ProbeTimeout:  8 * time.Second,
}

// Bounds of the detection.
const (
	bucketSpan         = 200 * time.Millisecond // of a sample
	gatewayExpiry      = 30 * time.Second       // without a report, until a gateway is forgotten
	minFailed          = 4                      // attempts to a zone that failed, before it is unhealthy
	unhealthyRatio     = 0.5                    // failed of all attempts to a zone
	pathUnhealthyRatio = 0.8                    // failed of all attempts on a path; a cut path carries nothing
	quorumRatio        = 0.7                    // gateways that see the zone unhealthy, of those that see it at all
	quorumMin          = 2                      // gateways that see the zone unhealthy, unless only one can see it
	slowFactor         = 3.5                    // of the baseline: an answer that slow counts as failed
	neverSlow          = 1e9                    // a slowFactor that no answer reaches
	minSlowFailed      = 10                     // attempts, before a zone is unhealthy by latency
	lateAnswerDelay    = 800 * time.Millisecond // until an attempt to a server in slow start counts as failed
	sharedSlownessHold = 6 * time.Second        // no evacuation by latency for so long after zones were slow together
)

// Bounds of what the other zones must be able to take.
const (
	othersFailedRatio = 0.25 // failed of all attempts to the other zones, at most
	othersSlowFactor  = 1.8  // of the baseline: an answer of the other zones that slow counts as failed
	minRejected       = 5    // requests that servers rejected in the longest window
	rejectedRatio     = 0.05 // rejected of served and rejected requests
)

// Bounds of a probe.
const (
	probeMinServed       = 3                      // attempts
	probeServedPerFailed = 4                      // served attempts for each failed one
	probeMaxFailed       = 1                      // attempts; one more ends the probe
	restartProbeDelay    = 300 * time.Millisecond // of an evacuation, before restarted servers are probed ahead of the backoff
)

// Bounds of the latency baseline.
const (
	baselineSpan          = time.Second
	baselineMinAnswers    = 5    // in baselineSpan
	baselineWarmup        = 100  // answers, before the zone may be judged by latency
	baselineWeight        = 0.02 // of the mean of baselineSpan, in each evaluation
	baselineOutlier       = 1.5  // of the baseline: a mean above it has the outlier weight
	baselineOutlierWeight = baselineWeight / 20
	evaluationsPerSpan    = 5 // each answer is in so many evaluations
)
