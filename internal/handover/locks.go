package handover

import (
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Bytes of the lock file, each of which is locked for one purpose. The file itself stays empty.
const (
	recordByte     = iota // locked exclusively while a process reads and replaces the record
	runningByte           // locked shared by every process as long as it runs
	unrecordedByte        // locked shared by every process that has exclusions which the file lacks
	turnByte              // locked exclusively by the process that is next to lock recordByte
)

// lockSuffix is what the name of the lock file has behind that of the handover file.
const lockSuffix = ".lock"

// Waiting for the lock of the record.
const (
	lockTimeout       = 300 * time.Millisecond
	lockRetryInterval = 5 * time.Millisecond
)

// ErrLocked reports that another process held the lock of the record for lockTimeout.
var ErrLocked = errors.New("handover: another process holds the lock of the exclusions")

// Locks tells the processes of a gateway of each other, by locks on bytes of a file that they share. The system releases the locks
// of a process that ends in any way, and locking needs no space on the disk. Locks is safe for concurrent use.
//
// Where the file can't be opened or its file system has no locks, a process acts as if it were the only one.
type Locks struct {
	path string

	mu         sync.Mutex
	file       *os.File // nil if the file could not be opened
	unrecorded bool     // whether this process holds its lock of unrecordedByte
}

// OpenLocks opens the lock file that belongs to a gateway's handover file, and marks this process as running.
func OpenLocks(recordPath string) *Locks {
	l := &Locks{path: recordPath + lockSuffix}
	l.Refresh()
	return l
}

// OthersRunning reports whether a process of the gateway with this handover file runs, before this one is marked as running.
func OthersRunning(recordPath string) bool {
	if _, err := os.Stat(recordPath + lockSuffix); err != nil {
		return false
	}
	l := &Locks{path: recordPath + lockSuffix}
	defer l.Close()
	return l.OthersRunning()
}

// Close releases all locks.
func (l *Locks) Close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.file != nil {
		l.file.Close()
		l.file = nil
	}
}

// Refresh opens the lock file again if its path names another file now, for example after the folder was emptied.
func (l *Locks) Refresh() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.refresh() // tried again at each use
}

// SetUnrecorded marks whether this process has exclusions that the file lacks.
func (l *Locks) SetUnrecorded(unrecorded bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.unrecorded == unrecorded {
		return
	}
	l.unrecorded = unrecorded
	lockType := int16(unix.F_UNLCK)
	if unrecorded {
		lockType = unix.F_RDLCK
	}
	if l.file != nil {
		_ = setLock(l.file, unrecordedByte, lockType)
	}
}

// OthersRunning reports whether another process of the gateway runs.
func (l *Locks) OthersRunning() bool { return l.lockedByOthers(runningByte) }

// OthersUnrecorded reports whether another process has exclusions that the file lacks.
func (l *Locks) OthersUnrecorded() bool { return l.lockedByOthers(unrecordedByte) }

func (l *Locks) lockedByOthers(position int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.refresh() // an older file still tells of the processes that hold it
	if l.file == nil {
		return false
	}
	lock := byteLock(position, unix.F_WRLCK)
	err := unix.FcntlFlock(l.file.Fd(), unix.F_OFD_GETLK, &lock)
	return err == nil && lock.Type != unix.F_UNLCK
}

// lockRecord waits for the exclusive lock of the record and returns a function that releases it. It fails only with ErrLocked. If
// the file can't be locked, it returns a function that does nothing.
//
// A process first takes turnByte and keeps it until it has the record. One that has just released the record therefore can't lock
// it again before the process that is waiting for it.
func (l *Locks) lockRecord() (unlock func(), err error) {
	l.mu.Lock()
	_ = l.refresh()
	file := l.file
	l.mu.Unlock()
	if file == nil {
		return func() {}, nil
	}
	deadline := time.Now().Add(lockTimeout)
	endTurn, err := awaitLock(file, turnByte, deadline)
	if err != nil {
		return nil, err
	}
	defer endTurn()
	return awaitLock(file, recordByte, deadline)
}

// awaitLock waits until the deadline for the exclusive lock of one byte of a file, and returns a function that releases it. It fails
// only with ErrLocked. If the file can't be locked, it returns a function that does nothing.
func awaitLock(file *os.File, position int64, deadline time.Time) (unlock func(), err error) {
	for ; ; time.Sleep(lockRetryInterval) {
		err := setLock(file, position, unix.F_WRLCK)
		switch {
		case err == nil:
			return func() { _ = setLock(file, position, unix.F_UNLCK) }, nil
		case !errors.Is(err, unix.EAGAIN) && !errors.Is(err, unix.EACCES):
			return func() {}, nil
		case time.Now().After(deadline):
			return nil, ErrLocked
		}
	}
}

// refresh opens the lock file if it is not open or its path names another file now. The caller holds mu.
func (l *Locks) refresh() error {
	if l.file != nil && l.isCurrent() {
		return nil
	}
	file, err := os.OpenFile(l.path, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return err
	}
	err = setLock(file, runningByte, unix.F_RDLCK)
	if err == nil && l.unrecorded {
		err = setLock(file, unrecordedByte, unix.F_RDLCK)
	}
	if err != nil {
		file.Close()
		return fmt.Errorf("handover: %s: %w", l.path, err)
	}
	if l.file != nil {
		l.file.Close()
	}
	l.file = file
	return nil
}

// isCurrent reports whether the open file is the one that the path names.
func (l *Locks) isCurrent() bool {
	open, err := l.file.Stat()
	if err != nil {
		return false
	}
	named, err := os.Stat(l.path)
	return err == nil && os.SameFile(open, named)
}

// byteLock returns a lock of one byte of a file.
func byteLock(position int64, lockType int16) unix.Flock_t {
	return unix.Flock_t{Type: lockType, Whence: int16(io.SeekStart), Start: position, Len: 1}
}

// setLock locks or unlocks one byte of a file without waiting. The lock belongs to the open file, not to the process.
func setLock(file *os.File, position int64, lockType int16) error {
	lock := byteLock(position, lockType)
	return unix.FcntlFlock(file.Fd(), unix.F_OFD_SETLK, &lock)
}
