package handover

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"slices"

	"dewhitch/internal/durable"
)

// maxWriteAttempts is how often Update starts again because a process of an older build, which takes no lock, has replaced the file.
const maxWriteAttempts = 5

// Record is a process's view of the exclusions that all processes of a gateway share. Each process reads the file again and again,
// and changes it by reading and replacing it under a lock, so that no change is lost. It is not safe for concurrent use.
type Record struct {
	path  string
	locks *Locks
	state State  // newest known state
	seen  []byte // content of the file when it was last read; nil if there was none
	stale bool   // whether the file lacks some of the known state
}

// OpenRecord returns the record of a gateway's handover file. Nothing is read yet.
func OpenRecord(path string, locks *Locks) *Record { return &Record{path: path, locks: locks} }

// State returns the newest known state.
func (r *Record) State() State { return r.state }

// Stale reports whether the file lacks some of the known state, as it was removed, is corrupt, or was replaced by a process of an
// older build. Update then writes it even without changes.
func (r *Record) Stale() bool { return r.stale }

// Read reads the file and reports whether its content has changed since the last read. It fails with ErrNone if there is no file,
// and with another error if the file can't be read or is corrupt. The known state then stays.
func (r *Record) Read() (changed bool, err error) {
	content, err := readContent(r.path)
	if errors.Is(err, ErrNone) || errors.Is(err, ErrCorrupt) {
		r.stale = len(r.state.Excluded) > 0
	}
	if err != nil {
		r.seen = nil
		return false, err
	}
	return r.absorbContent(content)
}

// absorbContent updates the known state from the content of the file.
func (r *Record) absorbContent(content []byte) (changed bool, err error) {
	if r.seen != nil && bytes.Equal(content, r.seen) {
		return false, nil
	}
	found, err := decode(content)
	if err != nil {
		r.seen = nil
		r.stale = len(r.state.Excluded) > 0
		return false, fmt.Errorf("%w %s: %w", ErrCorrupt, r.path, err)
	}
	r.seen = content
	r.state = absorb(r.state, found)
	r.stale = !slices.Equal(r.state.Excluded, found.Excluded)
	return true, nil
}

// Update applies changes to the shared state. When it returns without an error, the file holds them. It reads the file first, so
// that the changes of other processes are kept, and fails if the file can't be read; a corrupt file is replaced.
func (r *Record) Update(changes Changes) error {
	unlock, err := r.locks.lockRecord()
	if err != nil {
		return err
	}
	defer unlock()
	for range maxWriteAttempts {
		_, err := r.Read()
		switch {
		case errors.Is(err, ErrCorrupt):
			r.stale = true // the file is replaced
		case err != nil && !errors.Is(err, ErrNone):
			return err // the file may hold changes of other processes
		}
		next := r.state.with(changes)
		if !r.stale && slices.Equal(next.Excluded, r.state.Excluded) {
			return nil
		}
		next.Revision++
		replaced, err := r.replace(next)
		if err != nil || replaced {
			return err
		}
	}
	return fmt.Errorf("handover: %s was replaced by another process %d times in a row", r.path, maxWriteAttempts)
}

// replace replaces the file with the next state. It returns false if another process has replaced the file since it was last read.
func (r *Record) replace(next State) (replaced bool, err error) {
	if len(next.Excluded) > maxIDs {
		return false, fmt.Errorf("handover: over %d exclusions", maxIDs)
	}
	text, err := json.Marshal(next)
	if err != nil {
		return false, err
	}
	temporary := temporaryPath(r.path)
	if err := durable.Prepare(durable.Disk, temporary, text); err != nil {
		return false, err
	}
	if r.replacedByOthers() {
		return false, os.Remove(temporary)
	}
	if err := durable.Commit(durable.Disk, temporary, r.path); err != nil && !r.holds(text) {
		return false, err
	}
	// Where only the sync of the folder failed, all processes read the new file. Only a loss of power could bring back the old one.
	r.state = next
	r.seen = text
	r.stale = false
	return true, nil
}

// replacedByOthers reports whether the file holds another state than was last read. A process of an older build takes no lock.
func (r *Record) replacedByOthers() bool {
	content, err := readContent(r.path)
	if err != nil || bytes.Equal(content, r.seen) {
		return false
	}
	_, err = decode(content)
	return err == nil
}

// holds reports whether the file has this content.
func (r *Record) holds(text []byte) bool {
	content, err := readContent(r.path)
	return err == nil && bytes.Equal(content, text)
}
