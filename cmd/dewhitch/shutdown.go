package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/front"
	"dewhitch/internal/shutdown"
)

// terminationSignals returns a channel of the signals that end the process.
func terminationSignals() <-chan os.Signal {
	terminate := make(chan os.Signal, 1)
	signal.Notify(terminate, syscall.SIGTERM, syscall.SIGINT)
	return terminate
}

// hangUpSignals returns a channel of SIGHUP, which operators send to all processes. An unhandled SIGHUP would end the process.
func hangUpSignals() <-chan os.Signal {
	hangUp := make(chan os.Signal, 1)
	signal.Notify(hangUp, syscall.SIGHUP)
	return hangUp
}

// awaitShutdown waits for a signal and then calls startShutdown, which plans and starts the graceful shutdown. It returns at the
// time from which the plan accepts no new connections, or when the context ends.
func awaitShutdown(ctx context.Context, terminate <-chan os.Signal, log *zap.Logger,
	startShutdown func(signalledAt time.Time) shutdown.Plan) {
	select {
	case <-ctx.Done():
		return
	case sig := <-terminate:
		signalledAt := time.Now()
		plan := startShutdown(signalledAt)
		log.Info("ending", zap.Stringer("signal", sig), zap.Duration("takes_for", plan.AcceptUntil.Sub(signalledAt)),
			zap.Duration("answers_within", plan.AnswerBy.Sub(signalledAt)),
			zap.Duration("closes_within", plan.CloseBy.Sub(signalledAt)))
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(plan.AcceptUntil)):
		}
	}
}

// sessionTimes returns the times of a plan for client sessions: a command that arrives after the time of the last answers can't be
// carried out.
func sessionTimes(plan shutdown.Plan) front.ShutdownTimes {
	return front.ShutdownTimes{CommandsBy: plan.AnswerBy, CloseBy: plan.CloseBy}
}

// shutDown starts the graceful shutdown of the gateway: the gateway is no longer ready, all requests are answered by
// plan.AnswerBy, and sessions are closed by plan.CloseBy.
func (g *gateway) shutDown(signalledAt time.Time) shutdown.Plan {
	plan := shutdown.New(signalledAt, time.Duration(g.longestDeadline.Load()))
	g.state.End()
	for _, s := range g.servers {
		s.ShutDownBy(sessionTimes(plan))
	}
	if err := g.planner.Shutdown(plan.AnswerBy); err != nil {
		g.log.Warn("the planner could not be notified of the shutdown: requests are answered by their own deadlines only", zap.Error(err))
	}
	return plan
}
