package agent

import (
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/fleet"
)

const (
	writeRetryInterval   = logTick          // after a write failed
	writeErrorLogPeriod  = 10 * time.Second // between two log lines about failing writes
	slowWriteLogDuration = 100 * time.Millisecond
)

// store is a voter's stable storage. Save is atomic.
type store interface {
	Save(fleet.StorageUpdate) error
	Close() error
}

// storageWriter writes one update at a time, each on a goroutine of its own. A disk may take seconds to sync,
// and a member that waited for it would miss plans, answer no status, and lose its lease or its lead. What
// the voter must not send before a write is complete waits inside the node.
type storageWriter struct {
	store    store // nil: nothing is stored
	results  chan writeResult
	writing  bool
	failedAt time.Time // of the last write; zero: it succeeded
	loggedAt time.Time // when a failure was logged last
	log      *zap.Logger
}

type writeResult struct {
	update  fleet.StorageUpdate
	err     error
	elapsed time.Duration
}

// begin starts a write, unless one is under way or failed just now.
func (w *storageWriter) begin(u fleet.StorageUpdate) {
	if w.writing || w.halted() && time.Since(w.failedAt) < writeRetryInterval {
		return
	}
	w.writing = true
	go func() {
		started := time.Now()
		err := w.store.Save(u)
		w.results <- writeResult{u, err, time.Since(started)}
	}()
}

// finish records the end of a write, and reports whether it succeeded.
func (w *storageWriter) finish(r writeResult) bool {
	w.writing = false
	if r.elapsed >= slowWriteLogDuration {
		w.log.Info("fleet: the folder is slow", zap.Duration("took", r.elapsed))
	}
	if r.err != nil {
		w.failedAt = time.Now()
		if w.failedAt.Sub(w.loggedAt) > writeErrorLogPeriod {
			w.loggedAt = w.failedAt
			w.log.Error("the fleet's folder can't be written to: this voter is halted, and serves on", zap.Error(r.err))
		}
		return false
	}
	if w.halted() {
		w.failedAt = time.Time{}
		w.loggedAt = time.Time{}
		w.log.Info("the fleet's folder can be written to again")
	}
	return true
}

// halted tells whether the last write failed: the voter takes no part in the log until one succeeds.
func (w *storageWriter) halted() bool { return !w.failedAt.IsZero() }

// close waits for a write that is under way, and closes the store.
func (w *storageWriter) close() {
	if w.writing {
		<-w.results
	}
	if w.store != nil {
		w.store.Close()
	}
}

// persist begins to write what the node needs stored; without a store it counts as stored at once.
func (a *Agent) persist() {
	for {
		u, pending := a.node.PendingStorage()
		if !pending {
			return
		}
		if a.storage.store != nil {
			a.storage.begin(u)
			return
		}
		a.node.Persisted()
	}
}

// finishWrite tells the node of a write, unless the node needs another one by now: then that has to be
// written in its turn. A write that failed is repeated by persist.
func (a *Agent) finishWrite(r writeResult) {
	if !a.storage.finish(r) {
		return
	}
	if u, pending := a.node.PendingStorage(); pending && u.Equal(r.update) {
		a.node.Persisted()
	}
}
