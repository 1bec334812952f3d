package dewhitch

// bucket is a token bucket: it fills at a rate up to a bound. The level may be negative.
type bucket struct {
	level     float64
	updatedAt Instant // time of the level
}

// fill brings the level up to date. Rate is in tokens per second.
func (b *bucket) fill(now Instant, rate, bound float64) {
	b.level = min(bound, b.level+rate*seconds(now-b.updatedAt))
	b.updatedAt = now
}
