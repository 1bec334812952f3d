// Package recorder is where the parts of a running gateway post to the ledger: it numbers requests, keeps the names of plans and
// classes, puts the time on postings, audits the books every second, and raises and clears alarms. It owns the one
// ledger.Ledger of the process. What is posted is kept at once, under a lock that is held for that alone, and booked a
// moment later, many postings at a time. It decides nothing on requests, and
// nothing that it does can refuse or delay one beyond that lock.
package recorder

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/ledger"
)

// Store makes the books last. Append and Mark are called under the recorder's lock, and must neither block nor fail; the
// others are called by Run alone.
type Store interface {
	Append(ledger.Posting)
	// EndPeriod ends a period: what is appended later belongs to the next.
	EndPeriod()
	// Stage takes the statement that closes the period that was marked.
	Stage(ledger.Statement)
	// Commit makes what was cut last, and may take its time.
	Commit(ledger.Names) error
}

// Options say how the books are kept.
type Options struct {
	Limits            ledger.Limits
	Names             ledger.Names  // of the settings; the numbers that owners use for them are their places here
	OverdueAfter      time.Duration // beyond a request's own deadline: by then nothing of it can be open
	AuditInterval     time.Duration // between two audits
	StatementInterval time.Duration // between two statements, if there is a keeper
	AlarmFile         string        // JSON lines; none if empty
	Log               *zap.Logger
}

// The bounds.
const (
	auditsPerFullAudit = 4     // audits: every so manyth is of all rows
	maxNames           = 200   // of plans, and of classes
	alarmPostings      = 32    // postings of a row that an alarm shows
	maxAlarms          = 256   // that are told apart; more are counted
	wakeQueueLength    = 1024  // postings that wait to be booked, before Run is told
	maxQueueLength     = 65536 // and before whoever posts books them itself
	Overflow           = "…"   // the name of plans and classes beyond maxNames, and of those that are none
	maxNameBytes       = 64    // bytes of one
)

// Recorder keeps one gateway's books.
type Recorder struct {
	options Options
	// The time of the start, and what has passed since by the monotonic clock: a system's clock that steps must not make
	// a request look overdue, or one that is overdue look young.
	startTime time.Time

	lastRef atomic.Uint64

	// What is posted is kept at once, and waits here to be booked: many at a time cost a fraction of one by one. It is
	// held for a posting, no longer.
	queueMu    sync.Mutex
	store      Store
	queue      []ledger.Posting
	spareQueue []ledger.Posting // the other buffer
	lastTime   int64
	wake       chan struct{}

	// Behind mu are the books. Whoever needs both takes mu first.
	mu           sync.Mutex
	ledger       *ledger.Ledger
	names        ledger.Names
	planNumbers  []int16 // by the settings' places
	classNumbers []int16
	numberByName [2]map[string]int16

	alarms            map[alarmKey]bool // those that stand
	raised            atomic.Uint64
	cleared           atomic.Uint64
	auditCount        int
	tallyReader       atomic.Pointer[func(func(tally func(uint64) (float64, bool))) error]
	accountMismatches []ledger.Mismatch // found in accounts since the last audit
	checkedAccounts   map[ledger.Key]bool
}

// New makes a recorder for books that may hold something already, with the names that the numbers in them stand for. The
// keeper may be nil.
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

// DetachStore lets go of the keeper, after Run has ended: what is posted later, as by a attempt that nobody waits for, is kept
// nowhere. The keeper may then be closed.
func (rec *Recorder) DetachStore() {
	rec.queueMu.Lock()
	defer rec.queueMu.Unlock()
	rec.store = nil
}

// SetTallyReader tells how the decision module's tallies are read: f is to be called where nothing is drawn meanwhile.
func (rec *Recorder) SetTallyReader(read func(f func(tally func(uint64) (float64, bool))) error) {
	rec.tallyReader.Store(&read)
}

// Run audits and states until the context ends, and then once more.
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

// Ref numbers a request or a call.
func (rec *Recorder) Ref() uint64 { return rec.lastRef.Add(1) }
