package dewhitch

import "math"

const (
	serverLatencyWeight    = 0.1    // smallest weight of a sample in a server's latency
	meanLatencyWeight      = 0.025  // smallest weight of a sample in the mean over all servers
	maxSampleWeight        = 0.4    // weight of a sample after a long time without samples
	sampleWeightRiseTime   = second // time constant with which the weight of the next sample rises
	classRatioWeight       = 0.025  // smallest weight of a sample in a class's latency ratio
	initialRatioSamples    = 16.0   // samples that the initial latency ratio of a class counts as
	importedRatioSamples   = 40.0   // samples that a latency ratio from a previous process counts as
	maxClassLatencyRatio   = 4.0    // largest sample of a class's latency ratio; more is a fault of the server
	maxSampleRatio         = 2.0    // cap on samples of the mean, as a multiple of it; more is a server's fault
	initialLatency         = 0.15   // initial mean latency, as a fraction of the classes' mean latency objective
	idleLatencyRiseSamples = 1000.0 // time constant, in samples, with which the idle latency rises
	failurePenalty         = 2.0    // factor on the latency of a failed attempt
	serverParallelism      = 2.0    // attempts that a server is assumed to run in parallel
	reportWeight           = 0.8    // weight of a load report in a server's latency at full sparsity
	idleRecoveryTime       = second // time in which an idle server's estimate recovers
	idleRecoveryInterval   = 3.0    // least idle recovery time, in intervals between attempts on a server
	maxSweptServers        = 256    // number of servers that one sweep updates
)

// latencyEstimator keeps exponential moving averages of attempt latencies, in seconds. It owns the servers'
// latency and measuredAt. Samples are corrected for the latency ratio of the class, for the warmth of the
// server and for the other attempts that this gateway had in flight there, so that servers can be compared.
type latencyEstimator struct {
	ctx                *stepContext
	endpoints          *endpointSet
	aperture           *aperture
	slowStart          *slowStart
	mean               float64   // mean latency over all servers
	measuredAt         Instant   // time of the last sample
	idle               float64   // latency of servers without load: the lowest recent mean
	classLatencyRatio  []float64 // by class: its latency as a multiple of the mean
	classSamples       []float64 // by class: number of samples in its latency ratio
	minObjective       Span      // shortest latency objective of all classes
	lastRecoveredIndex int       // index of the server that recoverIdle visited last
}

// newLatencyEstimator derives the initial estimates from the latency objectives of the classes.
func newLatencyEstimator(ctx *stepContext, endpoints *endpointSet, aperture *aperture,
	slowStart *slowStart) *latencyEstimator {
	classes := ctx.settings.Classes
	l := &latencyEstimator{ctx: ctx, endpoints: endpoints, aperture: aperture, slowStart: slowStart}
	l.minObjective = classes[0].Objective
	for _, c := range classes {
		l.classLatencyRatio = append(l.classLatencyRatio, 1)
		l.classSamples = append(l.classSamples, initialRatioSamples)
		l.minObjective = min(l.minObjective, c.Objective)
		l.mean += initialLatency * seconds(c.Objective) / float64(len(classes))
	}
	l.idle = l.mean
	return l
}

// reset sets a server's latency to the mean over all servers.
func (l *latencyEstimator) reset(s *server) { s.latency = l.mean }

// congestion returns the factor by which n other attempts of this gateway on a server slow down an attempt.
func congestion(n int) float64 { return (float64(n) + serverParallelism) / serverParallelism }

// observeClassLatency adds the latency of an answered attempt, in seconds, to the latency ratio of its class.
// It must be called before observe, which changes the mean that the ratio is relative to.
func (l *latencyEstimator) observeClassLatency(class int, latency float64, concurrent int) {
	ratio := min(latency/congestion(concurrent)/l.mean, maxClassLatencyRatio)
	l.classSamples[class]++
	l.classLatencyRatio[class] += max(classRatioWeight, 1/l.classSamples[class]) *
		(ratio - l.classLatencyRatio[class])
}

