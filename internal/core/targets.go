package core

import (
	"time"

	dw "dewhitch"
)

// targetsReportInterval is the time between two reports to TargetsReporter. The module ejects servers by itself, so that a report
// at changes of the list is not enough; the operators' figures may lag by 0.5 s.
const targetsReportInterval = dw.Span(200 * time.Millisecond)

// TargetsReporter takes counts for operators. Its methods are called on the planner's goroutine and may not block.
type TargetsReporter interface {
	// Targets reports the listed servers, and those of them that get no new work: by an exclusion, by the fleet plan, by
	// the list, or by the module's choice.
	Targets(listed, disabled int)
}

// SetTargetsReporter has the planner report to f; before Run.
func (p *Planner) SetTargetsReporter(f TargetsReporter) { p.figures = f }

// reportPeriodically reports the targets when targetsReportInterval has passed. In a fleet it first renews the overlay, as
// servers may have ended their slow start.
func (p *Planner) reportPeriodically(now dw.Instant) {
	if now < p.nextTargetsReport {
		return
	}
	if p.fleetPlan.Active {
		p.notifyChangedEndpoints()
	}
	p.reportTargets()
}

// reportTargets reports the targets to TargetsReporter now.
func (p *Planner) reportTargets() {
	if p.figures == nil {
		return
	}
	now := p.Instant(time.Now())
	p.nextTargetsReport = now + dw.Instant(targetsReportInterval)
	p.figures.Targets(len(p.listed), p.module.EjectedServers(now)+p.notified.disabled)
}
