// Package durable replaces files atomically and durably: after any error, and after a kill of the process at any time, the file
// has either its old content or all of the new one. The package closes all files that it opens.
package durable

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// System is the part of a file system that Replace needs. Tests inject faults through it.
type System interface {
	OpenFile(name string, flag int, perm fs.FileMode) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(name string) error // flushes the names in a folder to the disk
}

// File is a file that is open for writing.
type File interface {
	io.WriteCloser
	Sync() error // flushes what was written to the disk
}

// Disk is the file system of this machine.
var Disk System = disk{}

type disk struct{}

func (disk) OpenFile(name string, flag int, perm fs.FileMode) (File, error) {
	f, err := os.OpenFile(name, flag, perm)
	if err != nil {
		return nil, err // not f, which is a nil *os.File and would make a non-nil File
	}
	return f, nil
}

func (disk) Rename(from, to string) error { return os.Rename(from, to) }

func (disk) Remove(name string) error { return os.Remove(name) }

func (disk) SyncDir(name string) error {
	d, err := os.Open(name)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// Replace replaces the content of a file with text, durably: it writes a temporary file in the same folder, syncs and renames
// it, and syncs the folder. Two writers must not use the same temporary file concurrently. It returns the error of the file
// system. If syncing the folder fails, the file has the new text, but a loss of power may bring back the old one.
func Replace(s System, temporary, file string, text []byte) error {
	if err := Prepare(s, temporary, text); err != nil {
		return err
	}
	return Commit(s, temporary, file)
}

// Prepare writes and syncs the temporary file of a replacement, which Commit completes. After an error there is no temporary file.
func Prepare(s System, temporary string, text []byte) error {
	err := write(s, temporary, text)
	if err != nil {
		_ = s.Remove(temporary) // the earlier error is returned
	}
	return err
}

// Commit renames a prepared temporary file to the file, and syncs the folder. Its errors are as for Replace.
func Commit(s System, temporary, file string) error {
	if err := s.Rename(temporary, file); err != nil {
		_ = s.Remove(temporary) // the earlier error is returned
		return err
	}
	return s.SyncDir(filepath.Dir(file))
}

// write writes and syncs a file.
func write(s System, name string, text []byte) error {
	f, err := s.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}
