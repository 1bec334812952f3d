package evacuation

import "time"

// Config has the settings of a Detector.
type Config struct {
	Windows       []time.Duration // lengths of the evidence windows, shortest first; a zone is unhealthy if one window shows it
	MaxEvacuated  int             // limit on zones evacuated at the same time; 0: a third of all zones, and at least one if there are several
	ProbeDelay    time.Duration   // time from an evacuation to the first probe
	MaxProbeDelay time.Duration   // upper limit of the backoff after failed probes and returns
	RecoveryTime  time.Duration   // length of the recovery ramp, the slow start of the servers of a returning zone
	ProbeTimeout  time.Duration   // time after which a probe without enough evidence moves to another gateway
}

// Defaults holds the settings that gateways use.
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

// Thresholds and intervals of the detection.
const (
	bucketSpan         = 200 * time.Millisecond // length of the time bucket of one sample
	gatewayExpiry      = 30 * time.Second       // time without a report after which a gateway is removed
	minFailed          = 4                      // lowest number of failed attempts that makes a zone unhealthy
	unhealthyRatio     = 0.5                    // lowest fraction of failed attempts that makes a zone unhealthy
	pathUnhealthyRatio = 0.8                    // lowest fraction of failed attempts that shows a cut path, on which all attempts fail
	quorumRatio        = 0.7                    // lowest fraction of gateways that must see a zone unhealthy, of those with evidence on it
	quorumMin          = 2                      // lowest number of gateways that must see a zone unhealthy, unless there is only one gateway
	slowFactor         = 3.5                    // multiple of the baseline above which a gateway's attempts count as failed
	neverSlow          = 1e9                    // factor that no latency reaches, for evidence in which latency must not count
	minSlowFailed      = 10                     // lowest number of slow or failed attempts that makes a zone unhealthy by latency
	lateAnswerDelay    = 800 * time.Millisecond // age from which a failed attempt to a zone with servers in slow start counts
	sharedSlownessHold = 6 * time.Second        // time without evacuations by latency after zones were slow together
)

// Thresholds for the health and capacity of the zones that take over the load of an evacuated zone.
const (
	othersFailedRatio = 0.25 // highest fraction of failed attempts at which the other zones count as healthy
	othersSlowFactor  = 1.8  // multiple of the baseline above which attempts to the other zones count as failed
	minRejected       = 5    // lowest number of rejected attempts, in the longest window, that shows saturation
	rejectedRatio     = 0.05 // lowest fraction of rejected attempts, among those served or rejected, that shows saturation
)

// Thresholds of a probe.
const (
	probeMinServed       = 3                      // served attempts that a successful probe needs
	probeServedPerFailed = 4                      // served attempts that a successful probe needs for each failed one
	probeMaxFailed       = 1                      // failed attempts that a probe tolerates; one more fails it
	restartProbeDelay    = 300 * time.Millisecond // time from an evacuation to a probe of restarted servers, in place of the backoff
)

// Parameters of the latency baseline.
const (
	baselineSpan          = time.Second         // period whose answers update the baseline
	baselineMinAnswers    = 5                   // lowest number of answers in baselineSpan that updates the baseline
	baselineWarmup        = 100                 // number of answers after which latency can make a zone unhealthy
	baselineWeight        = 0.02                // weight of the mean of baselineSpan in each evaluation
	baselineOutlier       = 1.5                 // multiple of the baseline above which a mean has the outlier weight
	baselineOutlierWeight = baselineWeight / 20 // weight of a mean above baselineOutlier times the baseline
	evaluationsPerSpan    = 5                   // number of evaluations that count the same answer
)
