// Package durable replaces files whole or not at all: whatever fails, and wherever a kill comes, the file holds what it held
// before, or all of the new text. It owns the files that it opens, and closes them.
package durable

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// System is the part of a file system that is needed. Tests put one in its place that fails.
type System interface {
	OpenFile(name string, flag int, perm fs.FileMode) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	SyncDir(name string) error
}

// File is a file that is being written.
type File interface {
	io.WriteCloser
	Sync() error
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

// Replace puts text in the place of the file: it writes a temporary file in the same folder, has it reach the disk, renames
// it, and has the name reach the disk too. No two writers may use one temporary file at the same time. After an error of
// the last step the new text is there, though a loss of power may take it away.
func Replace(s System, temporary, file string, text []byte) error {
	err := write(s, temporary, text)
	if err == nil {
		err = s.Rename(temporary, file)
	}
	if err != nil {
		_ = s.Remove(temporary) // a full disk has no room for it, and the error that counts is known
		return err
	}
	return s.SyncDir(filepath.Dir(file))
}

func write(s System, name string, text []byte) error {
	f, err := s.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	if _, err = f.Write(text); err == nil {
		err = f.Sync()
	}
	if closed := f.Close(); err == nil {
		err = closed
	}
	return err
}
