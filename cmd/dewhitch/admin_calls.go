package main

import (
	"go.uber.org/zap"

	"dewhitch/internal/exclusions"
	"dewhitch/internal/ops"
	"dewhitch/internal/telemetry"
)

// adminCalls implements admin.Gateway: it carries out the operators' calls on a running gateway. It is safe for concurrent use.
type adminCalls struct {
	state      *ops.State
	figures    *ops.Figures
	metrics    *telemetry.Metrics
	exclusions *exclusions.Keeper
	log        *zap.Logger
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

// Exclude stops new attempts to the server with this id, which is in discovery's form. It returns the errors of Keeper.Exclude.
func (c *adminCalls) Exclude(id string) error {
	err := c.exclusions.Exclude(id)
	c.logExclusion(id, true, err)
	return err
}

// Include ends the exclusion of a server. It returns the errors of Keeper.Include.
func (c *adminCalls) Include(id string) error {
	err := c.exclusions.Include(id)
	c.logExclusion(id, false, err)
	return err
}

func (c *adminCalls) logExclusion(id string, excluded bool, err error) {
	if err != nil {
		c.log.Warn("operators' call failed", zap.String("server", id), zap.Bool("excluded", excluded), zap.Error(err))
		return
	}
	c.log.Info("operators' call", zap.String("server", id), zap.Bool("excluded", excluded))
}
