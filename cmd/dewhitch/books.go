package main

import (
	"context"
	"fmt"
	"net"
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

// books are all that the parts of the program need of the desk.
type books interface {
	platform.Books
	forward.Recorder
}

// bookPatience is how long beyond its own deadline a req, or a call to the counter, may be open before that is an alarm.
const bookPatience = 5 * time.Second

// keeping is the ledger of a running program: the desk, its store and the operators' listener, each perhaps off.
type keeping struct {
	books books
	desk  *recorder.Recorder // nil: no books are kept
	store *store.Store       // nil: they are kept in memory alone
	stop  context.CancelFunc
	done  sync.WaitGroup
}

// keepBooks opens the books as the operators' file says. A folder that can't be used is no reason not to serve.
func keepBooks(o *config.Operations, node, role string, names ledger.Names, log *zap.Logger) (*keeping, error) {
	k := &keeping{books: recorder.Discard{}, stop: func() {}}
	if !o.Ledger.Enabled {
		return k, nil
	}
	limits := ledger.Limits{Rows: o.Ledger.Rows, Open: o.Ledger.Open, Flight: o.Ledger.Flight}
	var known ledger.Names
	var l *ledger.Ledger
	if o.Ledger.Dir != "" {
		s, kept, its, found, err := store.Open(store.Options{Dir: o.Ledger.Dir, Node: node, Role: role,
			SegmentBytes: o.Ledger.SegmentBytes, Segments: o.Ledger.Segments, Records: o.Ledger.Records, Sync: o.Ledger.Sync,
			Limits: limits, Log: log})
		if err != nil {
			log.Error("the ledger's folder can't be used: figures end with this process", zap.Error(err))
		} else {
			k.store, l, known = s, kept, its
			log.Info("the ledger goes on", zap.Uint64("life", found.Life), zap.Int("postings_replayed", found.Replayed),
				zap.Uint64("reqs_cut_off_by_crash", found.Reqs))
			for _, note := range found.Notes {
				log.Error("the ledger could not keep everything", zap.String("note", note))
			}
		}
	}
	options := recorder.Options{Limits: limits, Names: names, Patience: bookPatience, Audit: o.Ledger.Audit,
		Statement: o.Ledger.Statement, AlarmFile: o.Ledger.AlarmFile, Log: log}
	if k.store != nil {
		k.desk = recorder.New(l, known, k.store, options)
		k.desk.State() // the repair is on the disk before anything new is booked
	} else {
		k.desk = recorder.New(ledger.New(limits, false), known, nil, options)
	}
	k.books = k.desk
	ctx, stop := context.WithCancel(context.Background())
	k.stop = stop
	k.done.Go(func() { _ = k.desk.Run(ctx) })
	return k, nil
}

// shows are the books' part of the operators' listener, if there are any.
func (k *keeping) shows() []operator.Part {
	if k.desk == nil {
		return nil
	}
	return []operator.Part{operator.Ledger(k.desk, k.lasting)}
}

// shown runs the operators' listener, until the context ends; nil: there is none.
func shown(o *config.Operations, parts []operator.Part, log *zap.Logger) (part, error) {
	if o.Operator.Listen == "" {
		return nil, nil
	}
	l, err := net.Listen("tcp", o.Operator.Listen)
	if err != nil {
		return nil, fmt.Errorf("configuration: operator.listen: %w", err)
	}
	return func(ctx context.Context) error {
		if err := operator.Serve(ctx, l, parts...); err != nil {
			log.Error("the operators' listener ended", zap.Error(err))
		}
		return nil
	}, nil
}

func (k *keeping) lasting() bool { return k.store != nil && k.store.Kept() }

// close ends the books, after all that posts to them has ended.
func (k *keeping) close() {
	k.stop()
	k.done.Wait()
	if k.store != nil {
		k.desk.Release()
		k.store.Close()
	}
}
