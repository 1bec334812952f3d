// Package ops owns the operating state of one gateway: whether it is ready, whether operators have drained it, and
// the figures that they read. It does no I/O and reads no clock; everything in it is safe for any goroutine, and
// nothing on a req's path takes a lock.
package ops

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// State is whether the gateway serves.
type State struct {
	started  atomic.Bool // it listens and has a list
	ending   atomic.Bool // SIGTERM came
	drained  atomic.Bool // operators evacuated it, or the fleet did
	mu       sync.Mutex
	by       [2]bool // who did: operators, the fleet
	watchers []func(drained bool)
}

// Start marks the gateway as able to serve.
func (s *State) Start() { s.started.Store(true) }

// End marks it as ending for good.
func (s *State) End() { s.ending.Store(true) }

// Ready is whether clients should be sent here.
func (s *State) Ready() bool { return s.started.Load() && !s.ending.Load() && !s.drained.Load() }

// Drained is whether operators have evacuated the gateway, or it has itself.
func (s *State) Drained() bool { return s.drained.Load() }

// Drain evacuates the gateway, or ends its drain; repeating either changes nothing. Those that watch are told of each
// change, in order.
func (s *State) Drain(on bool) { s.drain(0, on) }

// DrainItself is the same for the gateway's own sake; operators' word is not touched by it, nor it by theirs.
func (s *State) DrainItself(on bool) { s.drain(1, on) }

func (s *State) drain(who int, on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.by[who] = on
	if on = s.by[0] || s.by[1]; s.drained.Swap(on) == on {
		return
	}
	for _, f := range s.watchers {
		f(on)
	}
}

// Watch has f told of each change of the drain; f may not block.
func (s *State) Watch(f func(drained bool)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchers = append(s.watchers, f)
}

// Verdict is how a req ended, as the figures count it.
type Verdict int

// The verdicts.
const (
	Success Verdict = iota
	Overload
	Error
)

// class holds the counts of one class.
type class struct {
	name       string
	verdicts   [3]atomic.Int64
	dispatches atomic.Int64
}

// Figures are the counts since the start of the process. Classes are known by name: settings that are read anew may
// add, drop and reorder them, and a count goes on under its name.
type Figures struct {
	mu     sync.Mutex
	all    []*class                          // in the order they were first named; never shrinks, bounded
	byName atomic.Pointer[map[string]*class] // read on every req, without a lock

	dispatches             atomic.Int64 // of all classes
	concurrent             atomic.Int64
	targets, disabled      atomic.Int64
	reloadsOK, reloadsFail atomic.Int64
	loaded, rejected, age  atomic.Int64 // of snapshots at the start
}

// MostClasses bounds the names that the figures keep, whatever settings come.
const MostClasses = 256

// Classes adds the names of classes that reqs may come under; those named before are kept, and go on counting.
func (f *Figures) Classes(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	byName := map[string]*class{}
	for _, c := range f.all {
		byName[c.name] = c
	}
	for _, n := range names {
		if byName[n] == nil && len(f.all) < MostClasses {
			byName[n] = &class{name: n}
			f.all = append(f.all, byName[n])
		}
	}
	f.byName.Store(&byName)
}

func (f *Figures) class(name string) *class {
	if byName := f.byName.Load(); byName != nil {
		return (*byName)[name]
	}
	return nil
}

// Ended counts a req of a class; a class never named is passed over.
func (f *Figures) Ended(class string, v Verdict) {
	if c := f.class(class); c != nil {
		c.verdicts[v].Add(1)
	}
}

// Dispatched counts an attempt of a class that was written whole to a backend.
func (f *Figures) Dispatched(class string) {
	f.dispatches.Add(1)
	if c := f.class(class); c != nil {
		c.dispatches.Add(1)
	}
}

// Open counts reqs that were taken and have not ended: +1 and -1.
func (f *Figures) Open(d int64) { f.concurrent.Add(d) }

// Concurrent is how many reqs are open.
func (f *Figures) Concurrent() int64 { return max(0, f.concurrent.Load()) }

// Targets sets the servers of the list, and of those the ones that the gateway avoids.
func (f *Figures) Targets(listed, disabled int) {
	f.targets.Store(int64(listed))
	f.disabled.Store(int64(disabled))
}

// Reloaded counts a configuration read at SIGHUP, accepted or not.
func (f *Figures) Reloaded(ok bool) {
	if ok {
		f.reloadsOK.Add(1)
	} else {
		f.reloadsFail.Add(1)
	}
}

// Warm tells of the snapshots that were found at the start: how many were taken and rejected, and the age of the one taken.
func (f *Figures) Warm(loaded, rejected int, age time.Duration) {
	f.loaded.Store(int64(loaded))
	f.rejected.Store(int64(rejected))
	f.age.Store(age.Milliseconds())
}

// AppendJSON writes the figures as one JSON object, with the fields that more appends behind them, each after a comma.
func (f *Figures) AppendJSON(b []byte, more ...func([]byte) []byte) []byte {
	f.mu.Lock()
	all := f.all
	f.mu.Unlock()
	b = append(b, `{"replies":{`...)
	for i, c := range all {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendQuote(b, c.name)
		b = append(b, `:{"success":`...)
		b = strconv.AppendInt(b, c.verdicts[Success].Load(), 10)
		b = append(b, `,"overload":`...)
		b = strconv.AppendInt(b, c.verdicts[Overload].Load(), 10)
		b = append(b, `,"error":`...)
		b = strconv.AppendInt(b, c.verdicts[Error].Load(), 10)
		b = append(b, `,"dispatches":`...)
		b = strconv.AppendInt(b, c.dispatches.Load(), 10)
		b = append(b, '}')
	}
	b = append(b, '}')
	for _, v := range []struct {
		name string
		n    int64
	}{{"dispatches", f.dispatches.Load()}, {"concurrent", max(0, f.concurrent.Load())},
		{"targets", f.targets.Load()}, {"targets_disabled", f.disabled.Load()},
		{"reload_success", f.reloadsOK.Load()}, {"reload_failure", f.reloadsFail.Load()},
		{"snapshot_loaded", f.loaded.Load()}, {"snapshot_rejected", f.rejected.Load()}, {"snapshot_age_ms", f.age.Load()}} {
		b = append(strconv.AppendQuote(append(b, ','), v.name), ':')
		b = strconv.AppendInt(b, v.n, 10)
	}
	for _, fields := range more {
		b = fields(b)
	}
	return append(b, '}')
}
