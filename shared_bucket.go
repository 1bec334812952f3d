package dewhitch

import "math"

const (
	rateMemoryWindows  = 2.0   // number of time constants of the usage rates in a window
	freeRateFraction   = 0.125 // fraction of the rate that is added to all gateways' use to compute shares
	unseenSigmas       = 0.25  // standard deviations of unseen use by others that are reserved
	staleTotalFraction = 0.5   // age, as a fraction of a window, above which the last total is stale
)

// sharedBucket is the token bucket of a customer's quota as this gateway knows it. All gateways draw on it;
// each sees the others' use only in the shared counter's totals, and predicts it in between.
type sharedBucket struct {
	rate        float64 // units per second
	burst       float64 // capacity in units
	gateways    float64 // number of gateways that serve the customer
	window      Span    // length of a window of the shared counter
	level       float64 // units left; the use by others since the last total is predicted
	updatedAt   Instant // time of the level
	predicted   float64 // units of others' use deducted from the level since the last total
	ownRate     float64 // units per second used by this gateway: exponential moving average
	othersRate  float64 // units per second used by all other gateways together
	lastTotalAt Instant // time of the last total
}

// rateMemory returns the time constant, in seconds, of the usage rates.
func (b *sharedBucket) rateMemory() float64 { return seconds(b.window) / rateMemoryWindows }

// evenOthersRate returns the others' usage, in units per second, if all gateways use the same.
func (b *sharedBucket) evenOthersRate() float64 { return b.rate * (1 - 1/b.gateways) }

// assumedOthersRate returns the usage assumed of the other gateways, in units per second. If the last total
// is stale, it is at least their equal share.
func (b *sharedBucket) assumedOthersRate(now Instant) float64 {
	even := b.evenOthersRate()
	if seconds(now-b.lastTotalAt) > staleTotalFraction*seconds(b.window) {
		return max(b.othersRate, even)
	}
	return b.othersRate
}

// advance brings the level up to date: the bucket fills at its rate, less the assumed use of others. An empty
// bucket gives no units to any gateway.
func (b *sharedBucket) advance(now Instant) {
	elapsed := seconds(now - b.updatedAt)
	othersRate := b.assumedOthersRate(now)
	gain := b.rate * elapsed
	loss := min(othersRate*elapsed, max(0, b.level)+gain)
	b.level = min(b.burst, b.level+gain-loss)
	b.predicted += loss
	b.ownRate *= math.Exp(-elapsed / b.rateMemory())
	b.updatedAt = now
}

// available returns how many units this gateway may admit: its share of the level according to recent use or,
// if that is more, the level less a reserve for use by others that the level does not include. The reserve is
// their use during one call timeout, plus unseenSigmas standard deviations of their use since the last total
// and during one call timeout, if random requests of half maxUnits cause it.
func (b *sharedBucket) available(now Instant, counterTimeout Span, maxUnits float64) float64 {
	b.advance(now)
	othersRate := b.assumedOthersRate(now)
	free := freeRateFraction * b.rate / b.gateways
	share := (b.ownRate + free) / (b.ownRate + othersRate + b.gateways*free)
	timeout := seconds(counterTimeout)
	unseenUse := othersRate * (seconds(now-b.lastTotalAt) + timeout)
	reserve := othersRate*timeout + unseenSigmas*math.Sqrt(unseenUse*max(1, maxUnits/2))
	return max(share*b.level, b.level-reserve)
}

// spend takes units off the bucket; negative units are returned to it.
func (b *sharedBucket) spend(now Instant, units float64) {
	b.advance(now)
	b.level = min(b.burst, b.level-units)
	b.ownRate = max(0, b.ownRate+units/b.rateMemory())
}

// applyTotal replaces the predicted use of others since the last total with the use that a new total shows.
// The bucket must have been advanced to now. Tick is the minimum time between two totals.
func (b *sharedBucket) applyTotal(now Instant, othersUse float64, tick Span) {
	elapsed := max(seconds(now-b.lastTotalAt), seconds(tick))
	b.level = min(b.burst, max(min(b.level, 0), b.level-(othersUse-b.predicted)))
	b.othersRate += (max(0, othersUse)/elapsed - b.othersRate) * (1 - math.Exp(-elapsed/b.rateMemory()))
	b.predicted = 0
	b.lastTotalAt = now
}