// failureLatency returns the latency in seconds with which a failed attempt is recorded, given its actual
// latency. It is raised, because an early error must not make its server look fast, but an attempt that had
// little time does not show that its server needs more.
func (l *latencyEstimator) failureLatency(a *attempt, latency float64) float64 {
	return max(failurePenalty*latency, min(seconds(l.minObjective), seconds(a.endsBy-a.startedAt)))
}

// observe adds the latency of an attempt, in seconds, and the load report in its answer to the mean and to
// the estimate of its server.
func (l *latencyEstimator) observe(class int, a *attempt, latency float64, report Load) {
	s := a.server
	sample := latency / congestion(a.concurrent)
	l.mean += l.sampleWeight(l.measuredAt, meanLatencyWeight) * (min(sample, maxSampleRatio*l.mean) - l.mean)
	s.latency += l.sampleWeight(s.measuredAt, serverLatencyWeight) *
		(sample*l.slowStart.warmth(s)/l.classLatencyRatio[class] - s.latency)
	if report.Has&HasInflight != 0 && report.Has&HasRate != 0 {
		// Little's law, with one additional request of the mean latency.
		reportedLatency := (report.Inflight + report.Queue + 1) / (report.Rate + 1/l.mean)
		s.latency += reportWeight * l.aperture.sparsity() * l.aperture.sparsity() * (reportedLatency - s.latency)
	}
	l.idle = min(l.mean, l.idle*(1+1/idleLatencyRiseSamples))
	l.measuredAt, s.measuredAt = l.ctx.now, l.ctx.now
}

// sampleWeight returns the weight of a new sample, which rises with the time since the last one.
func (l *latencyEstimator) sampleWeight(last Instant, minWeight float64) float64 {
	return max(minWeight, maxSampleWeight*(1-math.Exp(-seconds(l.ctx.now-last)/seconds(sampleWeightRiseTime))))
}

// expected returns the expected latency, in seconds, of a new attempt on s for a class of latency ratio 1. It
// is based on the latency and load of s, or on the time that s has been without success while attempts are
// in flight, if that is longer.
func (l *latencyEstimator) expected(s *server) float64 {
	latency := s.latency * congestion(s.awaited())
	if s.awaited() > 0 {
		latency = max(latency, seconds(l.ctx.now-s.withoutSuccessSince))
	}
	return latency / l.slowStart.warmth(s)
}

// recoverIdle moves the estimates of idle servers towards the latency of servers without load or, the more
// rarely this gateway sends to them, towards the mean. Without new samples the mean decays too. Otherwise a
// gateway that rejects every request because of old estimates would never measure again. It runs once a
// sweep and updates maxSweptServers servers in rotation.
func (l *latencyEstimator) recoverIdle() {
	fraction := seconds(l.ctx.sweepInterval()) / seconds(idleRecoveryTime)
	density := 1 - l.aperture.sparsity()
	if l.ctx.now-l.measuredAt > Instant(idleRecoveryTime) {
		l.mean *= 1 - fraction
	} else {
		fraction /= max(1, idleRecoveryInterval*l.aperture.attemptInterval()/seconds(idleRecoveryTime))
	}
	servers := l.endpoints.servers
	if sweeps := (len(servers) + maxSweptServers - 1) / maxSweptServers; sweeps > 1 {
		// The fraction covers all sweeps since the server's last update.
		fraction = 1 - math.Pow(1-min(1, fraction), float64(sweeps))
	}
	for range min(len(servers), maxSweptServers) {
		l.lastRecoveredIndex++
		if l.lastRecoveredIndex >= len(servers) {
			l.lastRecoveredIndex = 0
		}
		if s := servers[l.lastRecoveredIndex]; s.inFlight == 0 {
			s.latency += (l.mean + density*density*(l.idle-l.mean) - s.latency) * fraction
		}
	}
}
