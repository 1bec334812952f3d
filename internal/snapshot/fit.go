package snapshot

import (
	"errors"
	"fmt"
	"math"
	"slices"

	dw "dewhitch"
)

// ErrForeign is returned for a snapshot of another deployment.
var ErrForeign = errors.New("of another deployment")

// NewImage returns an image with the settings of a process and an empty state.
func NewImage(node string, s *dw.Settings, classes, plans []string) Image {
	m := Image{Node: node, Instances: s.Instances, Self: s.Self, Zones: s.Zones, Classes: classes}
	for i, p := range s.Plans {
		m.Plans = append(m.Plans, Plan{Name: planName(plans, i), Rate: p.Rate, Burst: p.Burst, Ceiling: p.CeilingRate})
	}
	return m
}

func planName(names []string, i int) string {
	if i < len(names) {
		return names[i]
	}
	return fmt.Sprint("#", i)
}

// Fit converts the state of m, in place, to the settings of current. Classes are matched by name, and plans by all of their
// fields; state of a class or plan that is not in both is dropped. dropped is the number of customers dropped plus the number of
// classes in current that get no statistics. Fit returns ErrForeign or the error of Check.
func Fit(m, current *Image) (state *dw.State, dropped int, err error) {
	if m.Node != current.Node || m.Instances != current.Instances || m.Self != current.Self || m.Zones != current.Zones {
		return nil, 0, fmt.Errorf("%w: %s, gateway %d of %d", ErrForeign, m.Node, m.Self, m.Instances)
	}
	if err := Check(m); err != nil {
		return nil, 0, err
	}
	state = &m.State
	oldIndices := make([]int, len(current.Classes)) // index in m of each class in current, or -1
	for i, c := range current.Classes {
		oldIndices[i] = slices.Index(m.Classes, c)
		if oldIndices[i] < 0 {
			dropped++
		}
	}
	fitClasses(state, oldIndices)
	dropped += fitPlans(state, m.Plans, current.Plans)
	return state, dropped, nil
}

// fitClasses reorders the state that is stored by class. oldIndices holds the old index of each class, or -1 for a new class.
func fitClasses(state *dw.State, oldIndices []int) {
	latencyRatios := make([]float64, len(oldIndices))
	for i, old := range oldIndices {
		latencyRatios[i] = 1
		if old >= 0 {
			latencyRatios[i] = state.ClassLatencyRatios[old]
		}
	}
	state.ClassLatencyRatios = latencyRatios
	for i := range state.Servers {
		server := &state.Servers[i]
		failures := make([]dw.FailureStatistics, len(oldIndices))
		for k, old := range oldIndices {
			if old >= 0 && old < len(server.Failures) {
				failures[k] = server.Failures[old]
			}
		}
		server.Failures = failures
	}
}

// fitPlans converts the plan indices of customers, and drops the customers whose plan was removed or changed.
func fitPlans(state *dw.State, oldPlans, newPlans []Plan) (dropped int) {
	fitted := state.Customers[:0]
	for _, c := range state.Customers {
		c.Plan = slices.Index(newPlans, oldPlans[c.Plan])
		if c.Plan < 0 {
			dropped++
			continue
		}
		fitted = append(fitted, c)
	}
	state.Customers = fitted
	return dropped
}

// Bounds of the numbers of a valid state.
const (
	maxAmount   = 1e12 // maximum rate, amount or latency
	minPositive = 1e-9 // minimum of a number that the module divides by
	maxWindow   = 1e9  // maximum elapsed time in a counter's window
	maxFailures = 1000 // maximum number of consecutive failures
)

// Check returns ErrBroken if a number of the state is out of the bounds that a gateway's state can have. The module uses the
// numbers without checks of its own.
func Check(m *Image) error {
	state := &m.State
	ok := len(state.ClassLatencyRatios) == len(m.Classes) && len(state.ZoneFailureShare) <= m.Zones &&
		within(0, maxAmount, state.SentAttempts, state.EndpointRequests, state.ThrottleRequests, state.ThrottleAccepts) &&
		within(0, maxAmount, state.RetryBudget, state.CounterCallRate, state.CounterMinLatency) &&
		within(minPositive, maxAmount, state.Latency, state.IdleLatency, state.MeanPriority) &&
		within(minPositive, maxAmount, state.ClassLatencyRatios...) &&
		within(0, 1-1e-9, state.ZoneFailureShare...)
	for i := range state.Servers {
		ok = ok && isValidServer(&state.Servers[i])
	}
	for i := range state.Customers {
		ok = ok && isValidCustomer(&state.Customers[i], m)
	}
	if !ok {
		return fmt.Errorf("%w: a number out of bounds", ErrBroken)
	}
	return nil
}

func isValidServer(s *dw.ServerStatistics) bool {
	for _, f := range s.Failures {
		if f.Count < 0 || f.Count > maxFailures {
			return false
		}
	}
	return within(minPositive, maxAmount, s.Latency) && within(-maxAmount, maxAmount, s.SlowStartBudget, s.Rating)
}

func isValidCustomer(c *dw.AccountState, m *Image) bool {
	return c.Plan >= 0 && c.Plan < len(m.Plans) && c.Spread > 0 && c.Spread <= m.Instances && c.Window > 0 &&
		within(-maxAmount, maxAmount, c.Level, c.WindowTotal, c.OwnInWindow, c.PredictedUse) &&
		within(0, maxAmount, c.OwnRate, c.OthersRate, c.Demand, c.DemandSpan) &&
		within(-maxWindow, maxWindow, c.WindowElapsed)
}

// within returns true if all values are between lowest and highest, inclusive. It returns false for a NaN.
func within(lowest, highest float64, values ...float64) bool {
	for _, v := range values {
		if math.IsNaN(v) || v < lowest || v > highest {
			return false
		}
	}
	return true
}
