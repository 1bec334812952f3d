// Package recorder connects the parts of a running gateway to the ledger: it numbers requests, keeps the names of plans and
// classes, adds the time to postings, audits the ledger at intervals (one second by default), and raises and clears alarms. It
// owns the only ledger.Ledger of the process. Post passes each posting to the store and appends it to a queue, under a lock that
// is never held for long. The queue is added to the ledger in batches. The recorder makes no decision on requests, and delays
// them only by that lock and, if Run is too slow, by draining the queue in Post.
package recorder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/ledger"
)

// Store makes the ledger durable. Append and EndPeriod are called under the lock of the recorder's queue, and must neither block
// nor fail. CloseStatement calls Stage, under the lock mu, and Commit, without locks.
type Store interface {
	Append(ledger.Posting)
	// EndPeriod ends a period: postings that are appended later belong to the next one.
	EndPeriod()
	// Stage takes the statement of the period that EndPeriod ended.
	Stage(ledger.Statement)
	// Commit makes the staged statements durable. It may block. After an error they stay staged for the next call.
	Commit(ledger.Names) error
}

// Options configure a Recorder.
type Options struct {
	Limits            ledger.Limits
	Names             ledger.Names  // names of the plans and classes in the settings; callers of Row pass their indexes
	OverdueAfter      time.Duration // time after the client stopped waiting at which an open entry is a mismatch
	AuditInterval     time.Duration // time between two audits
	StatementInterval time.Duration // time between two statements, if there is a store
	AlarmFile         string        // path of the alarm file (JSON lines); no file is written if empty
	Log               *zap.Logger
}

// Limits of the recorder, and the name that stands in for names beyond them.
const (
	auditsPerFullAudit = 4     // interval of audits of all rows: every fourth audit by Run
	maxNames           = 200   // maximum number of plan names, and also of class names
	alarmPostings      = 32    // maximum number of recent postings to a row that its alarm shows
	maxAlarms          = 256   // maximum number of active alarms; further mismatches raise none
	wakeQueueLength    = 1024  // length of the queue at which Post wakes Run to drain the queue
	maxQueueLength     = 65536 // length of the queue from which Post drains the queue without waiting for Run
	Overflow           = "…"   // name of plans and classes beyond maxNames, and of those with invalid names
	maxNameBytes       = 64    // maximum length of a name in bytes
)

// Recorder records the postings of one gateway. Its methods may be called from any goroutine, but Run must be called only
// once, and other callers must not call CloseStatement while Run or another CloseStatement is running.
type Recorder struct {
	options Options
	// startTime is the base of all times, to which the elapsed time of the monotonic clock is added: a step of the system's
	// clock must not make an open request look overdue, or hide an overdue one.
	startTime time.Time

	lastRef atomic.Uint64 // last reference that Ref returned

	// queueMu guards store, queue and lastTime. It is held only to append one posting, to swap the buffers and end a
	// period, or to detach the store. Postings are queued because adding a batch to the ledger costs a fraction of adding its
	// postings one by one.
	queueMu    sync.Mutex
	store      Store            // nil without a store, and after DetachStore
	queue      []ledger.Posting // postings that are not in the ledger yet
	spareQueue []ledger.Posting // buffer that drainQueue swaps with queue; guarded by mu
	lastTime   int64            // time of the last timed posting, in Unix nanoseconds
	wake       chan struct{}    // wakes Run to drain the queue

	// mu guards the ledger, the names, the alarms and the results of checks. Where both are needed, mu is locked before queueMu.
	mu           sync.Mutex
	ledger       *ledger.Ledger
	names        ledger.Names
	planNumbers  []int16             // numbers of the settings' plans, by their index there
	classNumbers []int16             // numbers of the settings' classes, by their index there
	numberByName [2]map[string]int16 // numbers by name, of plans and of classes

	alarms            map[alarmKey]bool // active alarms
	raised            atomic.Uint64     // number of alarms raised since the start
	cleared           atomic.Uint64     // number of alarms cleared since the start
	auditCount        int               // number of audits by Run; only Run uses it
	tallyReader       atomic.Pointer[func(func(tally func(uint64) (float64, bool))) error]
	accountMismatches []ledger.Mismatch   // mismatches found in accounts since the last audit
	checkedAccounts   map[ledger.Key]bool // accounts whose tallies were checked since the last audit
}

// New returns a recorder for a ledger, which may already contain figures. known holds the names of the plan and class numbers in
// its keys. The store may be nil.
func New(l *ledger.Ledger, known ledger.Names, store Store, o Options) *Recorder {
	rec := &Recorder{options: o, startTime: time.Now(), ledger: l, store: store, wake: make(chan struct{}, 1), names: known, alarms: map[alarmKey]bool{}, checkedAccounts: map[ledger.Key]bool{}}
	for i, names := range [2][]string{known.Plans, known.Classes} {
		rec.numberByName[i] = map[string]int16{}
		for n, s := range names {
			rec.numberByName[i][s] = int16(n)
		}
	}
	for _, s := range o.Names.Plans {
		rec.planNumbers = append(rec.planNumbers, rec.intern(0, &rec.names.Plans, s))
	}
	for _, s := range o.Names.Classes {
		rec.classNumbers = append(rec.classNumbers, rec.intern(1, &rec.names.Classes, s))
	}
	return rec
}

// DetachStore detaches the store after Run has ended, so that it can be closed. Later postings, such as those of an attempt whose
// result is not awaited, are not stored.
func (rec *Recorder) DetachStore() {
	rec.queueMu.Lock()
	defer rec.queueMu.Unlock()
	rec.store = nil
}

// SetTallyReader sets the function that reads the decision module's tallies: read calls f with a function that returns a
// customer's tally, at a time when no units can be drawn, or returns an error.
func (rec *Recorder) SetTallyReader(read func(f func(tally func(uint64) (float64, bool))) error) {
	rec.tallyReader.Store(&read)
}

// Run drains the queue, audits the ledger and commits statements at their intervals until the context ends, and then audits and
// commits once more. It always returns nil.
func (rec *Recorder) Run(ctx context.Context) error {
	audit := time.NewTicker(rec.options.AuditInterval)
	defer audit.Stop()
	var statements <-chan time.Time
	if rec.store != nil {
		t := time.NewTicker(rec.options.StatementInterval)
		defer t.Stop()
		statements = t.C
	}
	for {
		select {
		case <-ctx.Done():
			rec.Audit(true)
			rec.CloseStatement()
			return nil
		case <-audit.C:
			rec.auditTallies()
			rec.auditCount++
			rec.Audit(rec.auditCount%auditsPerFullAudit == 0)
		case <-statements:
			rec.CloseStatement()
		case <-rec.wake:
			rec.lockAndDrainQueue()
		}
	}
}

// Ref returns a new reference for a request or a counter call.
func (rec *Recorder) Ref() uint64 { return rec.lastRef.Add(1) }
