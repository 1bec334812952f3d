// Package exclusions keeps the servers that operators have excluded. While one process of a gateway replaces another, both run, and
// operators may call either. So the exclusions are a record on disk that all processes share (internal/handover): each process
// changes it before it confirms a call, and follows it as long as it runs. docs/design/two-processes.md has the rules.
package exclusions

import (
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/handover"
)

// callTimeout is how long a call waits for the first list and the record. Operators are owed an answer within a second.
const callTimeout = 700 * time.Millisecond

// ErrNotRecorded reports that a change is not in the record after callTimeout while other processes run. It may still take effect.
var ErrNotRecorded = errors.New("not recorded for the gateway's other process in time: call again")

// ErrRecordFailed reports that a change could not be recorded while other processes run, and that nothing has changed.
var ErrRecordFailed = errors.New("can't be recorded for the gateway's other process: nothing has changed")

// Planner applies exclusions to this process.
type Planner interface {
	Exclude(dw.ServerID) error             // fails if the server was never listed
	Include(dw.ServerID) error             // fails if the server was never listed
	ReplaceExclusions([]dw.ServerID) error // excludes exactly these servers, listed or not
}

// Lookup returns the number of a server by its id in discovery's form, and true if it found the number.
type Lookup func(id string) (dw.ServerID, bool)

// Keeper carries out the operators' calls that exclude and include servers. Its methods are safe for concurrent use.
type Keeper struct {
	locks    *handover.Locks
	planner  Planner
	lookup   Lookup
	listed   <-chan struct{} // closed once the planner has a list from discovery
	log      *zap.Logger
	kick     chan struct{} // holds a value if there are changes to record
	restored chan struct{} // closed once this process has the exclusions of the others

	mu         sync.Mutex
	stopped    bool                      // whether Run has ended, or is about to
	recorded   map[string]bool           // excluded servers according to the record
	confirmed  handover.Changes          // changes that were confirmed before they are recorded; a failed write is retried
	waiting    map[string]*waitingChange // changes whose callers wait for the record
	unresolved bool                      // whether the planner lacks an exclusion, as the server's number is not known
	stale      bool                      // whether the file lacks some of what is known, and is to be written again

	// The fields below belong to Run's goroutine.
	record        *handover.Record
	waitLogged    bool      // whether waiting for another process's record is logged
	readError     string    // last logged error of reading; empty after a success
	writeFailedAt time.Time // time of the last failed write; zero after a success
}

// waitingChange is a change that is confirmed only once it is recorded. An exclusion is in force meanwhile; an inclusion is not.
type waitingChange struct {
	excluded bool
	callers  []chan<- error
}

// answer sends the result to all callers.
func (w *waitingChange) answer(result error) {
	for _, caller := range w.callers {
		caller <- result
	}
}

// New returns a keeper of the exclusions in a gateway's handover file, and marks this process as running. The channel listed is
// closed once the planner has a list from discovery.
func New(path string, planner Planner, lookup Lookup, listed <-chan struct{}, log *zap.Logger) *Keeper {
	locks := handover.OpenLocks(path)
	return &Keeper{
		locks:     locks,
		planner:   planner,
		lookup:    lookup,
		listed:    listed,
		log:       log,
		kick:      make(chan struct{}, 1),
		restored:  make(chan struct{}),
		recorded:  map[string]bool{},
		confirmed: handover.Changes{},
		waiting:   map[string]*waitingChange{},
		record:    handover.OpenRecord(path, locks),
	}
}

// Restored returns a channel that is closed once this process has all exclusions that other processes have confirmed. It must not
// serve before.
func (k *Keeper) Restored() <-chan struct{} { return k.restored }

// OthersRunning reports whether another process of the gateway runs.
func (k *Keeper) OthersRunning() bool { return k.locks.OthersRunning() }

// Exclude stops new work to the server with this id in all processes of the gateway. It fails with core.ErrUnknownServer if the
// server was never listed, with core.ErrStopped, ErrNotRecorded or ErrRecordFailed.
func (k *Keeper) Exclude(id string) error { return k.set(id, true) }

