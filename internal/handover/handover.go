// Package handover owns the state that a gateway's process leaves for the process that replaces it: the servers that operators
// have excluded. It is one file in a folder that both processes share, which is replaced atomically.
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

// State is what is handed over.
type State struct {
	Excluded []string `json:"excluded"` // ids of servers, in discovery's form
}

// Bounds of the file, which another process wrote, and which may be broken.
const (
	maxSize   = 1 << 20 // bytes
	maxIDs    = 1 << 14
	maxIDSize = 64 // bytes
)

// ErrNone says that no process left a state.
var ErrNone = errors.New("handover: no state was left")

// Path is the file of the gateway of that name in the folder.
func Path(dir, name string) string {
	return filepath.Join(dir, "dewhitch-"+filepath.Base(name)+".handover.json")
}

// Save replaces the file atomically; the state is durable when it returns. The temporary file has the process's number in its name,
// as two processes of one gateway may save at the same time.
func Save(path string, s State) error {
	text, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return durable.Replace(durable.Disk, fmt.Sprintf("%s.%d.part", path, os.Getpid()), path, text)
}

// Load reads the state. It fails with ErrNone if there is no file, and with another error, and an empty state, if the file is
// broken.
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
