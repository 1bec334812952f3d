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

// warmth takes over what the process before this one had learnt, and keeps what this one learns for the next. A folder
// that can't be used is no reason not to serve: then it starts cold, keeps nothing, and says so once.
type warmth struct {
	planner *core.Planner
	image   snapshot.Image // of these settings; what is learnt is copied into it
	writer  *snapshot.Writer
	every   time.Duration
	ailing  bool          // the last write failed, which was said
	ending  chan struct{} // closed by last
	ended   chan struct{} // closed when run ends
	log     *zap.Logger
}

// warmStart is nil where it is off: such a one does nothing. It has to be called before the planner runs.
func warmStart(n *config.Node, w config.WarmStart, classes []string, p *core.Planner, f *ops.Figures, log *zap.Logger) *warmth {
	if !w.Enabled(n.Inherited != 0) {
		return nil
	}
	dir := cmp.Or(w.Dir, n.Scratch)
	k := &warmth{planner: p, every: w.Every, log: log, ending: make(chan struct{}), ended: make(chan struct{}),
		image: snapshot.Of(n.Name, &n.Settings, classes, n.Names.Plans)}
	found, err := snapshot.Latest(dir, n.Name)
	if err != nil {
		log.Warn("no snapshots are kept, and the start is a cold one", zap.Error(err))
		return nil
	}
	loaded, rejected, age := 0, len(found.Rejected), time.Duration(0)
	for _, err := range found.Rejected {
		log.Warn("a snapshot was not taken", zap.Error(err))
	}
	if found.Image != nil {
		learnt, dropped, err := snapshot.Fit(found.Image, &k.image)
		if err == nil {
			if age = time.Since(p.Time(learnt.At)); warmstart.Trust(age.Seconds()) == 0 {
				err = fmt.Errorf("%s old", age)
			}
		}
		if err == nil {
			servers, customers := p.ImportState(learnt)
			log.Info("warm start", zap.Uint64("life", found.Life), zap.Uint64("number", found.Number),
				zap.Duration("age", age), zap.Int("servers", servers), zap.Int("customers", customers),
				zap.Int("of", len(learnt.Customers)), zap.Int("dropped", dropped))
			loaded = 1
		} else {
			log.Warn("a snapshot was not taken", zap.Error(err))
			rejected++
		}
	}
	f.Warm(loaded, rejected, age)
	if k.writer, err = snapshot.Claim(dir, n.Name, found.Generation); err != nil {
		log.Warn("no snapshots are kept", zap.Error(err))
		return nil
	}
	return k
}

// run keeps snapshots until the context ends, or last is called.
func (k *warmth) run(ctx context.Context) {
	if k == nil {
		return
	}
	defer close(k.ended)
	tick := time.NewTicker(k.every)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.ending:
			return
		case <-tick.C:
			k.keep()
		}
	}
}

// last ends run, as the files have one writer, and keeps a last snapshot, while the planner still runs.
func (k *warmth) last() {
	if k == nil {
		return
	}
	close(k.ending)
	<-k.ended
	k.keep()
}

// keep writes one snapshot.
func (k *warmth) keep() {
	err := k.planner.ExportState(&k.image.State, snapshot.MaxCustomers)
	if err == nil && k.image.State.At > 0 {
		_, err = k.writer.Write(&k.image)
	}
	if err != nil && !k.ailing {
		k.log.Warn("what is learnt can't be kept for the next process", zap.Error(err))
	} else if err == nil && k.ailing {
		k.log.Info("what is learnt is kept again")
	}
	k.ailing = err != nil
}
