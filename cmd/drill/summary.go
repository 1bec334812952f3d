package main

import (
	"fmt"
	"io"
	"math"

	"dewhitch/internal/drill"
)

// printSummary prints a result in readable form: one line for each part that the scenario had, and one for each failed check.
func printSummary(w io.Writer, r *drill.Result) {
	fmt.Fprintf(w, "%s, seed %d: served %.4f, %.4f in the worst 5 s, of %d requests; lost %d; CPU per request %.0f µs\n",
		r.Scenario, r.Seed, r.Served, r.WorstServed, r.Requests, r.Lost, r.CPUPerRequest)
	if fleet := r.Fleet; fleet != nil {
		fmt.Fprintf(w, "%d plans, each applied by a gateway after %.3f s (median), %.3f s (worst); %.0f bytes per second and gateway\n",
			fleet.Plans, fleet.ApplyMedian, fleet.ApplyWorst, r.FleetBytes)
	}
	for _, fault := range r.ServerFaults {
		first, last := fault.LastSendTimes()
		fmt.Fprintf(w, "%s from %.1f to %.1f s: %d attempts sent there, %d in the last 5 s; last attempts of the gateways before any probe after %.2f to %.2f s\n",
			fault.Action, fault.At, fault.Until, fault.Sent, fault.SentAtEnd, first, last)
	}
	if work := r.Work; work != nil {
		fmt.Fprintf(w, "maintenance of %d of %d machines completed within %.0f s, at most %d at once\n", len(work.Completed), work.Requested, work.Duration, work.MaxConcurrent)
	}
	printSlowStarts(w, r)
	for _, failure := range append(r.Violations, r.UnmetExpectations...) {
		fmt.Fprintln(w, "FELL:", failure)
	}
}

// printSlowStarts prints the worst figures of the servers that restarted in slow start. A server that never received its full rate
// counts with an infinite time.
func printSlowStarts(w io.Writer, r *drill.Result) {
	if len(r.SlowStarts) == 0 {
		return
	}
	maxLoadRatio, maxExcessRatio, fullRateAfter := 0.0, 0.0, 0.0
	for _, slowStart := range r.SlowStarts {
		maxLoadRatio = max(maxLoadRatio, slowStart.MaxLoadRatio)
		maxExcessRatio = max(maxExcessRatio, slowStart.MaxExcessRatio)
		fullRateAfter = max(fullRateAfter, slowStart.FullRateAfter)
		if slowStart.FullRateAfter == 0 {
			fullRateAfter = math.Inf(1)
		}
	}
	fmt.Fprintf(w, "%d servers restarted in slow start: in a second one received up to %.2f of its capacity (%.2f with the allowance for chance); full rate after %.1f s\n",
		len(r.SlowStarts), maxLoadRatio, maxExcessRatio, fullRateAfter)
}
