package main

import (
	"context"
	"os"

	"go.uber.org/zap"

	"dewhitch/internal/config"
)

// reloadOnSignal reads the configuration again at each signal, until the context ends. All of it is checked before any of it
// is applied: if there is a fault, the configuration in force stays.
func (g *gateway) reloadOnSignal(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		newNode, err := loadNewConfig()
		g.figures.Reloaded(err == nil)
		if err != nil {
			g.log.Error("the new configuration is faulty; the old one stays", zap.Error(err))
			continue
		}
		g.applyReload(newNode)
	}
}

// loadNewConfig reads the node's configuration, and checks the limits file and the operators' file, of which nothing can change
// without a restart.
func loadNewConfig() (*config.Node, error) {
	newNode, err := config.ReloadNode(os.Getenv)
	if err != nil {
		return nil, err
	}
	if _, err = config.LoadLimits(cli.Limits); err != nil {
		return nil, err
	}
	if _, err = config.LoadOperations(cli.Operations); err != nil {
		return nil, err
	}
	return newNode, nil
}

// applyReload applies what can change without a restart: the addresses of discovery and the counter, the classes, and the
// maximum of attempts.
func (g *gateway) applyReload(newNode *config.Node) {
	if newNode.Discovery != g.node.Discovery {
		g.discovery.Move(newNode.Discovery)
	}
	if newNode.Counter != g.node.Counter {
		g.counter.Move(newNode.Counter)
	}
	g.applyClassesAndAttempts(newNode)
	g.log.Info("new configuration", zap.String("discovery", newNode.Discovery), zap.String("counter", newNode.Counter),
		zap.Strings("needs_a_restart", g.node.Fixed(newNode)))
	g.node.Discovery = newNode.Discovery
	g.node.Counter = newNode.Counter
}

// applyClassesAndAttempts has new requests use the classes of the new settings, and the maximum of attempts that they allow.
func (g *gateway) applyClassesAndAttempts(newNode *config.Node) {
	table := g.commands.ReloadClasses(newNode.Names.Classes, newNode.Settings.Classes)
	g.figures.Classes(table.Names())
	g.longestDeadline.Store(int64(newNode.Longest()))
	g.planner.SetMaxAttempts(newNode.Settings.MaxAttempts)
	g.log.Info("retuned", zap.Any("classes", table), zap.Int("attempts", newNode.Settings.MaxAttempts))
}
