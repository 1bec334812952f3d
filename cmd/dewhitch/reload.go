package main

import (
	"context"
	"os"

	"go.uber.org/zap"

	"dewhitch/internal/config"
)

// reloadOnSignal reloads the configuration at each signal until the context ends. It checks the whole configuration before it
// applies any of it: if there is a fault, the configuration in force stays.
func (g *gateway) reloadOnSignal(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		}
		newNode, err := loadNewConfig()
		g.figures.CountReload(err == nil)
		if err != nil {
			g.log.Error("the new configuration is faulty; the old one stays", zap.Error(err))
			continue
		}
		g.applyReload(newNode)
	}
}

// loadNewConfig reads the node's configuration. It only checks the limits file and the operators' file, as changes to them need a
// restart.
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

// applyReload applies the settings that can change without a restart: the addresses of the director and the counter, the classes,
// and the maximum number of attempts. It logs the keys of changed settings that need a restart.
func (g *gateway) applyReload(newNode *config.Node) {
	if newNode.Discovery != g.node.Discovery {
		g.discovery.Move(newNode.Discovery)
	}
	if newNode.Counter != g.node.Counter {
		g.counter.Move(newNode.Counter)
	}
	g.applyClassesAndAttempts(newNode)
	g.log.Info("new configuration", zap.String("discovery", newNode.Discovery), zap.String("counter", newNode.Counter),
		zap.Strings("needs_a_restart", g.node.KeysNeedingRestart(newNode)))
	g.node.Discovery = newNode.Discovery
	g.node.Counter = newNode.Counter
}

// applyClassesAndAttempts applies the classes and the maximum number of attempts of the new settings to new requests.
func (g *gateway) applyClassesAndAttempts(newNode *config.Node) {
	table := g.commands.ReloadClasses(newNode.Names.Classes, newNode.Settings.Classes)
	g.figures.AddClasses(table.Names())
	g.longestDeadline.Store(int64(newNode.LongestDeadline()))
	g.planner.SetMaxAttempts(newNode.Settings.MaxAttempts)
	g.log.Info("retuned", zap.Any("classes", table), zap.Int("attempts", newNode.Settings.MaxAttempts))
}
