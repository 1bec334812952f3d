package ops

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// MaxClasses bounds the class names that the figures hold, over all reloads of the settings.
const MaxClasses = 256

// Result is how a request ended, as the figures count it.
type Result int

// The verdicts.
const (
	Success Result = iota
	Overload
	Error
	resultCount
)

// classCounts holds the counts of one class.
type classCounts struct {
	name       string
	results    [resultCount]atomic.Int64
	dispatches atomic.Int64
}

// Figures are the counts since the start of the process. Classes are known by name: reloaded settings may add, drop and reorder
// them, and a count goes on under its name. The zero Figures are ready for use.
type Figures struct {
	mu      sync.Mutex
	classes []*classCounts                          // in the order in which they were first named; up to MaxClasses
	byName  atomic.Pointer[map[string]*classCounts] // never changed in place, so that it is read without the lock

	dispatches        atomic.Int64 // of all classes, also those not named
	concurrent        atomic.Int64 // open requests
	targets           atomic.Int64 // listed servers
	disabled          atomic.Int64 // of targets, those that get no new work
	reloadsAccepted   atomic.Int64
	reloadsRejected   atomic.Int64
	snapshotsLoaded   atomic.Int64 // at the start
	snapshotsRejected atomic.Int64 // at the start
	snapshotAgeMS     atomic.Int64 // of the one that was loaded
}

// AddClasses adds the names of classes that requests may have; earlier names go on counting.
func (f *Figures) AddClasses(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	byName := map[string]*classCounts{}
	for _, c := range f.classes {
		byName[c.name] = c
	}
	for _, n := range names {
		if byName[n] == nil && len(f.classes) < MaxClasses {
			byName[n] = &classCounts{name: n}
			f.classes = append(f.classes, byName[n])
		}
	}
	f.byName.Store(&byName)
}

// class is the counts of a class; nil if it was never named.
func (f *Figures) class(name string) *classCounts {
	if byName := f.byName.Load(); byName != nil {
		return (*byName)[name]
	}
	return nil
}

// RequestEnded counts the end of a request of a class; a class that was never named is ignored.
func (f *Figures) RequestEnded(class string, r Result) {
	if c := f.class(class); c != nil {
		c.results[r].Add(1)
	}
}

// Dispatched counts an attempt of a class that was written completely to a backend.
func (f *Figures) Dispatched(class string) {
	f.dispatches.Add(1)
	if c := f.class(class); c != nil {
		c.dispatches.Add(1)
	}
}

// AddOpen changes the number of open requests: 1 for each that comes, -1 for each that ends.
func (f *Figures) AddOpen(change int64) { f.concurrent.Add(change) }

// Concurrent is the number of open requests.
func (f *Figures) Concurrent() int64 { return max(0, f.concurrent.Load()) }

// Targets sets the number of listed servers, and of those of them that get no new work.
func (f *Figures) Targets(listed, disabled int) {
	f.targets.Store(int64(listed))
	f.disabled.Store(int64(disabled))
}

// CountReload counts a configuration that was read at SIGHUP, accepted or rejected.
func (f *Figures) CountReload(accepted bool) {
	if accepted {
		f.reloadsAccepted.Add(1)
	} else {
		f.reloadsRejected.Add(1)
	}
}

// SetSnapshots sets how many snapshots were loaded and rejected at the start, and the age of the one that was loaded.
func (f *Figures) SetSnapshots(loaded, rejected int, age time.Duration) {
	f.snapshotsLoaded.Store(int64(loaded))
	f.snapshotsRejected.Store(int64(rejected))
	f.snapshotAgeMS.Store(age.Milliseconds())
}

// AppendJSON appends the figures as one JSON object, with the fields that each of more appends, each after a comma.
func (f *Figures) AppendJSON(b []byte, more ...func([]byte) []byte) []byte {
	b = append(b, `{"replies":{`...)
	b = f.appendClasses(b)
	b = append(b, '}')
	for _, v := range []struct {
		name  string
		value int64
	}{
		{"dispatches", f.dispatches.Load()},
		{"concurrent", f.Concurrent()},
		{"targets", f.targets.Load()},
		{"targets_disabled", f.disabled.Load()},
		{"reload_success", f.reloadsAccepted.Load()},
		{"reload_failure", f.reloadsRejected.Load()},
		{"snapshot_loaded", f.snapshotsLoaded.Load()},
		{"snapshot_rejected", f.snapshotsRejected.Load()},
		{"snapshot_age_ms", f.snapshotAgeMS.Load()},
	} {
		b = append(strconv.AppendQuote(append(b, ','), v.name), ':')
		b = strconv.AppendInt(b, v.value, 10)
	}
	for _, appendFields := range more {
		b = appendFields(b)
	}
	return append(b, '}')
}

// appendClasses appends a JSON member for each class.
func (f *Figures) appendClasses(b []byte) []byte {
	f.mu.Lock()
	classes := f.classes
	f.mu.Unlock()
	for i, c := range classes {
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendQuote(b, c.name)
		b = append(b, `:{"success":`...)
		b = strconv.AppendInt(b, c.results[Success].Load(), 10)
		b = append(b, `,"overload":`...)
		b = strconv.AppendInt(b, c.results[Overload].Load(), 10)
		b = append(b, `,"error":`...)
		b = strconv.AppendInt(b, c.results[Error].Load(), 10)
		b = append(b, `,"dispatches":`...)
		b = strconv.AppendInt(b, c.dispatches.Load(), 10)
		b = append(b, '}')
	}
	return b
}
