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

// seal puts a checksum behind a value.
func seal(b []byte) []byte {
	return binary.LittleEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

func unseal(b []byte) ([]byte, error) {
	if len(b) < 4 || crc32.Checksum(b[:len(b)-4], castagnoli) != binary.LittleEndian.Uint32(b[len(b)-4:]) {
		return nil, errCorrupt
	}
	return b[:len(b)-4], nil
}

// guard turns what a torn file leads the embedded store to, panics and faults of its map included, into an error.
func guard(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if v := recover(); v != nil {
			err = fmt.Errorf("%w: %v", errCorrupt, v)
		}
	}()
	return f()
}

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

// isCorruption tells an error about what a file holds from one about getting at it.
func isCorruption(err error) bool {
	var path *fs.PathError
	var errno syscall.Errno
	return !errors.As(err, &path) && !errors.As(err, &errno) && !errors.Is(err, bbolterrors.ErrTimeout)
}
