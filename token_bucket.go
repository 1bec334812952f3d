package dewhitch

// bucket fills at a rate, up to a bound.
type bucket struct {
	level float64
	at    Instant
}

func (b *bucket) fill(now Instant, rate, most float64) {
	b.level = min(most, b.level+rate*seconds(now-b.at))
	b.at = now
}
