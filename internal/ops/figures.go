package ops

import (
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// MaxClasses is the maximum number of classes that are counted by name, including those of earlier settings.
const MaxClasses = 256

// Result is the result of a request, as the figures count it.
type Result int

// The results of requests.
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

// Figures counts events since the start of the process. Classes are identified by name: reloaded settings may add, drop and
// reorder classes, and a class keeps its counts under its name. The zero value is ready for use.
type Figures struct {
	mu      sync.Mutex
	classes []*classCounts                          // classes in the order in which they were added; at most MaxClasses
	byName  atomic.Pointer[map[string]*classCounts] // classes by name; replaced as a whole, so that reads need no lock

	dispatches        atomic.Int64 // attempts written to backends, of all classes, including unknown ones
	concurrent        atomic.Int64 // number of open requests
	targets           atomic.Int64 // number of listed servers
	disabled          atomic.Int64 // number of listed servers that get no new work
	reloadsAccepted   atomic.Int64
	reloadsRejected   atomic.Int64
	snapshotsLoaded   atomic.Int64 // snapshots loaded at the start
	snapshotsRejected atomic.Int64 // snapshots rejected at the start
	snapshotAgeMS     atomic.Int64 // age of the loaded snapshot at the start, in milliseconds
}

// AddClasses adds the names of classes that requests may have. Earlier names are kept. Names beyond MaxClasses are ignored.
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

// class returns the counts of a class, or nil if its name was not added.
func (f *Figures) class(name string) *classCounts {
	if byName := f.byName.Load(); byName != nil {
		return (*byName)[name]
	}
	return nil
}

// RequestEnded counts a request that ended. It ignores a class whose name was not added.
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

// AddOpen changes the number of open requests, by 1 for each that arrives and by -1 for each that ends.
func (f *Figures) AddOpen(change int64) { f.concurrent.Add(change) }

// Concurrent returns the number of open requests.
func (f *Figures) Concurrent() int64 { return max(0, f.concurrent.Load()) }

// Targets implements core.TargetsReporter: it sets the number of listed servers, and how many of them get no new work.
func (f *Figures) Targets(listed, disabled int) {
	f.targets.Store(int64(listed))
	f.disabled.Store(int64(disabled))
}

// CountReload counts a configuration that was read at SIGHUP and was accepted or rejected.
func (f *Figures) CountReload(accepted bool) {
	if accepted {
		f.reloadsAccepted.Add(1)
	} else {
		f.reloadsRejected.Add(1)
	}
}

// SetSnapshots sets the number of snapshots that were loaded and rejected at the start, and the age of the loaded one.
func (f *Figures) SetSnapshots(loaded, rejected int, age time.Duration) {
	f.snapshotsLoaded.Store(int64(loaded))
	f.snapshotsRejected.Store(int64(rejected))
	f.snapshotAgeMS.Store(age.Milliseconds())
}

// AppendJSON appends the figures as one JSON object. Each function of more appends further fields, each with a comma before it.
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

// appendClasses appends a JSON field for each class, with its counts.
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
