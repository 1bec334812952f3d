package ledger

// Counts holds the figures of a row.
type Counts struct {
	N [EventCount]uint64 // number of postings by event
	U [unitSums]int64    // sums of units in millionths, indexed by eventKind.unitsIndex
}

// Units returns the sum of the units of an event's postings, in millionths; 0 for an event without units.
func (c *Counts) Units(e Event) int64 {
	if u := eventKinds[e].unitsIndex; u >= 0 {
		return c.U[u]
	}
	return 0
}

// Record adds one posting of an event with its units, in millionths.
func (c *Counts) Record(e Event, units int64) {
	c.N[e]++
	if u := eventKinds[e].unitsIndex; u >= 0 {
		c.U[u] += units
	}
}

// Add adds the figures of o to c.
func (c *Counts) Add(o *Counts) {
	for e, n := range o.N {
		c.N[e] += n
	}
	for u, v := range o.U {
		c.U[u] += v
	}
}

// Minus returns the difference between c and the earlier figures o.
func (c *Counts) Minus(o *Counts) (d Counts) {
	for e, n := range c.N {
		d.N[e] = n - o.N[e]
	}
	for u, v := range c.U {
		d.U[u] = v - o.U[u]
	}
	return d
}

// Set sets the count and the units of one event, for readers of files.
func (c *Counts) Set(e Event, n uint64, units int64) {
	c.N[e] = n
	if u := eventKinds[e].unitsIndex; u >= 0 {
		c.U[u] = units
	}
}

// IsZero reports whether all figures are 0.
func (c *Counts) IsZero() bool { return *c == Counts{} }

// Rejected returns the number of requests that the planner refused.
func (c *Counts) Rejected() (n uint64) {
	for e := PlanRejectedQuota; e <= PlanRejectedInvalid; e++ {
		n += c.N[e]
	}
	return n
}

// Failed returns the number of requests that the planner failed.
func (c *Counts) Failed() uint64 {
	return c.N[PlanFailedExhausted] + c.N[PlanFailedDuplicateID] + c.N[PlanFailedCounterUnread]
}

// AttemptsEnded returns the number of attempts that have ended, with any result.
func (c *Counts) AttemptsEnded() (n uint64) {
	for e := AttemptOK; e <= AttemptCutoff; e++ {
		n += c.N[e]
	}
	return n
}

// Ended returns the number of requests that have ended in the front's journal, with any result.
func (c *Counts) Ended() uint64 {
	return c.N[FrontServed] + c.N[FrontRejected] + c.FrontFailures()
}

// FrontFailures returns the number of requests that failed according to the front's journal: they ended with an error, with a
// departed client, with a failed write, without being submitted, or by a cutoff.
func (c *Counts) FrontFailures() uint64 {
	return c.N[FrontFailed] + c.N[FrontClientDeparted] + c.N[FrontWriteFailed] + c.N[FrontNotSubmitted] + c.N[FrontCutoff]
}

// Pending returns the units, in millionths, that the tally of an account must hold according to the units' journal.
func (c *Counts) Pending() int64 {
	return c.Units(UnitsDrawn) - c.Units(UnitsPushed) + c.Units(UnitsReturned) - c.Units(UnitsForgotten) -
		c.Units(UnitsCutoff)
}
