package evacuation

// baseline is the usual latency of a path, an exponentially weighted moving average (EWMA).
type baseline struct {
	mean    float64 // seconds
	answers uint64  // that the mean is made of, about up to baselineWarmup
}

// ready tells whether the baseline has enough answers to judge a zone by latency.
func (b *baseline) ready() bool { return b != nil && b.answers >= baselineWarmup }

// isSlow tells whether the mean latency of what a gateway saw is above factor times the baseline of its path.
func (d *Detector) isSlow(seen sample, p path, factor float64) bool {
	b := d.baselines[p]
	return seen.answered > 0 && b.ready() && seen.latency/float64(seen.answered) > factor*b.mean
}

// updateBaselines adds the last baselineSpan to the baselines of the paths in service. A path with a status is left out: its latency
// is that of an outage or of slow start.
func (d *Detector) updateBaselines(statuses Statuses, zones []string) {
	for from, gateways := range d.byZone {
		for _, to := range zones {
			if _, ok := statuses.For(from, to); !ok {
				d.updateBaseline(path{from, to}, gateways)
			}
		}
	}
}

// updateBaseline adds the last baselineSpan of one path, as seen by the gateways of its zone.
func (d *Detector) updateBaseline(p path, gateways []string) {
	answered, latency := uint64(0), 0.0
	for _, gateway := range gateways {
		list := d.samples[path{gateway, p.to}]
		for i := len(list) - 1; i >= 0 && list[i].at >= d.now-baselineSpan; i-- {
			answered += list[i].answered
			latency += list[i].latency
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
	b.add(latency/float64(answered), answered)
}

// add moves the baseline towards a mean latency in seconds. Until the warm-up ends it is the plain mean. After that it follows small
// changes quickly, and a change beyond baselineOutlier slowly, so that an outage does not become the baseline.
func (b *baseline) add(mean float64, answers uint64) {
	weight := baselineWeight
	switch {
	case b.answers < baselineWarmup:
		added := max(1, answers/evaluationsPerSpan)
		b.answers += added
		weight = float64(added) / float64(b.answers)
	case mean > baselineOutlier*b.mean:
		weight = baselineOutlierWeight
	}
	b.mean += weight * (mean - b.mean)
}
