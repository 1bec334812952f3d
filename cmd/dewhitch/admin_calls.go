package main

import (
	"go.uber.org/zap"

	"dewhitch/internal/core"
	"dewhitch/internal/discovery"
	"dewhitch/internal/ops"
	"dewhitch/internal/telemetry"
)

// adminCalls carries out the operators' calls (admin.Gateway). It is safe for any goroutine.
type adminCalls struct {
	state   *ops.State
	figures *ops.Figures
	metrics *telemetry.Metrics
	planner *core.Planner
	decoder *discovery.Decoder
	log     *zap.Logger
}

// Ready reports whether the gateway serves.
func (c *adminCalls) Ready() bool { return c.state.Ready() }

// AppendTelemetry appends the figures as a JSON object.
func (c *adminCalls) AppendTelemetry(b []byte) []byte {
	return c.figures.AppendJSON(b, c.metrics.AppendFields)
}

// Drain has client sessions sent away, or accepted again.
func (c *adminCalls) Drain(drained bool) {
	if c.state.Drained() != drained {
		c.log.Info("operators' call", zap.Bool("drained", drained))
	}
	c.state.Drain(drained)
}

// Exclude stops new work to a server, by its id in discovery's form. It fails with core.ErrUnknownServer or core.ErrStopped.
func (c *adminCalls) Exclude(id string) error { return c.setExclusion(id, true) }

// Include ends an exclusion. It fails as Exclude does.
func (c *adminCalls) Include(id string) error { return c.setExclusion(id, false) }

func (c *adminCalls) setExclusion(id string, excluded bool) error {
	server, known := c.decoder.Lookup(id)
	if !known {
		return core.ErrUnknownServer
	}
	change := c.planner.Include
	if excluded {
		change = c.planner.Exclude
	}
	if err := change(server); err != nil {
		return err
	}
	c.log.Info("operators' call", zap.String("server", id), zap.Bool("excluded", excluded))
	return nil
}
