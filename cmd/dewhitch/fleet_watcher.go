package main

import (
	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/fleet/agent"
	"dewhitch/internal/fleet/slowstart"
)

// fleetWatcher passes the planner's events to the fleet agent. Its methods are called on the planner's goroutine.
type fleetWatcher struct {
	agent *agent.Agent
	zones []string // zone names by the planner's zone index
}

// RequestReceived counts a request that the gateway received.
func (w *fleetWatcher) RequestReceived() { w.agent.AttemptCounter().RequestReceived() }

// EndpointsChanged passes the agent the servers that are ready and in a zone that has a name.
func (w *fleetWatcher) EndpointsChanged(endpoints []dw.Endpoint) {
	var servers []slowstart.Server
	for _, e := range endpoints {
		if e.State == dw.Ready && e.Zone < len(w.zones) {
			servers = append(servers, slowstart.Server{
				ID:    uint32(e.ID),
				Zone:  w.zones[e.Zone],
				Since: int64(e.StartedAt) / 1e6,
			})
		}
	}
	w.agent.EndpointsChanged(servers)
}

// AttemptStarted counts an attempt to a server in a zone that has a name.
func (w *fleetWatcher) AttemptStarted(id core.AttemptID, server dw.ServerID, zone int) {
	if zone < len(w.zones) {
		w.agent.AttemptCounter().AttemptStarted(fleetAttemptID(id), w.zones[zone], uint32(server))
	}
}

// AttemptEnded counts the outcome of an attempt and passes on the server's load report.
func (w *fleetWatcher) AttemptEnded(id core.AttemptID, result core.AttemptResult) {
	outcome := fleetOutcomes[result.Outcome]
	w.agent.AttemptCounter().AttemptEnded(fleetAttemptID(id), outcome, uint32(result.Load.Queue), uint32(result.Load.Inflight))
}

// fleetAttemptID converts the planner's id of an attempt to the agent's.
func fleetAttemptID(id core.AttemptID) agent.AttemptID {
	return agent.AttemptID{Request: string(id.RequestID), Attempt: id.Number}
}

// fleetOutcomes maps the planner's outcomes to those that the fleet counts. An attempt that was cancelled or never sent is not
// counted, as it says nothing about the server.
var fleetOutcomes = [dw.OutcomeCount]agent.Outcome{
	dw.OutcomeOK:            agent.Served,
	dw.OutcomeError:         agent.Failed,
	dw.OutcomeRejected:      agent.Rejected,
	dw.OutcomeTimeout:       agent.TimedOut,
	dw.OutcomeConnectFailed: agent.ConnectFailed,
	dw.OutcomeReset:         agent.Failed,
	dw.OutcomeCancelled:     agent.NoOutcome,
	dw.OutcomeNotSent:       agent.NoOutcome,
}
