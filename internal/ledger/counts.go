package ledger

// Counts are the figures of a row.
type Counts struct {
	N [EventCount]uint64
	U [unitSums]int64 // in millionths
}

// Units are those that came with an event.
func (c *Counts) Units(e Event) int64 {
	if u := eventKinds[e].unitsIndex; u >= 0 {
		return c.U[u]
	}
	return 0
}

// Record adds one posting.
func (c *Counts) Record(e Event, units int64) {
	c.N[e]++
	if u := eventKinds[e].unitsIndex; u >= 0 {
		c.U[u] += units
	}
}

// Add adds other figures to these.
func (c *Counts) Add(o *Counts) {
	for e, n := range o.N {
		c.N[e] += n
	}
	for u, v := range o.U {
		c.U[u] += v
	}
}

// Minus is what these figures are beyond earlier ones.
func (c *Counts) Minus(o *Counts) (d Counts) {
	for e, n := range c.N {
		d.N[e] = n - o.N[e]
	}
	for u, v := range c.U {
		d.U[u] = v - o.U[u]
	}
	return d
}

// Set gives one figure a value, for readers of files.
func (c *Counts) Set(e Event, n uint64, units int64) {
	c.N[e] = n
	if u := eventKinds[e].unitsIndex; u >= 0 {
		c.U[u] = units
	}
}

// IsZero says that nothing was ever counted.
func (c *Counts) IsZero() bool { return *c == Counts{} }

// Rejected adds up the planner's refusals.
func (c *Counts) Rejected() (n uint64) {
	for e := PlanRejectedQuota; e <= PlanRejectedInvalid; e++ {
		n += c.N[e]
	}
	return n
}

// Failed adds up the planner's failures.
func (c *Counts) Failed() uint64 {
	return c.N[PlanFailedExhausted] + c.N[PlanFailedDuplicateID] + c.N[PlanFailedCounterUnread]
}

// AttemptsEnded adds up the attempts that have ended, in whatever way.
func (c *Counts) AttemptsEnded() (n uint64) {
	for e := AttemptOK; e <= AttemptCutoff; e++ {
		n += c.N[e]
	}
	return n
}

// Ended adds up how requests ended by the front's book, whatever became of them.
func (c *Counts) Ended() uint64 {
	return c.N[FrontServed] + c.N[FrontRejected] + c.FrontFailures()
}

// FrontFailures adds up what ended as neither served nor refused by the front's book.
func (c *Counts) FrontFailures() uint64 {
	return c.N[FrontFailed] + c.N[FrontClientDeparted] + c.N[FrontWriteFailed] + c.N[FrontNotSubmitted] + c.N[FrontCutoff]
}

// Pending is what the tally of an account must hold, by the units' book.
func (c *Counts) Pending() int64 {
	return c.Units(UnitsDrawn) - c.Units(UnitsPushed) + c.Units(UnitsReturned) - c.Units(UnitsForgotten) -
		c.Units(UnitsCutoff)
}
