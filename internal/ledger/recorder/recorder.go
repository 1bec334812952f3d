// Package recorder is where the parts of a running gateway post to the ledger: it numbers reqs, keeps the names of plans and
// classes, puts the time on postings, audits the books every second, and raises and clears alarms. It owns the one
// ledger.Ledger of the process. What is posted is kept at once, under a lock that is held for that alone, and booked a
// moment later, many postings at a time. It decides nothing on reqs, and
// nothing that it does can refuse or delay one beyond that lock.
package recorder

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
	"unicode"
	"unicode/utf8"

	"go.uber.org/zap"

	"dewhitch/internal/ledger"
)

// Discard is what posts go to where no books are kept.
type Discard struct{}

// Ref implements the owners' interfaces: 0 is no req's.
func (Discard) Ref() uint64 { return 0 }

// Post implements the owners' interfaces.
func (Discard) Post(ledger.Posting) {}

// RowByName implements the owners' interfaces.
func (Discard) RowByName(uint64, string, string) ledger.Key { return ledger.Key{} }

// Row implements the owners' interfaces.
func (Discard) Row(uint64, int, int) ledger.Key { return ledger.Key{} }

// Keeper makes the books last. Append and Mark are called under the desk's lock, and must neither block nor fail; the
// others are called by Run alone.
type Keeper interface {
	Append(ledger.Posting)
	// Mark ends a period: what is appended later belongs to the next.
	Mark()
	// Cut takes the statement that closes the period that was marked.
	Cut(ledger.Statement)
	// Commit makes what was cut last, and may take its time.
	Commit(ledger.Names) error
}

// Options say how the books are kept.
type Options struct {
	Limits    ledger.Limits
	Names     ledger.Names  // of the settings; the numbers that owners use for them are their places here
	Patience  time.Duration // beyond a req's own deadline: by then nothing of it can be open
	Audit     time.Duration // between two audits
	Statement time.Duration // between two statements, if there is a keeper
	AlarmFile string        // JSON lines; none if empty
	Log       *zap.Logger
}

// The bounds.
const (
	fullEvery = 4     // audits: every so manyth is of all rows
	maxNames  = 200   // of plans, and of classes
	flightOf  = 32    // postings of a row that an alarm shows
	maxAlarms = 256   // that are told apart; more are counted
	batch     = 1024  // postings that wait to be booked, before Run is told
	maxBatch  = 65536 // and before whoever posts books them itself
	Overflow  = "…"   // the name of plans and classes beyond maxNames, and of those that are none
	maxName   = 64    // bytes of one
)

// Recorder keeps one gateway's books.
type Recorder struct {
	o Options
	// The time of the start, and what has passed since by the monotonic clock: a system's clock that steps must not make
	// a req look overdue, or one that is overdue look young.
	start time.Time

	refs atomic.Uint64

	// What is posted is kept at once, and waits here to be booked: many at a time cost a fraction of one by one. It is
	// held for a posting, no longer.
	posting sync.Mutex
	keeper  Keeper
	queue   []ledger.Posting
	empty   []ledger.Posting // the other buffer
	now     int64
	full    chan struct{}

	// Behind mu are the books. Whoever needs both takes mu first.
	mu     sync.Mutex
	l      *ledger.Ledger
	names  ledger.Names
	plans  []int16 // by the settings' places
	class  []int16
	byName [2]map[string]int16

	alarms  map[alarmKey]bool // those that stand
	raised  atomic.Uint64
	cleared atomic.Uint64
	audits  int
	tallies atomic.Pointer[func(func(tally func(uint64) (float64, bool))) error]
	fresh   []ledger.Mismatch // found in accounts since the last audit
	read    map[ledger.Key]bool
}

type alarmKey struct {
	key   ledger.Key
	all   bool
	check string
}

// New makes a desk for books that may hold something already, with the names that the numbers in them stand for. The
// keeper may be nil.
func New(l *ledger.Ledger, known ledger.Names, k Keeper, o Options) *Recorder {
	d := &Recorder{o: o, start: time.Now(), l: l, keeper: k, full: make(chan struct{}, 1), names: known, alarms: map[alarmKey]bool{}, read: map[ledger.Key]bool{}}
	for i, names := range [2][]string{known.Plans, known.Classes} {
		d.byName[i] = map[string]int16{}
		for n, s := range names {
			d.byName[i][s] = int16(n)
		}
	}
	for _, s := range o.Names.Plans {
		d.plans = append(d.plans, d.intern(0, &d.names.Plans, s))
	}
	for _, s := range o.Names.Classes {
		d.class = append(d.class, d.intern(1, &d.names.Classes, s))
	}
	return d
}

// intern numbers a name. Danger: at a forwarder names are what clients write, and they become labels and columns.
func (d *Recorder) intern(which int, names *[]string, s string) int16 {
	if s == "" || len(s) > maxName || !utf8.ValidString(s) || strings.ContainsFunc(s, unicode.IsControl) {
		s = Overflow
	}
	if n, ok := d.byName[which][s]; ok {
		return n
	}
	if len(*names) >= maxNames {
		s = Overflow
		if n, ok := d.byName[which][s]; ok {
			return n
		}
	}
	n := int16(len(*names))
	*names = append(*names, s)
	d.byName[which][s] = n
	return n
}

