package main

import (
	"context"
	"os"

	"go.uber.org/zap"

	"dewhitch/internal/config"
)

// reloadAtSignal reads the configuration again at each signal, until the context ends. All of it is checked before any of it
// is applied: if there is a fault, the configuration in force stays.
func (g *gateway) reloadAtSignal(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		m, err := checkedReload()
		g.figures.CountReload(err == nil)
		if err != nil {
			g.log.Error("the new configuration is faulty; the old one stays", zap.Error(err))
			continue
		}
		g.applyReload(m)
	}
}

// checkedReload reads the node's configuration, and checks the limits file and the operators' file, of which nothing can change
// without a restart.
func checkedReload() (*config.Node, error) {
	m, err := config.ReloadNode(os.Getenv)
	if err != nil {
		return nil, err
	}
	if _, err = config.LoadLimits(cli.Limits); err != nil {
		return nil, err
	}
	if _, err = config.LoadOperations(cli.Operations); err != nil {
		return nil, err
	}
	return m, nil
}

// applyReload applies what can change without a restart: the addresses of discovery and the counter, the classes, and the
// maximum of attempts.
func (g *gateway) applyReload(m *config.Node) {
	if m.Discovery != g.node.Discovery {
		g.discovery.Move(m.Discovery)
	}
	if m.Counter != g.node.Counter {
		g.counter.Move(m.Counter)
	}
	g.applyClassesAndAttempts(m)
	g.log.Info("new configuration", zap.String("discovery", m.Discovery), zap.String("counter", m.Counter),
		zap.Strings("needs_a_restart", g.node.KeysNeedingRestart(m)))
	g.node.Discovery = m.Discovery
	g.node.Counter = m.Counter
}

// applyClassesAndAttempts has new requests use the classes of the new settings, and the maximum of attempts that they allow.
func (g *gateway) applyClassesAndAttempts(m *config.Node) {
	table := g.commands.ReloadClasses(m.Names.Classes, m.Settings.Classes)
	g.figures.AddClasses(table.Names())
	g.longestDeadline.Store(int64(m.LongestDeadline()))
	g.planner.SetMaxAttempts(m.Settings.MaxAttempts)
	g.log.Info("retuned", zap.Any("classes", table), zap.Int("attempts", m.Settings.MaxAttempts))
}
