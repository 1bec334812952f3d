package dewhitch

const (
	demandCarryOver   = 0.7 // of the demand of earlier windows, in a new one
	lowDemandFraction = 0.5 // of the rate: below it, requests need no check with the counter
)

// demandStatistics is what all gateways together were asked for on behalf of a customer, admitted or not. It
// is kept for customers whose requests are checked with the counter first, whose totals count all that is
// asked for.
type demandStatistics struct {
	units         float64 // with those of earlier windows, discounted
	elapsed       float64 // seconds in which they were asked for, discounted in the same way
	windowElapsed float64 // seconds of the window at its last total
}

// observe adds what was asked for since the last total.
func (d *demandStatistics) observe(units, windowElapsed float64) {
	d.units += max(0, units)
	d.elapsed += max(0, windowElapsed-d.windowElapsed)
	d.windowElapsed = windowElapsed
}

// startWindow discounts the demand of the windows before.
func (d *demandStatistics) startWindow() {
	d.units *= demandCarryOver
	d.elapsed *= demandCarryOver
	d.windowElapsed = 0
}

// isLow tells whether the demand is known, over a window at least, and far below a rate in units a second.
func (d *demandStatistics) isLow(rate float64, window Span) bool {
	return d.elapsed > seconds(window) && d.units < lowDemandFraction*rate*d.elapsed
}