// Ref numbers a req or a call.
func (d *Recorder) Ref() uint64 { return d.refs.Add(1) }

// Row is the key of a haulier's reqs of a plan and class, by their places in the settings; a class below 0 is one of the
// ledger's own.
func (d *Recorder) Row(customer uint64, plan, class int) ledger.Key {
	k := ledger.Key{Customer: customer, Plan: d.plans[plan], Class: int16(class)}
	if class >= 0 {
		k.Class = d.class[class]
	}
	return k
}

// RowByName is the same for those who do not have the settings.
func (d *Recorder) RowByName(customer uint64, plan, class string) ledger.Key {
	d.mu.Lock()
	defer d.mu.Unlock()
	return ledger.Key{Customer: customer, Plan: d.intern(0, &d.names.Plans, plan),
		Class: d.intern(1, &d.names.Classes, class)}
}

// Post books one posting, at the present.
func (d *Recorder) Post(p ledger.Posting) {
	now := int64(0)
	if timed[p.Event] {
		now = d.time()
	}
	d.posting.Lock()
	if now != 0 {
		d.now = now
	}
	p.At = d.now // of the last that was timed: readers want the order more than the microsecond
	if d.keeper != nil {
		d.keeper.Append(p)
	}
	d.queue = append(d.queue, p)
	n := len(d.queue)
	d.posting.Unlock()
	if n == batch {
		select {
		case d.full <- struct{}{}:
		default:
		}
	} else if n >= maxBatch { // Run does not come to it
		d.bookNow()
	}
}

// bookNow books what waits.
func (d *Recorder) bookNow() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book(nil)
}

func (d *Recorder) time() int64 { return d.start.UnixNano() + int64(time.Since(d.start)) }

// timed are the events whose time is of use: they open something, or end a req.
var timed = [ledger.Events]bool{ledger.FrontTaken: true, ledger.FrontServed: true, ledger.FrontRefused: true,
	ledger.FrontFailed: true, ledger.FrontGone: true, ledger.FrontCut: true, ledger.FrontKept: true, ledger.UnitsTold: true}

// book books what waits; mark, if any, is called where the next posting begins anew. The lock mu is held.
func (d *Recorder) book(mark func()) {
	d.posting.Lock()
	waiting := d.queue
	d.queue = d.empty[:0]
	if mark != nil {
		mark()
	}
	d.posting.Unlock()
	for _, p := range waiting {
		d.l.Post(p)
	}
	if d.empty = waiting[:0]; cap(waiting) > 4*batch {
		d.empty = nil
	}
}

// Release lets go of the keeper, after Run has ended: what is posted later, as by a fetch that nobody waits for, is kept
// nowhere. The keeper may then be closed.
func (d *Recorder) Release() {
	d.posting.Lock()
	defer d.posting.Unlock()
	d.keeper = nil
}

// Tallies tells how the decision module's tallies are read: f is to be called where nothing is drawn meanwhile.
func (d *Recorder) Tallies(visit func(f func(tally func(uint64) (float64, bool))) error) {
	d.tallies.Store(&visit)
}

// Run audits and states until the context ends, and then once more.
func (d *Recorder) Run(ctx context.Context) error {
	audit := time.NewTicker(d.o.Audit)
	defer audit.Stop()
	var state <-chan time.Time
	if d.keeper != nil {
		t := time.NewTicker(d.o.Statement)
		defer t.Stop()
		state = t.C
	}
	for {
		select {
		case <-ctx.Done():
			d.Audit(true)
			d.State()
			return nil
		case <-audit.C:
			d.askTallies()
			d.audits++
			d.Audit(d.audits%fullEvery == 0)
		case <-state:
			d.State()
		case <-d.full:
			d.bookNow()
		}
	}
}

// State closes a period and makes it last.
func (d *Recorder) State() {
	if d.keeper == nil {
		return
	}
	d.mu.Lock()
	d.book(d.keeper.Mark)
	d.keeper.Cut(d.l.Statement())
	names := ledger.Names{Plans: slices.Clone(d.names.Plans), Classes: slices.Clone(d.names.Classes)}
	d.mu.Unlock()
	if err := d.keeper.Commit(names); err != nil {
		d.o.Log.Error("the ledger's figures could not be kept; they stay in memory", zap.Error(err))
	}
}

// askTallies has the accounts compared with the module's tallies, on the planner.
func (d *Recorder) askTallies() {
	visit := d.tallies.Load()
	if visit == nil {
		return
	}
	d.bookNow()                                             // here, so that little is left to do on the planner
	_ = (*visit)(func(tally func(uint64) (float64, bool)) { // a planner that has stopped has no tallies
		d.mu.Lock()
		d.book(nil)
		keys := d.l.Accounts()
		for _, k := range keys {
			d.read[k] = true
		}
		found, forgotten := d.l.AuditAccounts(keys, tally)
		d.fresh = append(d.fresh, found...)
		d.mu.Unlock() // Danger: whoever posts may have to book the queue, which takes the lock
		for _, p := range forgotten {
			d.Post(p)
		}
	})
}

