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

// openFleet opens the gateway's fleet agent if a fleet is configured. The agent delivers decisions to followFleet through g.acts, which
// holds the latest one.
func (g *gateway) openFleet() error {
	if g.f == nil {
		return nil
	}
	g.acts = make(chan agent.Decisions, 1)
	g.heard = make(chan struct{})
	a, err := agent.Open(g.fleetOptions())
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	g.fleet = a
	g.planner.SetWatcher(&fleetWatcher{agent: a, zones: g.n.Names.Zones})
	return nil
}

// fleetOptions are the agent's options by the settings, the fleet's file and the defaults of the fleet's policies.
func (g *gateway) fleetOptions() agent.Options {
	zones := evacuation.Defaults
	zones.MaxEvacuated = g.f.MaxEvacuatedZones
	return agent.Options{
		Maintenance: maintenance.Defaults,
		OnDecisions: g.replaceDecisions,
		Drain:       g.state.DrainItself,
		Quiesced:    g.quiesced,
		Zones:       zones,
		SlowStart: slowstart.Config{
			Start: g.n.Settings.StartCapacity,
			Span:  time.Duration(g.n.Settings.SlowStartSpan),
		},
		Voters: g.f.Voters,
		Dir:    g.f.Dir,
		Lease:  g.f.Lease,
		Status: g.f.Status,
		Log:    g.log,
		Gossip: gossip.Options{
			Fleet:   g.f.Name,
			Name:    g.n.Name,
			Listen:  g.f.Listen,
			Peers:   g.f.Peers,
			Seeds:   g.f.Seeds,
			Keyring: g.f.Keyring,
			Metadata: gossip.Metadata{
				Zone:    zoneName(g.n.Names.Zones, g.n.Settings.Zone),
				Region:  g.f.Region,
				Number:  g.n.Settings.Self,
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
	case <-g.acts:
	default:
	}
	g.acts <- d
}

// findMembers discovers members through the registry, if the fleet's file names one. It runs until ctx ends.
func (g *gateway) findMembers(ctx context.Context) error {
	r := g.f.Registry
	return memberregistry.Run(ctx, memberregistry.Options{
		Servers: r.Servers,
		Path:    r.Path,
		Session: r.Session,
		Name:    g.n.Name,
		Address: g.f.Listen,
		Log:     g.log,
	}, g.fleet.AddCandidates)
}

// quiesced tells whether the gateway has drained: no clients are left and every request is answered.
func (g *gateway) quiesced() bool { return g.state.Drained() && g.figures.Concurrent() == 0 }

// followFleet applies the fleet's decisions to the planner until ctx ends. It closes g.heard after the first. A plan stays applied while
// the view of the fleet is old; servers in slow start then get nothing.
func (g *gateway) followFleet(ctx context.Context) error {
	var heard sync.Once
	for {
		select {
		case <-ctx.Done():
			return nil
		case d := <-g.acts:
			plan, err := g.fleetPlan(d)
			if err != nil {
				g.log.Error("zone statuses of the fleet's plan can't be decoded, the last ones hold", zap.Error(err))
				continue
			}
			if err := g.planner.ApplyFleetPlan(plan); err != nil {
				return nil // the planner has ended
			}
			g.fleet.Applied(d.Withdrawn)
			heard.Do(func() { close(g.heard) })
		}
	}
}
