package dewhitch

import "math"

const (
	rateMemoryWindows  = 2.0   // time constants of the rates of use in a window
	freeRateFraction   = 0.125 // of the rate, over all gateways: least use assumed of quiet ones
	unseenSigmas       = 0.25  // unseen use of others is reserved up to so many standard deviations
	staleTotalFraction = 0.5   // of a window: an older total no longer tells of the others
)

// sharedBucket is the token bucket of a customer's quota as this gateway knows it: all gateways draw on it,
// each sees the others' use only by the shared counter's totals, and predicts it in between.
type sharedBucket struct {
	rate        float64 // units a second
	burst       float64 // units
	gateways    float64 // that serve the customer
	window      Span    // of the shared counter
	level       float64 // units: own use counted at once, that of others as predicted
	updatedAt   Instant // of the level
	predicted   float64 // units of others' use taken off the level since the last total
	ownRate     float64 // units a second that this gateway uses: exponential moving average
	othersRate  float64 // and all others together
	lastTotalAt Instant
}

// rateMemory is the time constant, in seconds, of the rates of use.
func (b *sharedBucket) rateMemory() float64 { return seconds(b.window) / rateMemoryWindows }

// evenOthersRate is the use of the others, in units a second, if all gateways use the same.
func (b *sharedBucket) evenOthersRate() float64 { return b.rate * (1 - 1/b.gateways) }

// assumedOthersRate is what the other gateways are assumed to use, in units a second: their even part at
// least where the last total is stale.
func (b *sharedBucket) assumedOthersRate(now Instant) float64 {
	even := b.evenOthersRate()
	if seconds(now-b.lastTotalAt) > staleTotalFraction*seconds(b.window) {
		return max(b.othersRate, even)
	}
	return b.othersRate
}

// advance brings the bucket to the present: it fills at the rate, less what others are assumed to use. An
// empty bucket gives nothing to anybody.
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

// available is how many units this gateway may admit: its part of the level by recent use, or, if that is
// more, all but what others may have used unseen. Use is unseen for the age of the total and a call's
// time-out, and varies by requests of half maxUnits.
func (b *sharedBucket) available(now Instant, counterTimeout Span, maxUnits float64) float64 {
	b.advance(now)
	othersRate := b.assumedOthersRate(now)
	free := freeRateFraction * b.rate / b.gateways
	part := (b.ownRate + free) / (b.ownRate + othersRate + b.gateways*free)
	timeout := seconds(counterTimeout)
	unseenUse := othersRate * (seconds(now-b.lastTotalAt) + timeout)
	reserve := othersRate*timeout + unseenSigmas*math.Sqrt(unseenUse*max(1, maxUnits/2))
	return max(part*b.level, b.level-reserve)
}

// spend takes units off the bucket; below 0 they are given back.
func (b *sharedBucket) spend(now Instant, units float64) {
	b.advance(now)
	b.level = min(b.burst, b.level-units)
	b.ownRate = max(0, b.ownRate+units/b.rateMemory())
}

// applyTotal replaces the predicted use of the others since the last total by what a total shows. The bucket
// must have been advanced to now. Tick is the least time between two totals.
func (b *sharedBucket) applyTotal(now Instant, othersUse float64, tick Span) {
	elapsed := max(seconds(now-b.lastTotalAt), seconds(tick))
	b.level = min(b.burst, max(min(b.level, 0), b.level-(othersUse-b.predicted)))
	b.othersRate += (max(0, othersUse)/elapsed - b.othersRate) * (1 - math.Exp(-elapsed/b.rateMemory()))
	b.predicted = 0
	b.lastTotalAt = now
}
