package main

import (
	"context"

	"dewhitch/internal/registry"
)

// register keeps this gateway in the registry, in which forwarders look up gateways, except while it is drained. It returns when
// the context ends, or immediately if no registry or no limits address is configured.
func (g *gateway) register(ctx context.Context) error {
	if g.limits.Listen == "" || len(g.limits.Registry.Servers) == 0 {
		return nil
	}
	drainChanges := make(chan struct{}, 1) // one place is enough, as the receiver reads the current state
	g.state.OnDrainChange(func(bool) {
		select {
		case drainChanges <- struct{}{}:
		default:
		}
	})
	for ctx.Err() == nil {
		if g.state.Drained() {
			select {
			case <-drainChanges:
			case <-ctx.Done():
			}
			continue
		}
		if err := g.registerUntilChange(ctx, drainChanges); err != nil {
			return err
		}
	}
	return nil
}

// registerUntilChange keeps this gateway in the registry until the context ends or a value arrives on drainChanges. It then ends
// the registry's session, which removes the gateway.
func (g *gateway) registerUntilChange(ctx context.Context, drainChanges <-chan struct{}) error {
	registration, err := registry.Open(g.limits.Registry.Servers, g.limits.Registry.Path, g.limits.Registry.Session, g.log)
	if err != nil {
		return err
	}
	defer registration.Close() // so that forwarders use other gateways before this one ends
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-drainChanges:
			cancel()
		case <-ctx.Done():
		}
	}()
	return registration.RegisterPlanner(ctx, registry.Planner{Address: g.limits.Listen, Gateway: g.node.Settings.Self})
}
