package exclusions

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/handover"
)

// Intervals of Run.
const (
	followInterval = 50 * time.Millisecond  // time between two reads of the record; excluded servers may get work for 0.5 s
	writeRetry     = 200 * time.Millisecond // time between a failed write of the record and the next attempt
)

// Run restores the exclusions of the record, follows it, and writes changes to it, until the context ends. It writes what is not
// recorded yet before it returns. It must be called once.
func (k *Keeper) Run(ctx context.Context) error {
	defer k.locks.Close()
	k.follow()
	ticker := time.NewTicker(followInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			k.stop()
			return nil
		case <-k.kick:
			k.write()
		case <-ticker.C:
			k.follow()
			if k.retryDue() {
				k.write()
			}
		}
	}
}

// follow reads the record, and applies the changes of other processes to this one.
func (k *Keeper) follow() {
	// Checked before the read, so that what others had confirmed is then in what is read.
	othersUnrecorded := !k.isRestored() && k.locks.OthersUnrecorded()
	k.locks.Refresh()
	changed, err := k.record.Read()
	k.logRead(changed, err)
	k.mu.Lock()
	k.stale = k.record.Stale()
	k.updateUnrecorded()
	if changed || k.unresolved {
		k.apply()
	}
	k.mu.Unlock()
	if k.isRestored() {
		return
	}
	// What can't be read is written again by a process that knows the exclusions, if there is one.
	unreadable := err != nil && !errors.Is(err, handover.ErrNone) && k.locks.OthersRunning()
	if !othersUnrecorded && !unreadable {
		close(k.restored)
	} else if !k.waitLogged {
		k.waitLogged = true
		k.log.Warn("another process has exclusions that are not in the file yet: this one waits for them before it serves")
	}
}

func (k *Keeper) isRestored() bool {
	select {
	case <-k.restored:
		return true
	default:
		return false
	}
}

// logRead logs the first read, each change, and the first of consecutive equal errors.
func (k *Keeper) logRead(changed bool, err error) {
	state := k.record.State()
	switch {
	case errors.Is(err, handover.ErrNone):
		if !k.isRestored() && !k.waitLogged {
			k.log.Info("no exclusions of a previous process were found")
		}
	case err != nil:
		if k.readError != err.Error() {
			k.log.Warn("what the process before left is not taken", zap.Error(err))
		}
		k.readError = err.Error()
		return
	case changed && !k.isRestored():
		k.log.Info("exclusions of the previous process restored", zap.Strings("servers", state.Excluded),
			zap.Uint64("revision", state.Revision))
	case changed:
		k.log.Info("exclusions of another process read", zap.Strings("servers", state.Excluded), zap.Uint64("revision", state.Revision))
	}
	k.readError = ""
}

// apply passes the exclusions in force to the planner, after a change of the record or of the changes to it. It runs on Run's
// goroutine. The caller holds mu.
func (k *Keeper) apply() {
	clear(k.recorded)
	for _, id := range k.record.State().Excluded {
		k.recorded[id] = true
	}
	k.applyInForce()
}

// applyInForce passes the exclusions in force to the planner. The caller holds mu.
func (k *Keeper) applyInForce() {
	var ids []dw.ServerID
	k.unresolved = false
	for _, id := range k.idsInForce() {
		if server, known := k.lookup(id); known {
			ids = append(ids, server)
		} else {
			k.unresolved = true
		}
	}
	_ = k.planner.ReplaceExclusions(ids) // fails only when the process ends
}

// idsInForce returns the servers that are excluded in this process. The caller holds mu.
func (k *Keeper) idsInForce() []string {
	candidates := maps.Clone(k.recorded)
	for id := range k.confirmed {
		candidates[id] = true
	}
	for id := range k.waiting {
		candidates[id] = true
	}
	maps.DeleteFunc(candidates, func(id string, _ bool) bool { return !k.inForce(id) })
	return slices.Sorted(maps.Keys(candidates))
}

// retryDue reports whether there is something to write, and the last failure is long enough ago.
func (k *Keeper) retryDue() bool {
	if time.Since(k.writeFailedAt) < writeRetry {
		return false
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.stale || len(k.confirmed) > 0 || len(k.waiting) > 0
}

// write records the changes that are not recorded yet, and answers their callers.
func (k *Keeper) write() {
	changes := k.unrecordedChanges()
	if len(changes) == 0 && !k.record.Stale() {
		return
	}
	revision := k.record.State().Revision
	err := k.record.Update(changes)
	k.logWrite(err, k.record.State().Revision != revision)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.stale = k.record.Stale()
	if err != nil {
		k.failWaiting(err)
	} else {
		k.completeWritten(changes)
	}
	k.updateUnrecorded()
	k.apply()
}

// unrecordedChanges returns the changes that are to be recorded.
func (k *Keeper) unrecordedChanges() handover.Changes {
	k.mu.Lock()
	defer k.mu.Unlock()
	changes := maps.Clone(k.confirmed)
	for id, w := range k.waiting {
		changes[id] = w.excluded
	}
	return changes
}

// completeWritten answers the callers whose changes were written. A change that was replaced during the write is to be written
// still. The caller holds mu.
func (k *Keeper) completeWritten(written handover.Changes) {
	for id, excluded := range written {
		if w := k.waiting[id]; w != nil && w.excluded == excluded {
			w.answer(nil)
			delete(k.waiting, id)
			delete(k.confirmed, id) // an older change of the same server
		}
		if confirmed, found := k.confirmed[id]; found && confirmed == excluded {
			delete(k.confirmed, id)
		}
	}
	if len(k.waiting) > 0 {
		k.kickWriter()
	}
}

// failWaiting ends the wait of all callers after a failed write. If no other process runs, their changes are confirmed, and
// recorded later. The caller holds mu.
func (k *Keeper) failWaiting(err error) {
	if len(k.waiting) == 0 {
		return
	}
	mayConfirm := k.mayConfirmUnrecorded()
	for id, w := range k.waiting {
		if mayConfirm {
			k.confirmed[id] = w.excluded
			w.answer(nil)
		} else {
			w.answer(fmt.Errorf("%w (%w)", ErrRecordFailed, err))
		}
	}
	clear(k.waiting)
}

// logWrite logs each successful write that changed the record, and the first of consecutive failures.
func (k *Keeper) logWrite(err error, changed bool) {
	failedBefore := !k.writeFailedAt.IsZero()
	if err != nil {
		if !failedBefore {
			k.log.Warn("exclusions are not written for the next process yet: retrying", zap.Error(err))
		}
		k.writeFailedAt = time.Now()
		return
	}
	k.writeFailedAt = time.Time{}
	if failedBefore {
		k.log.Info("exclusions are written again")
	}
	if !changed {
		return
	}
	state := k.record.State()
	k.log.Info("exclusions written", zap.Strings("servers", state.Excluded), zap.Uint64("revision", state.Revision))
}

// stop ends the calls and writes what is not recorded yet. A failed write is not retried.
func (k *Keeper) stop() {
	k.mu.Lock()
	k.stopped = true
	k.mu.Unlock()
	k.write()
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.confirmed) > 0 {
		k.log.Error("exclusions that were not written are lost with this process", zap.Any("changes", k.confirmed))
	}
	for _, w := range k.waiting {
		w.answer(core.ErrStopped)
	}
	clear(k.waiting)
}
