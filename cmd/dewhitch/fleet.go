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

// openFleet opens the gateway's fleet agent if a fleet is configured. The agent delivers its decisions to followFleet through
// g.decisions, which holds the latest ones only.
func (g *gateway) openFleet() error {
	if g.fleetConfig == nil {
		return nil
	}
	g.decisions = make(chan agent.Decisions, 1)
	g.firstPlanApplied = make(chan struct{})
	fleetAgent, err := agent.Open(g.fleetOptions())
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	g.fleetAgent = fleetAgent
	g.planner.SetWatcher(&fleetWatcher{agent: fleetAgent, zones: g.node.Names.Zones})
	return nil
}

// fleetOptions returns the agent's options, which come from the settings, the fleet file and the defaults of the fleet's
// policies.
func (g *gateway) fleetOptions() agent.Options {
	evacuationConfig := evacuation.Defaults
	evacuationConfig.MaxEvacuated = g.fleetConfig.MaxEvacuatedZones
	return agent.Options{
		Maintenance: maintenance.Defaults,
		OnDecisions: g.replaceDecisions,
		Drain:       g.state.DrainByFleet,
		Quiesced:    g.quiesced,
		Zones:       evacuationConfig,
		SlowStart: slowstart.Config{
			StartCapacity: g.node.Settings.StartCapacity,
			Span:          time.Duration(g.node.Settings.SlowStartSpan),
		},
		Voters:         g.fleetConfig.Voters,
		Dir:            g.fleetConfig.Dir,
		Lease:          g.fleetConfig.Lease,
		StatusInterval: g.fleetConfig.StatusInterval,
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

// zoneName returns the name of the zone with this index, or "" if it has none.
func zoneName(zones []string, zone int) string {
	if zone < len(zones) {
		return zones[zone]
	}
	return ""
}

// replaceDecisions passes decisions to followFleet and discards earlier ones that followFleet has not received. Only the agent's
// goroutine calls it, so the send never blocks.
func (g *gateway) replaceDecisions(decisions agent.Decisions) {
	select {
	case <-g.decisions:
	default:
	}
	g.decisions <- decisions
}

// findMembers discovers members of the fleet through the registry, if the fleet file names one. It runs until ctx ends.
func (g *gateway) findMembers(ctx context.Context) error {
	registry := g.fleetConfig.Registry
	return memberregistry.Run(ctx, memberregistry.Options{
		Servers: registry.Servers,
		Path:    registry.Path,
		Session: registry.Session,
		Name:    g.node.Name,
		Address: g.fleetConfig.Listen,
		Log:     g.log,
	}, g.fleetAgent.AddCandidates)
}

// quiesced reports whether the gateway is drained and every request is answered.
func (g *gateway) quiesced() bool { return g.state.Drained() && g.figures.Concurrent() == 0 }

// followFleet applies the fleet's decisions to the planner until ctx ends. It closes g.firstPlanApplied after the first plan. While
// the view of the fleet is old, the last plan stays applied, but without rates for servers in slow start.
func (g *gateway) followFleet(ctx context.Context) error {
	var firstPlan sync.Once
	for {
		select {
		case <-ctx.Done():
			return nil
		case decisions := <-g.decisions:
			plan, err := g.fleetPlan(decisions)
			if err != nil {
				g.log.Error("zone statuses of the fleet's plan can't be decoded, the last ones hold", zap.Error(err))
				continue
			}
			if err := g.planner.ApplyFleetPlan(plan); err != nil {
				return nil // the planner has stopped
			}
			g.fleetAgent.WithdrawalsApplied(decisions.Withdrawn)
			firstPlan.Do(func() { close(g.firstPlanApplied) })
		}
	}
}
