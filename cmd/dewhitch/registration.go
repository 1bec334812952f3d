package main

import (
	"context"

	"dewhitch/internal/registry"
)

// register keeps this gateway in the registry, by which forwarders find it, except while it is drained. It returns when the
// context ends, and at once if there is no registry.
func (g *gateway) register(ctx context.Context) error {
	if g.limits.Listen == "" || len(g.limits.Registry.Servers) == 0 {
		return nil
	}
	changes := make(chan struct{}, 1) // holds one: what is read afterwards is the state after all changes so far
	g.state.OnDrainChange(func(bool) {
		select {
		case changes <- struct{}{}:
		default:
		}
	})
	for ctx.Err() == nil {
		if g.state.Drained() {
			select {
			case <-changes:
			case <-ctx.Done():
			}
			continue
		}
		if err := g.registerUntil(ctx, changes); err != nil {
			return err
		}
	}
	return nil
}

// registerUntil keeps this gateway in the registry until the context ends or a change of the drain is reported.
func (g *gateway) registerUntil(ctx context.Context, changes <-chan struct{}) error {
	r, err := registry.Open(g.limits.Registry.Servers, g.limits.Registry.Path, g.limits.Registry.Session, g.log)
	if err != nil {
		return err
	}
	defer r.Close() // forwarders turn to other gateways before this one ends
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-changes:
			cancel()
		case <-ctx.Done():
		}
	}()
	return r.RegisterPlanner(ctx, registry.Planner{Address: g.limits.Listen, Gateway: g.node.Settings.Self})
}
