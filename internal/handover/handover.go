// Package handover stores the state that a gateway's process passes to the process that replaces it: the servers that operators
// have excluded. The state is one file, which is replaced atomically, in a folder that both processes share.
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
}

// Bounds of the file, which another process wrote and which may be corrupt.
const (
	maxSize   = 1 << 20 // greatest size of the file in bytes
	maxIDs    = 1 << 14 // greatest number of excluded servers
	maxIDSize = 64      // greatest length of a server's id in bytes
)

// ErrNone is returned by Load if there is no handover file.
var ErrNone = errors.New("handover: no state was left")

// Path returns the path of a gateway's handover file in the folder. It uses only the last element of name, so that the file is
// never outside the folder.
func Path(dir, name string) string {
	return filepath.Join(dir, "dewhitch-"+filepath.Base(name)+".handover.json")
}

// Save replaces the file atomically. The state is durable when Save returns without an error. The name of the temporary file
// contains the process id, as two processes of a gateway may save at the same time.
func Save(path string, s State) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return durable.Replace(durable.Disk, fmt.Sprintf("%s.%d.part", path, os.Getpid()), path, text)
}

// Load reads the state. It returns ErrNone if there is no file, and another error with an empty state if the file can't be read
// or is corrupt.
func Load(path string) (State, error) {
	var s State
	f, err := os.Open(path)
	if errors.Is(err, os.ErrNotExist) {
		return s, ErrNone
	} else if err != nil {
		return s, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxSize+1))
	if err != nil {
		return s, err
	}
	if len(text) > maxSize {
		return s, fmt.Errorf("handover: %s is over %d bytes", path, maxSize)
	}
	if err := json.Unmarshal(text, &s); err != nil {
		return State{}, fmt.Errorf("handover: %s: %w", path, err)
	}
	if len(s.Excluded) > maxIDs {
		return State{}, fmt.Errorf("handover: %s: over %d exclusions", path, maxIDs)
	}
	for _, id := range s.Excluded {
		if id == "" || len(id) > maxIDSize {
			return State{}, fmt.Errorf("handover: %s: an exclusion of %d bytes", path, len(id))
		}
	}
	return s, nil
}
