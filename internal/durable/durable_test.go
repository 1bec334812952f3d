package durable

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

// step is a kind of call to the file system.
type step string

const (
	stepOpen    step = "open"
	stepWrite   step = "write"
	stepSync    step = "sync"
	stepClose   step = "close"
	stepRename  step = "rename"
	stepSyncDir step = "sync of the folder"
)

// faultySystem is the disk with one step that fails with err. A failing write first writes bytesBefore bytes.
type faultySystem struct {
	System
	failAt      step
	err         error
	bytesBefore int
}

// fail returns err for the failing step, and nil for all others.
func (f *faultySystem) fail(at step) error {
	if f.failAt == at {
		return f.err
	}
	return nil
}

func (f *faultySystem) OpenFile(name string, flag int, perm fs.FileMode) (File, error) {
	if err := f.fail(stepOpen); err != nil {
		return nil, err
	}
	file, err := f.System.OpenFile(name, flag, perm)
	return &faultyFile{file, f}, err
}

func (f *faultySystem) Rename(from, to string) error {
	if err := f.fail(stepRename); err != nil {
		return err
	}
	return f.System.Rename(from, to)
}

func (f *faultySystem) SyncDir(name string) error {
	if err := f.fail(stepSyncDir); err != nil {
		return err
	}
	return f.System.SyncDir(name)
}

// faultyFile is a file of a faultySystem.
type faultyFile struct {
	File
	system *faultySystem
}

func (w *faultyFile) Write(b []byte) (int, error) {
	if err := w.system.fail(stepWrite); err != nil {
		n, _ := w.File.Write(b[:min(len(b), w.system.bytesBefore)])
		return n, err
	}
	return w.File.Write(b)
}

func (w *faultyFile) Sync() error { return errors.Join(w.system.fail(stepSync), w.File.Sync()) }

func (w *faultyFile) Close() error { return errors.Join(w.system.fail(stepClose), w.File.Close()) }

// TestReplaceFails guards against a damaged or lost file when a step of Replace fails. Each step fails with each error, and
// the write does so after each number of written bytes. The error must be returned, the file must have the old text (the new one
// if only the sync of the folder fails), no other file may be left in the folder, and the next attempt must succeed.
func TestReplaceFails(t *testing.T) {
	const before, after = "before", "after, and longer"
	file := filepath.Join(t.TempDir(), "file")
	check := func(what, want string) {
		t.Helper()
		if got, err := os.ReadFile(file); err != nil || string(got) != want {
			t.Errorf("%s: got content %q, error %v, want %q", what, got, err, want)
		}
		if entries, _ := os.ReadDir(filepath.Dir(file)); len(entries) != 1 {
			t.Errorf("%s: got %d files in the folder, want 1", what, len(entries))
		}
	}
	replace := func(s System, text string) error { return Replace(s, file+".part", file, []byte(text)) }
	for _, err := range []error{syscall.ENOSPC, syscall.EIO, syscall.EDQUOT, syscall.EROFS, syscall.EINTR} {
		for _, at := range []step{stepOpen, stepWrite, stepSync, stepClose, stepRename, stepSyncDir} {
			maxBytes := 0
			if at == stepWrite {
				maxBytes = len(after)
			}
			for n := range maxBytes + 1 {
				if err := replace(Disk, before); err != nil {
					t.Fatal(err)
				}
				if got := replace(&faultySystem{Disk, at, err, n}, after); !errors.Is(got, err) {
					t.Errorf("%s: got error %v, want %v", at, got, err)
				}
				want := before
				if at == stepSyncDir {
					want = after
				}
				check(string(at), want)
				if err := replace(Disk, after); err != nil {
					t.Fatal(err)
				}
				check("the next attempt", after)
			}
		}
	}
}

// TestReplaceOverWhatAKillLeft guards against a Replace that fails, or mixes old and new text, because a killed process has left
// a temporary file of any length.
func TestReplaceOverWhatAKillLeft(t *testing.T) {
	file := filepath.Join(t.TempDir(), "file")
	const text = "text"
	for n := range 3 * len(text) {
		if err := os.WriteFile(file+".part", make([]byte, n), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := Replace(Disk, file+".part", file, []byte(text)); err != nil {
			t.Fatal(err)
		}
		if got, err := os.ReadFile(file); err != nil || string(got) != text {
			t.Errorf("with %d leftover bytes: got content %q, error %v", n, got, err)
		}
	}
}
