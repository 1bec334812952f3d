package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// Epoch identifies a plan by the generation of the log that committed it and its index in that log. Plans are
// ordered by generation, then by index. The epoch that a member applies never decreases.
type Epoch struct {
	Generation uint64 `cbor:"1,keyasint"`
	Index      uint64 `cbor:"2,keyasint"`
}

// Less returns true if e precedes o.
func (e Epoch) Less(o Epoch) bool {
	return e.Generation < o.Generation || e.Generation == o.Generation && e.Index < o.Index
}

// String formats the epoch as GENERATION.INDEX.
func (e Epoch) String() string { return fmt.Sprintf("%d.%d", e.Generation, e.Index) }

// MarshalText implements encoding.TextMarshaler.
func (e Epoch) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (e *Epoch) UnmarshalText(b []byte) (err error) {
	generation, index, ok := strings.Cut(string(b), ".")
	if !ok {
		return fmt.Errorf("fleet: %q is not an epoch; expected GENERATION.INDEX", b)
	}
	if e.Generation, err = strconv.ParseUint(generation, 10, 64); err != nil {
		return err
	}
	e.Index, err = strconv.ParseUint(index, 10, 64)
	return err
}
