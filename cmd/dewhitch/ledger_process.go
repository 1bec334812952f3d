package main

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/config"
	"dewhitch/internal/forward"
	"dewhitch/internal/front/platform"
	"dewhitch/internal/ledger"
	"dewhitch/internal/ledger/recorder"
	"dewhitch/internal/ledger/store"
	"dewhitch/internal/operator"
)

// overdueAfter is the time that a request, or a call to the counter, may be open after its own deadline before the ledger raises
// an alarm.
const overdueAfter = 5 * time.Second

// ledgerRecorder posts events of all parts of the process to the ledger. It is safe for concurrent use.
type ledgerRecorder interface {
	platform.Recorder
	forward.Recorder
}

// processLedger is the ledger of a running process, with its recorder and its store. Either may be off.
type processLedger struct {
	recorder ledgerRecorder     // discards all postings if the ledger is off
	active   *recorder.Recorder // the recorder that runs, or nil if the ledger is off
	store    *store.Store       // nil if the ledger is in memory only
	stop     context.CancelFunc
	running  sync.WaitGroup
}

// startLedger opens the ledger that the operators' file describes, and starts its recorder. If the ledger's folder can't be used,
// the process serves with the ledger in memory only.
func startLedger(operations *config.Operations, node, role string, names ledger.Names, log *zap.Logger) (*processLedger, error) {
	p := &processLedger{recorder: recorder.Discard{}, stop: func() {}}
	if !operations.Ledger.Enabled {
		return p, nil
	}
	limits := ledger.Limits{Rows: operations.Ledger.Rows, Open: operations.Ledger.Open, RecentPostings: operations.Ledger.RecentPostings}
	options := recorder.Options{Limits: limits, Names: names, OverdueAfter: overdueAfter, AuditInterval: operations.Ledger.AuditInterval,
		StatementInterval: operations.Ledger.StatementInterval, AlarmFile: operations.Ledger.AlarmFile, Log: log}
	storedLedger, storedNames := p.openStore(operations, node, role, limits, log)
	if p.store != nil {
		p.active = recorder.New(storedLedger, storedNames, p.store, options)
		p.active.CloseStatement() // makes the repair by the store durable before anything new is posted
	} else {
		p.active = recorder.New(ledger.New(limits, false), storedNames, nil, options)
	}
	p.recorder = p.active
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	p.running.Go(func() { _ = p.active.Run(ctx) })
	return p, nil
}

// openStore opens the ledger's folder, if one is configured, and returns the ledger and the names that it holds. p.store stays
// nil if the folder can't be used.
func (p *processLedger) openStore(operations *config.Operations, node, role string, limits ledger.Limits,
	log *zap.Logger) (*ledger.Ledger, ledger.Names) {
	if operations.Ledger.Dir == "" {
		return nil, ledger.Names{}
	}
	opened, storedLedger, names, recovery, err := store.Open(store.Options{Dir: operations.Ledger.Dir, Node: node, Role: role,
		SegmentBytes: operations.Ledger.SegmentBytes, Segments: operations.Ledger.Segments, Records: operations.Ledger.Records,
		Sync: operations.Ledger.Sync, Limits: limits, Log: log})
	if err != nil {
		log.Error("the ledger's folder can't be used: it is in memory only", zap.Error(err))
		return nil, ledger.Names{}
	}
	p.store = opened
	log.Info("the ledger is open", zap.Uint64("life", recovery.Incarnation), zap.Int("postings_replayed", recovery.Replayed),
		zap.Uint64("reqs_cut_off_by_crash", recovery.CutOffRequests))
	for _, note := range recovery.Notes {
		log.Error("the ledger could not keep everything", zap.String("note", note))
	}
	return storedLedger, names
}

// setTallyReader sets the function by which the ledger's audit reads the module's tallies.
func (p *processLedger) setTallyReader(read func(func(tally func(customer uint64) (units float64, known bool))) error) {
	if p.active != nil {
		p.active.SetTallyReader(read)
	}
}

// operatorParts returns the ledger's pages for the operators' listener. There are none if the ledger is off.
func (p *processLedger) operatorParts() []operator.Component {
	if p.active == nil {
		return nil
	}
	return []operator.Component{operator.Ledger(p.active, p.isDurable)}
}

// isDurable reports whether the ledger's figures survive the end of the process.
func (p *processLedger) isDurable() bool { return p.store != nil && p.store.LogIntact() }

// close stops the recorder and closes the store. It must be called after every part that posts has ended.
func (p *processLedger) close() {
	p.stop()
	p.running.Wait()
	if p.store != nil {
		p.active.DetachStore()
		p.store.Close()
	}
}