// Audit checks the books, raises what is new and clears what is over.
func (d *Recorder) Audit(all bool) {
	d.mu.Lock()
	d.book(nil)
	watched := make([]ledger.Key, 0, len(d.alarms))
	for a := range d.alarms {
		if !a.all {
			watched = append(watched, a.key)
		}
	}
	found := append(d.l.Audit(all, watched...), d.fresh...)
	found = append(found, d.l.Overdue(d.time()-int64(d.o.Patience))...)
	read := d.read
	d.fresh, d.read = nil, map[ledger.Key]bool{}
	now := map[alarmKey]bool{}
	var raise, clear []alarm
	for _, m := range found {
		k := alarmKey{m.Key, m.All, m.Check}
		now[k] = true
		if !d.alarms[k] && len(d.alarms) < maxAlarms {
			d.alarms[k] = true
			raise = append(raise, d.alarm(m))
		}
	}
	for k := range d.alarms {
		// What is of all rows or of the module's tallies stands until it was looked at again.
		if now[k] || k.all && !all || k.check == ledger.CheckTally && !read[k.key] {
			continue
		}
		delete(d.alarms, k)
		clear = append(clear, d.alarm(ledger.Mismatch{Key: k.key, All: k.all, Check: k.check}))
	}
	d.mu.Unlock()
	for _, a := range raise {
		d.raised.Add(1)
		a.State = "raised"
		d.o.Log.Error("the books do not add up", zap.String("check", a.Check), zap.String("haulier", a.Haulier),
			zap.String("plan", a.Plan), zap.String("class", a.Class), zap.Strings("books", a.Books),
			zap.Int64s("figures", a.Figures), zap.Strings("last_postings", a.Flight))
		d.file(a)
	}
	for _, a := range clear {
		d.cleared.Add(1)
		a.State = "cleared"
		d.o.Log.Info("the books add up again", zap.String("check", a.Check), zap.String("haulier", a.Haulier),
			zap.String("plan", a.Plan), zap.String("class", a.Class))
		d.file(a)
	}
}

// alarm is what operators are told.
type alarm struct {
	At      time.Time `json:"at"`
	State   string    `json:"state"`
	Check   string    `json:"check"`
	Haulier string    `json:"haulier"`
	Plan    string    `json:"plan,omitempty"`
	Class   string    `json:"class,omitempty"`
	Books   []string  `json:"books,omitempty"`
	Figures []int64   `json:"figures,omitempty"`
	Flight  []string  `json:"last_postings,omitempty"`
}

func (d *Recorder) alarm(m ledger.Mismatch) alarm {
	a := alarm{At: time.Now(), Check: m.Check, Haulier: "all"}
	if !m.All {
		a.Haulier = ledger.HaulierText(m.Key.Customer)
		a.Plan, a.Class = d.names.Plan(m.Key.Plan), d.names.Class(m.Key.Class)
		for _, p := range d.l.Flight(m.Key, flightOf) {
			a.Flight = append(a.Flight, fmt.Sprintf("%s %s ref=%d units=%g",
				time.Unix(0, p.At).UTC().Format("15:04:05.000000"), p.Event, p.Ref, float64(p.Units)/1e6))
		}
	}
	if m.Left != m.Right {
		a.Books = []string{m.Books[0].String(), m.Books[1].String()}
		a.Figures = []int64{int64(m.Left), int64(m.Right)}
	}
	return a
}

// file appends an alarm to the operators' file, which is opened each time: they may take it away.
func (d *Recorder) file(a alarm) {
	if d.o.AlarmFile == "" {
		return
	}
	text, err := json.Marshal(a)
	if err == nil {
		var f *os.File
		if f, err = os.OpenFile(d.o.AlarmFile, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o640); err == nil {
			_, err = f.Write(append(text, '\n'))
			f.Close()
		}
	}
	if err != nil {
		d.o.Log.Warn("an alarm is in the log alone", zap.Error(err))
	}
}

// Report is a view of the books for operators.
type Report struct {
	Names     ledger.Names
	Lines     []ledger.Line // of the hauliers asked for, or by plan and class over all
	Total     ledger.Counts
	Open      int
	Rows      int
	Evictions uint64
	Abandoned uint64
	Alarms    int // that stand
	Raised    uint64
	Cleared   uint64
}

// Report adds up the rows by plan and class, over all hauliers.
func (d *Recorder) Report() Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.book(nil)
	r := Report{Names: d.names, Total: d.l.Total(), Open: d.l.Open(), Evictions: d.l.Evictions, Abandoned: d.l.Abandoned,
		Alarms: len(d.alarms), Raised: d.raised.Load(), Cleared: d.cleared.Load()}
	r.Rows, r.Lines = d.l.Sums()
	return r
}
