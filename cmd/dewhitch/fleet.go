package main

import (
	"context"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/fleet/agent"
	"dewhitch/internal/fleet/evacuation"
	"dewhitch/internal/fleet/gossip"
	"dewhitch/internal/fleet/maintenance"
	"dewhitch/internal/fleet/memberregistry"
	"dewhitch/internal/fleet/slowstart"
)

// openFleet opens the gateway's fleet agent if a fleet is configured. The agent delivers decisions to followFleet through g.decisions, which
// holds the latest one.
func (g *gateway) openFleet() error {
	if g.fleetConfig == nil {
		return nil
	}
	g.decisions = make(chan agent.Decisions, 1)
	g.planApplied = make(chan struct{})
	a, err := agent.Open(g.fleetOptions())
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	g.fleetAgent = a
	g.planner.SetWatcher(&fleetWatcher{agent: a, zones: g.node.Names.Zones})
	return nil
}

// fleetOptions are the agent's options by the settings, the fleet's file and the defaults of the fleet's policies.
func (g *gateway) fleetOptions() agent.Options {
	zones := evacuation.Defaults
	zones.MaxEvacuated = g.fleetConfig.MaxEvacuatedZones
	return agent.Options{
		Maintenance: maintenance.Defaults,
		OnDecisions: g.replaceDecisions,
		Drain:       g.state.DrainItself,
		Quiesced:    g.quiesced,
		Zones:       zones,
		SlowStart: slowstart.Config{
			StartCapacity: g.node.Settings.StartCapacity,
			Span:          time.Duration(g.node.Settings.SlowStartSpan),
		},
		Voters:         g.fleetConfig.Voters,
		Dir:            g.fleetConfig.Dir,
		Lease:          g.fleetConfig.Lease,
		StatusInterval: g.fleetConfig.Status,
		Log:            g.log,
		Gossip: gossip.Options{
			Fleet:   g.fleetConfig.Name,
			Name:    g.node.Name,
			Listen:  g.fleetConfig.Listen,
			Peers:   g.fleetConfig.Peers,
			Seeds:   g.fleetConfig.Seeds,
			Keyring: g.fleetConfig.Keyring,
			Metadata: gossip.Metadata{
				Zone:    zoneName(g.node.Names.Zones, g.node.Settings.Zone),
				Region:  g.fleetConfig.Region,
				Number:  g.node.Settings.Self,
				Version: version,
				Role:    "gateway",
			},
		},
	}
}

// zoneName returns the name of a zone by its index, or "" if it has none.
func zoneName(zones []string, zone int) string {
	if zone < len(zones) {
		return zones[zone]
	}
	return ""
}

// replaceDecisions hands decisions to followFleet in place of earlier ones that it has not received. Only the agent's goroutine calls it,
// so that the send never blocks.
func (g *gateway) replaceDecisions(d agent.Decisions) {
	select {
	case <-g.decisions:
	default:
	}
	g.decisions <- d
}

// findMembers discovers members through the registry, if the fleet's file names one. It runs until ctx ends.
func (g *gateway) findMembers(ctx context.Context) error {
	r := g.fleetConfig.Registry
	return memberregistry.Run(ctx, memberregistry.Options{
		Servers: r.Servers,
		Path:    r.Path,
		Session: r.Session,
		Name:    g.node.Name,
		Address: g.fleetConfig.Listen,
		Log:     g.log,
	}, g.fleetAgent.AddCandidates)
}

// quiesced tells whether the gateway has drained: no clients are left and every request is answered.
func (g *gateway) quiesced() bool { return g.state.Drained() && g.figures.Concurrent() == 0 }

// followFleet applies the fleet's decisions to the planner until ctx ends. It closes g.planApplied after the first. A plan stays applied while
// the view of the fleet is old; servers in slow start then get nothing.
func (g *gateway) followFleet(ctx context.Context) error {
	var firstPlan sync.Once
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-g.decisions:
			plan, err := g.fleetPlan(d)
			if err != nil {
				g.log.Error("zone statuses of the fleet's plan can't be decoded, the last ones hold", zap.Error(err))
				continue
			}
			if err := g.planner.ApplyFleetPlan(plan); err != nil {
				return nil // the planner has ended
			}
			g.fleetAgent.Applied(d.Withdrawn)
			firstPlan.Do(func() { close(g.planApplied) })
		}
	}
}
