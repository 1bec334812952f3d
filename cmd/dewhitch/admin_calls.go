package main

import (
	"go.uber.org/zap"

	"dewhitch/internal/core"
	"dewhitch/internal/discovery"
	"dewhitch/internal/ops"
	"dewhitch/internal/telemetry"
)

// adminCalls implements admin.Gateway: it carries out the operators' calls on a running gateway. It is safe for concurrent use.
type adminCalls struct {
	state   *ops.State
	figures *ops.Figures
	metrics *telemetry.Metrics
	planner *core.Planner
	decoder *discovery.Decoder
	log     *zap.Logger
}

// Ready reports whether the gateway is ready for clients: it has started, and is neither drained nor ending.
func (c *adminCalls) Ready() bool { return c.state.Ready() }

// AppendTelemetry appends the gateway's figures and metrics to b as one JSON object.
func (c *adminCalls) AppendTelemetry(b []byte) []byte {
	return c.figures.AppendJSON(b, c.metrics.AppendFields)
}

// Drain starts to send client sessions away if drained is true, and accepts them again if it is false.
func (c *adminCalls) Drain(drained bool) {
	if c.state.Drained() != drained {
		c.log.Info("operators' call", zap.Bool("drained", drained))
	}
	c.state.Drain(drained)
}

// Exclude stops new attempts to the server with this id, which is in discovery's form. It fails with core.ErrUnknownServer if the
// server was never listed, and with core.ErrStopped if the planner has stopped.
func (c *adminCalls) Exclude(id string) error { return c.setExclusion(id, true) }

// Include ends the exclusion of a server. It returns the same errors as Exclude.
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
