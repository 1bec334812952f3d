package evacuation

// baseline is the usual latency of a path, as an exponentially weighted moving average (EWMA).
type baseline struct {
	mean        float64 // average latency in seconds
	answerCount uint64  // number of answers in the mean, counted until the warm-up ends
}

// ready returns true if the baseline has enough answers to detect a slow zone.
func (b *baseline) ready() bool { return b != nil && b.answerCount >= baselineWarmup }

// isSlow returns true if the mean latency in a gateway's evidence is above factor times the baseline of the path p. It returns false
// until that baseline is ready.
func (d *Detector) isSlow(evidence sample, p path, factor float64) bool {
	b := d.baselines[p]
	return evidence.answered > 0 && b.ready() && evidence.latencySum/float64(evidence.answered) > factor*b.mean
}

// updateBaselines adds the samples of the last baselineSpan to the baselines of the paths in service. It skips the paths with a
// status, because an outage or slow start determines their latency.
func (d *Detector) updateBaselines(statuses Statuses, zones []string) {
	for from, gateways := range d.gatewaysByZone {
		for _, to := range zones {
			if _, ok := statuses.For(from, to); !ok {
				d.updatePathBaseline(path{from, to}, gateways)
			}
		}
	}
}

// updatePathBaseline adds the last baselineSpan of one path, from the samples of the gateways in the zone p.from. It does nothing if
// there are fewer than baselineMinAnswers answers.
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

// add moves the baseline towards a mean latency in seconds. During the warm-up the baseline is the plain mean of the answers. After
// that it follows a mean above baselineOutlier times the baseline more slowly than others, so that an outage does not become the
// baseline.
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
