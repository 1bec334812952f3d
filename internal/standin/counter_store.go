package standin

import (
	"maps"
	"strings"
	"time"
)

// counterStore is what a counter holds. The Counter's mutex guards it.
type counterStore struct {
	partitions     [2]totals // the second is used only while the store is split
	atSplit        totals    // what both partitions started from
	snapshot       totals
	lowest         float64
	calls          int                // that added
	addedByAccount map[string]float64 // units, ever; the account is what precedes the dot in a total's name
}

// totals is the content of a store, by name.
type totals map[string]total

type total struct {
	value     float64
	expiresAt time.Time
}

func newCounterStore() counterStore {
	return counterStore{partitions: [2]totals{{}, {}}, addedByAccount: map[string]float64{}}
}

// add returns the total after a call; a call that is not executed only reads it.
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

// Split partitions the store: the listeners named use a copy of it from now on, or all do if none is named.
func (c *Counter) Split(listeners ...int) {
	c.forListeners(listeners, func(l *counterListener) { l.partition = 1 })
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[1] = maps.Clone(c.partitions[0])
	c.atSplit = maps.Clone(c.partitions[0])
}

// JoinPolicy says what becomes of the totals when a partition ends.
type JoinPolicy int

// The ways to join two partitions.
const (
	JoinSum    JoinPolicy = iota // what either added since the split is added up
	JoinFirst                    // what the second added is lost
	JoinSecond                   // what the first added is lost
)

// Join ends a partition of the store; all listeners use one store again.
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

// Forget clears the store, as a replacement that starts empty.
func (c *Counter) Forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.partitions[0])
	clear(c.partitions[1])
}

// Snapshot copies the store for Restore.
func (c *Counter) Snapshot() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.snapshot = maps.Clone(c.partitions[0])
}

// Restore returns the store to the snapshot, or clears it if there is none: what was added since, and answered, is lost.
func (c *Counter) Restore() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partitions[0] = maps.Clone(c.snapshot)
	if c.partitions[0] == nil {
		c.partitions[0] = totals{}
	}
}

// Sum adds up the totals, in units, whose names begin with a prefix; while the store is split, those of the first partition.
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

// Lowest returns the lowest total that there ever was, in units, or 0.
func (c *Counter) Lowest() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lowest
}

// Added returns how many calls added, and how many units by account (what precedes the dot in a total's name), ever.
func (c *Counter) Added() (calls int, byAccount map[string]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.calls, maps.Clone(c.addedByAccount)
}
