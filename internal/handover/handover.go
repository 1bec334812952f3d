// Package handover stores the state that the processes of a gateway share while one replaces another: the servers that operators
// have excluded. The state is one file, which is replaced atomically, in a folder that all of them share. A Record follows and
// changes the file, and Locks tells the processes of each other.
package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"

	"dewhitch/internal/durable"
)

// State is the content of the handover file.
type State struct {
	Excluded []string `json:"excluded"` // ids of the excluded servers, in discovery's format
	// Revision is the number of the write, greater than that of the state that its writer had read. It is 0 if a process of an
	// older build wrote the file.
	Revision uint64 `json:"revision,omitempty"`
	// OlderView holds the exclusions that a process of an older build wrote last. Such a process knows no others.
	OlderView []string `json:"older_view,omitempty"`
}

// Bounds of the file, which another process wrote and which may be corrupt.
const (
	maxSize   = 1 << 20 // greatest size of the file in bytes
	maxIDs    = 1 << 14 // greatest number of excluded servers
	maxIDSize = 64      // greatest length of a server's id in bytes
)

// ErrNone is returned by Load if there is no handover file.
var ErrNone = errors.New("handover: no state was left")

// ErrCorrupt is returned if the handover file was read and can't be used.
var ErrCorrupt = errors.New("handover: corrupt file")

// Path returns the path of a gateway's handover file in the folder. It uses only the last element of name, so that the file is
// never outside the folder.
func Path(dir, name string) string {
	return filepath.Join(dir, "dewhitch-"+filepath.Base(name)+".handover.json")
}

// Save replaces the file atomically, whatever it holds. The state is durable when Save returns without an error. The name of the
// temporary file contains the process id, as two processes of a gateway may save at the same time.
func Save(path string, s State) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return durable.Replace(durable.Disk, temporaryPath(path), path, text)
}

// temporaryPath returns the path of the temporary file by which this process replaces the file.
func temporaryPath(path string) string { return fmt.Sprintf("%s.%d.part", path, os.Getpid()) }

// Load reads the state. It returns ErrNone if there is no file, and another error with an empty state if the file can't be read
// or is corrupt.
func Load(path string) (State, error) {
	content, err := readContent(path)
	if err != nil {
		return State{}, err
	}
	s, err := decode(content)
	if err != nil {
		return State{}, fmt.Errorf("%w %s: %w", ErrCorrupt, path, err)
	}
	return s, nil
}

// readContent reads the file, of at most maxSize bytes. It returns ErrNone if there is no file.
func readContent(path string) ([]byte, error) {
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return nil, ErrNone
	} else if err != nil {
		return nil, err
	}
	defer f.Close()
	content, err := io.ReadAll(io.LimitReader(f, maxSize+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maxSize {
		return nil, fmt.Errorf("%w %s: over %d bytes", ErrCorrupt, path, maxSize)
	}
	return content, nil
}

// decode decodes and checks the content of the file.
func decode(content []byte) (State, error) {
	var s State
	if err := json.Unmarshal(content, &s); err != nil {
		return State{}, err
	}
	for _, ids := range [][]string{s.Excluded, s.OlderView} {
		if len(ids) > maxIDs {
			return State{}, fmt.Errorf("over %d exclusions", maxIDs)
		}
		for _, id := range ids {
			if id == "" || len(id) > maxIDSize {
				return State{}, fmt.Errorf("an exclusion of %d bytes", len(id))
			}
		}
	}
	return s, nil
}
