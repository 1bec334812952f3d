package dewhitch

const (
	demandCarryOver   = 0.7 // fraction of earlier windows' demand that a new window keeps
	lowDemandFraction = 0.5 // fraction of the rate below which requests need no check with the counter
)

// demandStatistics holds the demand of a customer at all gateways together, admitted or not. It is maintained
// for customers whose requests are checked with the counter first, because their totals count the whole
// demand.
type demandStatistics struct {
	units         float64 // requested units, with those of earlier windows discounted
	elapsed       float64 // seconds in which the units were requested, discounted in the same way
	windowElapsed float64 // seconds of the window that had passed at its last total
}

// observe adds the units requested since the last total.
func (d *demandStatistics) observe(units, windowElapsed float64) {
	d.units += max(0, units)
	d.elapsed += max(0, windowElapsed-d.windowElapsed)
	d.windowElapsed = windowElapsed
}

// startWindow discounts the demand of earlier windows.
func (d *demandStatistics) startWindow() {
	d.units *= demandCarryOver
	d.elapsed *= demandCarryOver
	d.windowElapsed = 0
}

// isLow returns true if the demand is known for more than a window and far below rate, in units per second.
func (d *demandStatistics) isLow(rate float64, window Span) bool {
	return d.elapsed > seconds(window) && d.units < lowDemandFraction*rate*d.elapsed
}
