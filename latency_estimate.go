package dewhitch

import "math"

const (
	serverLatencyWeight  = 0.1    // least weight of a sample in a server's latency
	meanLatencyWeight    = 0.025  // and in the mean over all servers
	maxSampleWeight      = 0.4    // of a sample after a time without any
	sampleMemory         = second // time constant of that rise
	classSizeWeight      = 0.025  // least weight of a sample in a class's size
	priorSizeSamples     = 16.0   // samples that the initial size of a class counts as
	importedSizeSamples  = 40.0   // samples that a size from a previous process counts as
	maxClassSize         = 4.0    // of the mean latency: more is a fault of the server
	maxSampleRatio       = 2.0    // of the mean latency: more counts as this much, as it is one server's fault
	initialLatency       = 0.15   // of the classes' mean latency objective
	idleLatencySamples   = 1000.0 // time constant, in samples, of the rise of the idle latency
	failurePenalty       = 2.0    // factor of the latency of an attempt that failed
	serverParallelism    = 2.0    // attempts that a server is assumed to run side by side
	reportWeight         = 0.8    // of a load report in a server's latency, at full sparsity
	idleRecoveryTime     = second // over which an idle server's estimate returns to the mean
	idleRecoveryInterval = 3.0    // or over so many intervals between two attempts on it, if that is longer
	maxSweptServers      = 256    // servers that one sweep looks at
)

// latencyEstimator keeps exponential moving averages of attempt latencies, in seconds. It owns the servers'
// latency and measuredAt. Samples are corrected for the class's size, for the server's warmth and for the
// other attempts that this gateway had out there, so that servers can be compared.
type latencyEstimator struct {
	ctx               *stepContext
	endpoints         *endpointSet
	aperture          *aperture
	slowStart         *slowStart
	mean              float64   // over all servers
	measuredAt        Instant   // last sample
	idle              float64   // baseline: least mean of late, taken as that of servers without load
	classLatencyRatio []float64 // by class: its latency, as a multiple of the mean
	classSamples      []float64 // by class: samples in its size
	minObjective      Span      // least latency objective of all classes
	lastRecovered     int       // index of the server that the last sweep ended with
}

// newLatencyEstimator starts from the classes' latency objectives.
func newLatencyEstimator(ctx *stepContext, set *endpointSet, ap *aperture, ss *slowStart) *latencyEstimator {
	classes := ctx.settings.Classes
	l := &latencyEstimator{ctx: ctx, endpoints: set, aperture: ap, slowStart: ss}
	l.minObjective = classes[0].Objective
	for _, c := range classes {
		l.classLatencyRatio = append(l.classLatencyRatio, 1)
		l.classSamples = append(l.classSamples, priorSizeSamples)
		l.minObjective = min(l.minObjective, c.Objective)
		l.mean += initialLatency * seconds(c.Objective) / float64(len(classes))
	}
	l.idle = l.mean
	return l
}

// reset starts a server's estimate at the mean.
func (l *latencyEstimator) reset(s *server) { s.latency = l.mean }

// congestion is how much longer an attempt takes beside n others from this gateway.
func congestion(n int) float64 { return (float64(n) + serverParallelism) / serverParallelism }

// observeClassSize takes the latency of an answered attempt, in seconds, into the size of its class. It is
// called before observe, which moves the mean that the size is relative to.
func (l *latencyEstimator) observeClassSize(class int, latency float64, concurrent int) {
	size := min(latency/congestion(concurrent)/l.mean, maxClassSize)
	l.classSamples[class]++
	l.classLatencyRatio[class] += max(classSizeWeight, 1/l.classSamples[class]) * (size - l.classLatencyRatio[class])
}

// failureLatency is what a failed attempt counts as, in seconds: an early error must not make its server
// look fast.
func (l *latencyEstimator) failureLatency(latency float64) float64 {
	return max(failurePenalty*latency, seconds(l.minObjective))
}

// observe takes the latency of an attempt, in seconds, and the load report that came with its answer into
// the mean and into its server's estimate.
func (l *latencyEstimator) observe(class int, a *attempt, latency float64, report Load) {
	s := a.server
	sample := latency / congestion(a.concurrent)
	l.mean += l.sampleWeight(l.measuredAt, meanLatencyWeight) * (min(sample, maxSampleRatio*l.mean) - l.mean)
	s.latency += l.sampleWeight(s.measuredAt, serverLatencyWeight) *
		(sample*l.slowStart.warmth(s)/l.classLatencyRatio[class] - s.latency)
	if report.Has&HasInflight != 0 && report.Has&HasRate != 0 {
		// Little's law, with one more request of the mean latency.
		reported := (report.Inflight + report.Queue + 1) / (report.Rate + 1/l.mean)
		s.latency += reportWeight * l.aperture.sparsity() * l.aperture.sparsity() * (reported - s.latency)
	}
	l.idle = min(l.mean, l.idle*(1+1/idleLatencySamples))
	l.measuredAt, s.measuredAt = l.ctx.now, l.ctx.now
}

// sampleWeight is the weight of a new sample: it rises with the time since the last one.
func (l *latencyEstimator) sampleWeight(last Instant, minWeight float64) float64 {
	return max(minWeight, maxSampleWeight*(1-math.Exp(-seconds(l.ctx.now-last)/seconds(sampleMemory))))
}

// expected is how long, in seconds, a new attempt of a mean class on s should take: by its latency and load,
// or as long as it has already owed an answer.
func (l *latencyEstimator) expected(s *server) float64 {
	latency := s.latency * congestion(s.inFlight)
	if s.inFlight > 0 {
		latency = max(latency, seconds(l.ctx.now-s.withoutSuccessSince))
	}
	return latency / l.slowStart.warmth(s)
}

// recoverIdle moves the estimates of idle servers towards that of servers without load, or, the less this
// gateway sees of them, towards the mean; without samples the mean decays too. Otherwise a gateway that
// rejects everything by old estimates would never measure again. It runs once a sweep, over maxSweptServers
// servers in turn.
func (l *latencyEstimator) recoverIdle() {
	part := seconds(l.ctx.sweepInterval()) / seconds(idleRecoveryTime)
	density := 1 - l.aperture.sparsity()
	if l.ctx.now-l.measuredAt > Instant(idleRecoveryTime) {
		l.mean *= 1 - part
	} else {
		part /= max(1, idleRecoveryInterval*l.aperture.attemptInterval()/seconds(idleRecoveryTime))
	}
	servers := l.endpoints.servers
	if sweeps := (len(servers) + maxSweptServers - 1) / maxSweptServers; sweeps > 1 {
		part = 1 - math.Pow(1-min(1, part), float64(sweeps)) // for all the sweeps since a server's last turn
	}
	for range min(len(servers), maxSweptServers) {
		l.lastRecovered++
		if l.lastRecovered >= len(servers) {
			l.lastRecovered = 0
		}
		if s := servers[l.lastRecovered]; s.inFlight == 0 {
			s.latency += (l.mean + density*density*(l.idle-l.mean) - s.latency) * part
		}
	}
}
