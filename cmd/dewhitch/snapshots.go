package main

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/config"
	"dewhitch/internal/core"
	"dewhitch/internal/ops"
	"dewhitch/internal/snapshot"
	"dewhitch/internal/warmstart"
)

// snapshotKeeper writes snapshots of the decision module's state for the next process. A nil snapshotKeeper writes none; it
// stands for a gateway whose warm start is off or whose snapshot folder can't be used.
type snapshotKeeper struct {
	planner   *core.Planner
	image     snapshot.Image // settings of this process; the state is copied into it for each write
	writer    *snapshot.Writer
	interval  time.Duration
	customers int           // maximum number of customers in a snapshot
	failing   bool          // true if the latest write failed; a further failure is then not logged
	stop      chan struct{} // closed by writeLast to end run
	stopped   chan struct{} // closed when run has ended
	log       *zap.Logger
}

// openSnapshots imports the newest snapshot of an earlier process and claims the files for this process's snapshots. It must be
// called before the planner runs. It returns nil if warm start is off or the folder can't be used.
func openSnapshots(node *config.Node, warm config.WarmStart, classes []string, planner *core.Planner, figures *ops.Figures,
	log *zap.Logger) *snapshotKeeper {
	if !warm.Enabled(node.InheritedFD != 0) {
		return nil
	}
	k := &snapshotKeeper{
		planner:   planner,
		image:     snapshot.NewImage(node.Name, &node.Settings, classes, node.Names.Plans),
		interval:  warm.Interval,
		customers: min(snapshot.MaxCustomers, snapshotCustomers(int64(node.MemoryMB)<<20)),
		stop:      make(chan struct{}),
		stopped:   make(chan struct{}),
		log:       log,
	}
	dir := cmp.Or(warm.Dir, node.TempDir)
	found, err := snapshot.Latest(dir, node.Name)
	if err != nil {
		log.Warn("the snapshots' folder can't be read: this process starts cold and keeps no snapshots", zap.Error(err))
		return nil
	}
	k.importSnapshot(found, figures)
	if k.writer, err = snapshot.Claim(dir, node.Name, found.Generation); err != nil {
		log.Warn("the snapshots' files can't be claimed: no snapshots are kept", zap.Error(err))
		return nil
	}
	return k
}

// importSnapshot imports the snapshot that was found, if there is one and it may be used. It reports the numbers of loaded and
// rejected snapshots to the figures.
func (k *snapshotKeeper) importSnapshot(found snapshot.Found, figures *ops.Figures) {
	for _, err := range found.Rejected {
		k.log.Warn("a snapshot was not taken", zap.Error(err))
	}
	loaded, rejected := 0, len(found.Rejected)
	var age time.Duration
	if found.Image != nil {
		var err error
		if age, err = k.importState(found); err == nil {
			loaded = 1
		} else {
			k.log.Warn("a snapshot was not taken", zap.Error(err))
			rejected++
		}
	}
	figures.SetSnapshots(loaded, rejected, age)
}

// importState converts a snapshot's state to the settings of this process and imports it. It fails if the state can't be
// converted or is too old to be trusted. It returns the state's age, or 0 if the state can't be converted.
func (k *snapshotKeeper) importState(found snapshot.Found) (age time.Duration, err error) {
	state, dropped, err := snapshot.Fit(found.Image, &k.image)
	if err != nil {
		return 0, err
	}
	age = time.Since(k.planner.Time(state.At))
	if warmstart.Trust(age.Seconds()) == 0 {
		return age, fmt.Errorf("its state is %s old, too old to be trusted", age)
	}
	servers, customers := k.planner.ImportState(state)
	k.log.Info("warm start", zap.Uint64("life", found.Incarnation), zap.Uint64("number", found.Number), zap.Duration("age", age),
		zap.Int("servers", servers), zap.Int("customers", customers), zap.Int("of", len(state.Customers)),
		zap.Int("dropped", dropped))
	return age, nil
}

// run writes a snapshot at each interval until the context ends or writeLast is called.
func (k *snapshotKeeper) run(ctx context.Context) {
	if k == nil {
		return
	}
	defer close(k.stopped)
	ticker := time.NewTicker(k.interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.stop:
			return
		case <-ticker.C:
			k.write()
		}
	}
}

// writeLast ends run and then writes a last snapshot itself, so that there is only one writer of the files at a time. It must be
// called once, while the planner still runs.
func (k *snapshotKeeper) writeLast() {
	if k == nil {
		return
	}
	close(k.stop)
	<-k.stopped
	k.write()
}

// write writes one snapshot. It writes none before the decision module has handled an event. It logs only the first of consecutive
// failures, and the first successful write after them.
func (k *snapshotKeeper) write() {
	err := k.planner.ExportState(&k.image.State, k.customers)
	if err == nil && k.image.State.At > 0 {
		_, err = k.writer.Write(&k.image)
	}
	if err != nil && !k.failing {
		k.log.Warn("what is learnt can't be kept for the next process", zap.Error(err))
	} else if err == nil && k.failing {
		k.log.Info("snapshots are written again")
	}
	k.failing = err != nil
}
