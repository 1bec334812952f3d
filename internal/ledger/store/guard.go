package store

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io/fs"
	"runtime/debug"
	"syscall"

	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
)

// seal appends a checksum to a value.
func seal(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// unseal verifies and removes the checksum of a value.
func unseal(b []byte) ([]byte, error) {
	if len(b) < 4 || crc32.Checksum(b[:len(b)-4], castagnoli) != binary.LittleEndian.Uint32(b[len(b)-4:]) {
		return nil, errCorrupt
	}
	return b[:len(b)-4], nil
}

// guard calls f and converts panics into errCorrupt: a torn file can make the embedded store panic, or fault on its memory map.
func guard(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("%w: %v", errCorrupt, v)
		}
	}()
	return f()
}

// open opens the embedded store. An error is errCorrupt if the content of the file is invalid.
func open(path string, o *bbolt.Options) (db *bbolt.DB, err error) {
	err = guard(func() error {
		db, err = bbolt.Open(path, 0o640, o)
		return err
	})
	if err != nil && !errors.Is(err, errCorrupt) && isCorruption(err) {
		err = fmt.Errorf("%w: %v", errCorrupt, err)
	}
	return db, err
}

// isCorruption reports whether an error is about the content of a file, and not about access to it.
func isCorruption(err error) bool {
	var path *fs.PathError
	var errno syscall.Errno
	return !errors.As(err, &path) && !errors.As(err, &errno) && !errors.Is(err, bbolterrors.ErrTimeout)
}
