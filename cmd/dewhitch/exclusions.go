package main

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/config"
	"dewhitch/internal/core"
	"dewhitch/internal/discovery"
	"dewhitch/internal/handover"
)

// exclusionsWriteRetry is the time from a failed write of the exclusions to the next attempt.
const exclusionsWriteRetry = 200 * time.Millisecond

// exclusionHandover restores the exclusions of the process before this one, and writes this process's for the next one. A
// failed write is retried until it succeeds, as a server that operators excluded must stay so in the next process, even if the
// disk was full at the time of the call. What run uses belongs to its goroutine: the planner may not wait for a disk.
type exclusionHandover struct {
	path    string
	planner *core.Planner
	decoder *discovery.Decoder
	log     *zap.Logger
	latest  chan []dw.ServerID // the newest exclusions only

	unsaved    *handover.State  // nil: all is saved
	retryTimer <-chan time.Time // nil: the last write did not fail
}

// newExclusionHandover has the planner pass on its exclusions; before the planner runs. The planner never blocks on the
// channel, as it alone sends there, and takes an older value out first.
func newExclusionHandover(node *config.Node, planner *core.Planner, decoder *discovery.Decoder, log *zap.Logger) *exclusionHandover {
	h := &exclusionHandover{path: handover.Path(node.Scratch, node.Name), planner: planner, decoder: decoder, log: log,
		latest: make(chan []dw.ServerID, 1)}
	planner.OnExcluded(func(ids []dw.ServerID) {
		select {
		case <-h.latest:
		default:
		}
		h.latest <- ids
	})
	return h
}

// run restores the exclusions, and then writes each new list of them until the context ends, the last one before it returns.
func (h *exclusionHandover) run(ctx context.Context) {
	if err := h.restore(); err != nil {
		return
	}
	for {
		select {
		case ids := <-h.latest:
			h.unsaved = newHandoverState(ids)
			h.save()
		case <-h.retryTimer:
			h.save()
		case <-ctx.Done():
			h.saveLast()
			return
		}
	}
}

// restore passes the planner what the process before this one has written; a file that can't be read is passed over. It fails
// with core.ErrStopped only.
func (h *exclusionHandover) restore() error {
	state, err := handover.Load(h.path)
	if errors.Is(err, handover.ErrNone) {
		return nil
	}
	if err != nil {
		h.log.Warn("what the process before left is not taken", zap.Error(err))
		return nil
	}
	var ids []dw.ServerID
	for _, text := range state.Excluded {
		if id, known := h.decoder.Lookup(text); known {
			ids = append(ids, id)
		}
	}
	if err := h.planner.RestoreExclusions(ids); err != nil {
		return err
	}
	h.log.Info("exclusions taken over", zap.Strings("servers", state.Excluded))
	return nil
}

// saveLast writes what is left to write when the process ends.
func (h *exclusionHandover) saveLast() {
	select {
	case ids := <-h.latest:
		h.unsaved = newHandoverState(ids)
	default:
	}
	if h.unsaved != nil {
		h.save()
	}
}

// save writes what is unsaved, and schedules a retry if that fails. Only the first failure and the end of it are logged.
func (h *exclusionHandover) save() {
	failedBefore := h.retryTimer != nil
	if err := handover.Save(h.path, *h.unsaved); err != nil {
		if !failedBefore {
			h.log.Warn("exclusions are not written for the next process yet; tried again", zap.Error(err))
		}
		h.retryTimer = time.After(exclusionsWriteRetry)
		return
	}
	if failedBefore {
		h.log.Info("exclusions are written again")
	}
	h.retryTimer = nil
	h.unsaved = nil
}

// newHandoverState is the handover file's form of server ids, which is discovery's.
func newHandoverState(ids []dw.ServerID) *handover.State {
	state := &handover.State{Excluded: make([]string, len(ids))}
	for i, id := range ids {
		state.Excluded[i] = fmt.Sprintf("s-%08x", uint32(id))
	}
	return state
}
