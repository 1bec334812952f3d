package core

import (
	"time"

	dw "dewhitch"
)

// targetsReportInterval is the time between two reports to the TargetsReporter. Reports at changes of the list are not enough,
// because the module also ejects servers while the list does not change. The figures that operators read may lag by 0.5 s.
const targetsReportInterval = dw.Span(200 * time.Millisecond)

// TargetsReporter receives counts of servers for operators. Its method is called on the planner's goroutine and must not
// block.
type TargetsReporter interface {
	// Targets reports the number of listed servers, and how many of them get no new work because of an exclusion, the fleet
	// plan, their listed state, or an ejection by the module.
	Targets(listed, disabled int)
}

// SetTargetsReporter sets the receiver of the counts. It must be called before Run.
func (p *Planner) SetTargetsReporter(r TargetsReporter) { p.targetsReporter = r }

// reportPeriodically reports the targets if targetsReportInterval has passed. In a fleet it first updates the overlay, as
// servers may have finished their slow start.
func (p *Planner) reportPeriodically(now dw.Instant) {
	if now < p.nextTargetsReport {
		return
	}
	if p.fleetPlan.Active {
		p.notifyChangedEndpoints()
	}
	p.reportTargets()
}

// reportTargets reports the current counts of servers, and schedules the next periodic report.
func (p *Planner) reportTargets() {
	if p.targetsReporter == nil {
		return
	}
	now := p.Instant(time.Now())
	p.nextTargetsReport = now + dw.Instant(targetsReportInterval)
	p.targetsReporter.Targets(len(p.listed), p.module.EjectedServers(now)+p.notified.disabled)
}