// Include ends the exclusion of a server in all processes of the gateway. It returns the same errors as Exclude.
func (k *Keeper) Include(id string) error { return k.set(id, false) }

func (k *Keeper) set(id string, excluded bool) error {
	server, known := k.lookup(id)
	if !known {
		return core.ErrUnknownServer
	}
	timeout := time.NewTimer(callTimeout)
	defer timeout.Stop()
	hadList := k.hasList()
	result, err := k.begin(id, server, excluded)
	if errors.Is(err, core.ErrUnknownServer) && !hadList && k.awaitList(timeout.C) {
		result, err = k.begin(id, server, excluded)
	}
	if err != nil {
		return err
	}
	select {
	case err := <-result:
		return err
	case <-timeout.C:
		return k.giveUp(id, result)
	}
}

// hasList reports whether the planner has a list from discovery. It knows no server before.
func (k *Keeper) hasList() bool {
	select {
	case <-k.listed:
		return true
	default:
		return false
	}
}

// awaitList waits for the first list from discovery. It returns false if there is none before the timeout.
func (k *Keeper) awaitList(timeout <-chan time.Time) bool {
	select {
	case <-k.listed:
		return true
	case <-timeout:
		return false
	}
}

// begin starts a change, and returns a channel that receives its result.
func (k *Keeper) begin(id string, server dw.ServerID, excluded bool) (result <-chan error, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return nil, core.ErrStopped
	}
	if excluded {
		err = k.planner.Exclude(server)
	} else if !k.inForce(id) {
		err = k.planner.Include(server) // changes nothing here; another process may have excluded the server just now
	}
	if err != nil {
		return nil, err
	}
	return k.awaitRecord(id, excluded), nil
}

// giveUp ends the wait of a caller for the record. It returns the result that the caller gets.
func (k *Keeper) giveUp(id string, result <-chan error) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	select {
	case err := <-result:
		return err
	default:
	}
	if !k.mayConfirmUnrecorded() {
		return ErrNotRecorded
	}
	k.confirmUnrecorded(id)
	return <-result
}

// mayConfirmUnrecorded reports whether changes may be confirmed before they are recorded: no other process of the gateway runs. It
// marks this process as having such changes, so that a process that starts meanwhile waits for them. The mark is set before the
// check for other processes, and these check for it after they are marked as running, so that one of the two sees the other. The
// caller holds mu, and calls updateUnrecorded later.
func (k *Keeper) mayConfirmUnrecorded() bool {
	k.locks.SetUnrecorded(true)
	if k.locks.OthersRunning() {
		k.updateUnrecorded()
		return false
	}
	return true
}

// confirmUnrecorded confirms a change that could not be recorded. Recording is retried. The caller holds mu.
func (k *Keeper) confirmUnrecorded(id string) {
	w := k.waiting[id]
	k.confirmed[id] = w.excluded
	delete(k.waiting, id)
	k.applyInForce()
	w.answer(nil)
}

// awaitRecord adds a change that is confirmed once it is recorded. It replaces one of the same server that is not recorded yet.
func (k *Keeper) awaitRecord(id string, excluded bool) <-chan error {
	w := k.waiting[id]
	if w == nil {
		w = &waitingChange{}
		k.waiting[id] = w
	}
	result := make(chan error, 1)
	w.excluded = excluded
	w.callers = append(w.callers, result)
	k.kickWriter()
	return result
}

// inForce reports whether a server is excluded in this process.
func (k *Keeper) inForce(id string) bool {
	if w := k.waiting[id]; w != nil && w.excluded {
		return true
	}
	if excluded, changed := k.confirmed[id]; changed {
		return excluded
	}
	return k.recorded[id]
}

// updateUnrecorded marks whether this process has exclusions that the record lacks. The caller holds mu.
func (k *Keeper) updateUnrecorded() { k.locks.SetUnrecorded(k.stale || len(k.confirmed) > 0) }

func (k *Keeper) kickWriter() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}
