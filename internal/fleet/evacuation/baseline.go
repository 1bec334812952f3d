package evacuation

// baseline is the usual latency of a path, an exponentially weighted moving average (EWMA).
type baseline struct {
	mean        float64 // seconds
	answerCount uint64  // that the mean is made of, about up to baselineWarmup
}

// ready tells whether the baseline has enough answers to judge a zone by latency.
func (b *baseline) ready() bool { return b != nil && b.answerCount >= baselineWarmup }

// isSlow tells whether the mean latency of what a gateway saw is above factor times the baseline of its path.
func (d *Detector) isSlow(evidence sample, p path, factor float64) bool {
	b := d.baselines[p]
	return evidence.answered > 0 && b.ready() && evidence.latencySum/float64(evidence.answered) > factor*b.mean
}

// updateBaselines adds the last baselineSpan to the baselines of the paths in service. A path with a status is left out: its latency
// is that of an outage or of slow start.
func (d *Detector) updateBaselines(statuses Statuses, zones []string) {
	for from, gateways := range d.gatewaysByZone {
		for _, to := range zones {
			if _, ok := statuses.For(from, to); !ok {
				d.updatePathBaseline(path{from, to}, gateways)
			}
		}
	}
}

// updatePathBaseline adds the last baselineSpan of one path, as seen by the gateways of its zone.
func (d *Detector) updatePathBaseline(p path, gateways []string) {
	answered, latencySum := uint64(0), 0.0
	for _, gateway := range gateways {
		samples := d.samples[path{gateway, p.to}]
		for i := len(samples) - 1; i >= 0 && samples[i].startedAt >= d.now-baselineSpan; i-- {
			answered += samples[i].answered
			latencySum += samples[i].latencySum
		}
	}
	if answered < baselineMinAnswers {
		return
	}
	b := d.baselines[p]
	if b == nil {
		b = &baseline{}
		d.baselines[p] = b
	}
	b.add(latencySum/float64(answered), answered)
}

// add moves the baseline towards a mean latency in seconds. Until the warm-up ends it is the plain mean. After that it follows small
// changes quickly, and a change beyond baselineOutlier slowly, so that an outage does not become the baseline.
func (b *baseline) add(mean float64, answered uint64) {
	weight := baselineWeight
	switch {
	case b.answerCount < baselineWarmup:
		added := max(1, answered/evaluationsPerSpan)
		b.answerCount += added
		weight = float64(added) / float64(b.answerCount)
	case mean > baselineOutlier*b.mean:
		weight = baselineOutlierWeight
	}
	b.mean += weight * (mean - b.mean)
}
