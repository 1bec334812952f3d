package main

import (
	"fmt"
	"io"
	"math"

	"dewhitch/internal/drill"
)

// printSummary prints a result in readable form: one line for each part that the scenario had, and one for each failed check.
func printSummary(w io.Writer, r *drill.Result) {
	fmt.Fprintf(w, "%s, seed %d: served %.4f, %.4f in the worst 5 s, of %d reqs; lost %d; CPU a req %.0f µs\n",
		r.Scenario, r.Seed, r.Served, r.WorstServed, r.Requests, r.Lost, r.CPUPerRequest)
	if f := r.Fleet; f != nil {
		fmt.Fprintf(w, "%d plans, each acted on by a gateway after %.3f s (median), %.3f s (worst); %.0f bytes a second a gateway\n",
			f.Plans, f.ApplyMedian, f.ApplyWorst, r.FleetBytes)
	}
	for _, t := range r.ServerFaults {
		first, last := t.LastSendTimes()
		fmt.Fprintf(w, "%s from %.1f to %.1f s: %d sent there, %d in the last 5 s; gateways' last reqs before any probe after %.2f to %.2f s\n",
			t.Action, t.At, t.Until, t.Sent, t.SentAtEnd, first, last)
	}
	if k := r.Work; k != nil {
		fmt.Fprintf(w, "%d of %d machines were worked on within %.0f s, %d at once at most\n", len(k.Completed), k.Requested, k.Duration, k.MaxConcurrent)
	}
	printReturns(w, r)
	for _, b := range append(r.Violations, r.UnmetExpectations...) {
		fmt.Fprintln(w, "FELL:", b)
	}
}

// printReturns prints the worst figures of the servers that restarted in slow start. A server that never received its full rate
// counts with an infinite time.
func printReturns(w io.Writer, r *drill.Result) {
	if len(r.SlowStarts) == 0 {
		return
	}
	worst, slack, full := 0.0, 0.0, 0.0
	for _, b := range r.SlowStarts {
		worst = max(worst, b.MaxLoadRatio)
		slack = max(slack, b.MaxExcessRatio)
		full = max(full, b.FullRateAfter)
		if b.FullRateAfter == 0 {
			full = math.Inf(1)
		}
	}
	fmt.Fprintf(w, "%d servers came back cold: sent %.2f of what one could do in its worst second (%.2f of that and three roots); full share after %.1f s\n",
		len(r.SlowStarts), worst, slack, full)
}
