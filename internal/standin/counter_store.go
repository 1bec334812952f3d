package standin

import (
	"maps"
	"strings"
	"time"
)

// counterStore holds a counter's totals and statistics. The Counter's mutex guards it.
type counterStore struct {
	partitions     [2]totals          // the second one is used only while the store is partitioned
	atSplit        totals             // totals at the time of the partition
	snapshot       totals             // totals that Restore returns to; nil if there is no snapshot
	lowest         float64            // lowest total so far, in units; 0 if no total was negative
	calls          int                // number of calls whose units were added
	addedByAccount map[string]float64 // units added so far, by account: the part of a total's name before the dot
}

// totals is the content of a store, keyed by the total's name.
type totals map[string]total

// total is a sum of units that restarts from 0 once it has expired.
type total struct {
	value     float64
	expiresAt time.Time
}

func newCounterStore() counterStore {
	return counterStore{partitions: [2]totals{{}, {}}, addedByAccount: map[string]float64{}}
}

// add adds a call's units to the total that the call names if executed is true, and returns that total. If executed is false, it
// only reads the total. An expired total starts again from 0.
func (s *counterStore) add(partition int, call counterCall, executed bool) float64 {
	now := time.Now()
	t := s.partitions[partition][call.name]
	if t.expiresAt.Before(now) {
		t = total{expiresAt: now.Add(min(call.ttl, maxTotalTTL))}
	}
	if !executed {
		return t.value
	}
	t.value += call.units
	s.partitions[partition][call.name] = t
	s.lowest = min(s.lowest, t.value)
	s.calls++
	account, _, _ := strings.Cut(call.name, ".")
	s.addedByAccount[account] += call.units
	return t.value
}

// Split partitions the store: the listeners with the given numbers, or all if none is given, use a copy of it from now on.
func (c *Counter) Split(listeners ...int) {
	c.forListeners(listeners, func(l *counterListener) { l.partition = 1 })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[1] = maps.Clone(c.partitions[0])
	c.atSplit = maps.Clone(c.partitions[0])
}

// JoinPolicy says how the totals of two partitions are joined.
type JoinPolicy int

// The policies for joining two partitions.
const (
	JoinSum    JoinPolicy = iota // the units that both partitions added since the split are summed
	JoinFirst                    // the units that the second partition added are lost
	JoinSecond                   // the units that the first partition added are lost
)

// Join ends the partition of the store; all listeners use one store again.
func (c *Counter) Join(policy JoinPolicy) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch policy {
	case JoinSum:
		for name, second := range c.partitions[1] {
			joined := c.partitions[0][name]
			joined.value += second.value - c.atSplit[name].value
			if joined.expiresAt.Before(second.expiresAt) {
				joined.expiresAt = second.expiresAt
			}
			c.partitions[0][name] = joined
		}
	case JoinSecond:
		c.partitions[0] = c.partitions[1]
	}
	c.partitions[1] = totals{}
	c.atSplit = nil
	for _, l := range c.listeners {
		l.partition = 0
	}
}

// Forget clears the store, as the counter's replacement by an empty one does.
func (c *Counter) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.partitions[0])
	clear(c.partitions[1])
}

// Snapshot saves a copy of the store for Restore.
func (c *Counter) Snapshot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot = maps.Clone(c.partitions[0])
}

// Restore returns the store to the snapshot, or clears it if there is none. Units that were added and acknowledged since are lost.
func (c *Counter) Restore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[0] = maps.Clone(c.snapshot)
	if c.partitions[0] == nil {
		c.partitions[0] = totals{}
	}
}

// Sum returns the sum, in units, of the totals whose names begin with a prefix. While the store is partitioned, only totals of
// the first partition count.
func (c *Counter) Sum(prefix string) (sum float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for name, t := range c.partitions[0] {
		if strings.HasPrefix(name, prefix) {
			sum += t.value
		}
	}
	return sum
}

// Lowest returns the lowest total so far, in units, or 0 if no total was negative.
func (c *Counter) Lowest() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lowest
}

// Added returns the number of calls whose units were added so far, and the sum of those units for each account. The account is
// the part of a total's name before the dot.
func (c *Counter) Added() (calls int, byAccount map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, maps.Clone(c.addedByAccount)
}
