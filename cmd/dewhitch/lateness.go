package main

import (
	"context"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/fairqueue"
	"dewhitch/internal/telemetry"
)

const (
	latenessReportInterval = time.Second            // time between two reports
	latenessProbeInterval  = 50 * time.Millisecond  // time that the probe sleeps
	latenessLogged         = 100 * time.Millisecond // delay from which the log tells of it
	busiestLogged          = 4                      // connections that one log line names
)

// watchLateness measures how late a goroutine runs that does nothing but sleep, and logs when any part of the process has run late and
// which connections used the time, until the context ends.
func watchLateness(ctx context.Context, metrics *telemetry.Metrics, fair *fairqueue.Scheduler, log *zap.Logger) {
	probe := time.NewTicker(latenessProbeInterval)
	defer probe.Stop()
	for nextReport := time.Now().Add(latenessReportInterval); ; {
		select {
		case <-ctx.Done():
			return
		case due := <-probe.C:
			metrics.ProbeLate(max(0, time.Since(due)))
		}
		if now := time.Now(); !now.Before(nextReport) {
			nextReport = now.Add(latenessReportInterval)
			reportLateness(metrics, fair, log)
		}
	}
}

// reportLateness logs the delays since its last call if one of them is long.
func reportLateness(metrics *telemetry.Metrics, fair *fairqueue.Scheduler, log *zap.Logger) {
	byPart, worst := metrics.TakeWorst()
	busiest := fair.Busiest(busiestLogged)
	if worst >= latenessLogged {
		log.Warn("the process runs late", zap.Any("late_ms", byPart), zap.Any("busiest", busiest))
	}
}
