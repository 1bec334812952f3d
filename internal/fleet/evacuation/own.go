package evacuation

import "time"

// SelfMonitor tells a gateway whether to send its clients away: where it is itself cut off from what it needs, and its zone is left or
// nobody can tell it otherwise. It goes by what this gateway sees alone.
type SelfMonitor struct {
	seen    []sample
	drained bool
	since   time.Duration // of the present state
	well    time.Duration // since when it could come back; 0: it can't
}

const (
	ownSpan  = 3 * time.Second
	ownLeast = 1500 * time.Millisecond // of evidence
	ownNeeds = 8                       // fetches
	ownIll   = 0.8                     // of them
	ownStay  = 5 * time.Second         // sent away, at least
	ownTurn  = 2 * time.Second         // between two gateways of a zone that come back
	ownMost  = 30 * time.Second        // sent away, before it looks whether it is well: it sees nothing without clients
)

// Observe takes what this gateway's fetches came to since it last told.
func (o *SelfMonitor) Observe(now time.Duration, good, bad uint64) {
	o.seen = append(o.seen, sample{at: now, good: good, bad: bad})
	for len(o.seen) > 0 && now-o.seen[0].at > ownSpan {
		o.seen = o.seen[1:]
	}
}

// cut tells whether all but a few of its fetches go ill, wherever they go.
func (o *SelfMonitor) cut() bool {
	good, bad, first, last := uint64(0), uint64(0), time.Duration(-1), time.Duration(0)
	for _, s := range o.seen {
		good, bad = good+s.good, bad+s.bad
		if s.bad > 0 {
			if first < 0 {
				first = s.at
			}
			last = s.at
		}
	}
	return bad >= ownNeeds && float64(bad) >= ownIll*float64(good+bad) && last-first >= ownLeast
}

// ShouldDrain tells whether clients should be sent away now. left: the fleet has left its zone's servers; fresh: its view is not
// older than its lease; turn: its place among the gateways of its zone, which come back one after the other.
//
// Danger: where all are ill by something shared, the fleet leaves nobody, and views stay fresh: then nobody drains. Without a
// quorum each may, and so none stays away for long.
func (o *SelfMonitor) ShouldDrain(now time.Duration, left, fresh bool, turn int) bool {
	if !o.drained {
		if o.cut() && (left || !fresh) {
			o.drained, o.since, o.well, o.seen = true, now, 0, nil
		}
		return o.drained
	}
	if !fresh || left {
		o.well = 0
	} else if o.well == 0 {
		o.well = now
	}
	back := o.well > 0 && now-o.well >= time.Duration(turn)*ownTurn && now-o.since >= ownStay
	if back || now-o.since >= ownMost {
		o.drained, o.since, o.seen = false, now, nil
	}
	return o.drained
}
