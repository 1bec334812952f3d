package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/admin"
	"dewhitch/internal/config"
	"dewhitch/internal/core"
	"dewhitch/internal/discovery"
	"dewhitch/internal/front"
	"dewhitch/internal/handover"
	"dewhitch/internal/ops"
	"dewhitch/internal/telemetry"
)

// operated is what the operators' calls reach: the gateway's state and figures, its planner and its fronts.
type operated struct {
	state   *ops.State
	figures *ops.Figures
	metrics *telemetry.Metrics
	planner *core.Planner
	decoder *discovery.Decoder
	log     *zap.Logger
}

func (o *operated) Ready() bool { return o.state.Ready() }
func (o *operated) AppendTelemetry(b []byte) []byte {
	return o.figures.AppendJSON(b, o.metrics.AppendFields)
}
func (o *operated) Exclude(id string) error { return o.exclude(id, true) }
func (o *operated) Include(id string) error { return o.exclude(id, false) }
func (o *operated) Drain(on bool) {
	if o.state.Drained() != on {
		o.log.Info("operators' call", zap.Bool("drained", on))
	}
	o.state.Drain(on)
}
func (o *operated) drains(servers []*front.Server) {
	o.state.Watch(func(on bool) { drainAll(servers, on) })
}
func drainAll(servers []*front.Server, on bool) {
	for _, s := range servers {
		s.Drain(on)
	}
}

func (o *operated) exclude(id string, out bool) error {
	n, ok := o.decoder.Lookup(id)
	if !ok {
		return core.ErrUnknownServer
	}
	var err error
	if out {
		err = o.planner.Exclude(n)
	} else {
		err = o.planner.Include(n)
	}
	if err == nil {
		o.log.Info("operators' call", zap.String("server", id), zap.Bool("excluded", out))
	}
	return err
}

// handOver takes over the exclusions that the process before left, and keeps this process's for the next one. The
// file is written on a goroutine of its own: the planner tells it the ids, and may not wait for a disk.
func (o *operated) handOver(ctx context.Context, n *config.Node, latest chan []dw.ServerID) {
	path := handover.Path(n.Scratch, n.Name)
	s, err := handover.Load(path)
	switch {
	case errors.Is(err, handover.ErrNone):
	case err != nil:
		o.log.Warn("what the process before left is not taken", zap.Error(err))
	default:
		var ids []dw.ServerID
		for _, id := range s.Excluded {
			if n, ok := o.decoder.Lookup(id); ok {
				ids = append(ids, n)
			}
		}
		if err := o.planner.RestoreExclusions(ids); err != nil {
			return
		}
		o.log.Info("exclusions taken over", zap.Strings("servers", s.Excluded))
	}
	o.keepExclusions(ctx, path, latest)
}

// keepRetry is the time between two tries to write a file that could not be written.
const keepRetry = 200 * time.Millisecond

// keepExclusions writes the newest exclusions until the context ends. Danger: a server that operators excluded must stay so
// in the process that replaces this one, also if the disk was full when they said it: a write that failed is tried again.
func (o *operated) keepExclusions(ctx context.Context, path string, latest <-chan []dw.ServerID) {
	var unsaved *handover.State // nil: all is saved
	var retry <-chan time.Time  // nil: nothing has failed
	save := func() {
		err := handover.Save(path, *unsaved)
		switch {
		case err == nil && retry != nil:
			o.log.Info("exclusions are written again")
		case err != nil && retry == nil:
			o.log.Warn("exclusions are not written for the next process yet; tried again", zap.Error(err))
		}
		if retry = nil; err != nil {
			retry = time.After(keepRetry)
			return
		}
		unsaved = nil
	}
	for {
		select {
		case <-ctx.Done():
			select {
			case ids := <-latest:
				unsaved = exclusionState(ids)
			default:
			}
			if unsaved != nil {
				save()
			}
			return
		case ids := <-latest:
			unsaved = exclusionState(ids)
			save()
		case <-retry:
			save()
		}
	}
}

func exclusionState(ids []dw.ServerID) *handover.State {
	s := &handover.State{Excluded: make([]string, len(ids))}
	for i, id := range ids {
		s.Excluded[i] = fmt.Sprintf("s-%08x", uint32(id))
	}
	return s
}

// exclusions has the planner tell its exclusions, the latest only, to handOver; before the planner runs.
func (o *operated) exclusions() chan []dw.ServerID {
	latest := make(chan []dw.ServerID, 1)
	o.planner.OnExcluded(func(ids []dw.ServerID) {
		select {
		case <-latest: // an older one that was not written yet
		default:
		}
		latest <- ids
	})
	return latest
}

// listen opens the clients' address, or takes the socket that the platform handed down.
func listen(n *config.Node) (net.Listener, error) {
	if n.Inherited == 0 {
		l, err := net.Listen("tcp", n.Listen)
		if err != nil {
			return nil, fmt.Errorf("configuration: listen (NODE_LISTEN): %w", err)
		}
		return l, nil
	}
	f := os.NewFile(uintptr(n.Inherited), "clients")
	defer f.Close() // the listener holds a copy of its own
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("configuration: NODE_FD: descriptor %d: %w", n.Inherited, err)
	}
	return l, nil
}

// operators opens the operators' address, if there is one.
func operators(n *config.Node, o *operated) (*admin.Server, error) {
	if n.Admin == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", n.Admin)
	if err != nil {
		return nil, fmt.Errorf("configuration: admin (NODE_ADMIN): %w", err)
	}
	return &admin.Server{Listener: l, Gateway: o, Log: o.log}, nil
}
