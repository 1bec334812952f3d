// Package durable replaces files atomically: whatever fails, and whenever the process is killed, the file holds what it held
// before, or all of the new text. It owns the files that it opens, and closes them.
package durable

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// System is the part of a file system that is needed; tests inject faults by it.
type System interface {
	OpenFile(name string, flag int, perm fs.FileMode) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(name string) error // makes the names in a folder durable
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	Sync() error // makes what was written durable
}

// Disk is the file system of this machine.
var Disk System = disk{}

type disk struct{}

func (disk) OpenFile(name string, flag int, perm fs.FileMode) (File, error) {
	f, err := os.OpenFile(name, flag, perm)
	if err != nil {
		return nil, err // no typed nil
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

// Replace replaces the content of a file by text, durably: it writes a temporary file in the same folder, syncs and renames
// it, and syncs the folder. Two writers may not use one temporary file at the same time. An error is that of the file system; if
// the last step fails, the file has the new text, which a loss of power may undo.
func Replace(s System, temporary, file string, text []byte) error {
	err := write(s, temporary, text)
	if err == nil {
		err = s.Rename(temporary, file)
	}
	if err != nil {
		_ = s.Remove(temporary) // the first error is the one to return
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
