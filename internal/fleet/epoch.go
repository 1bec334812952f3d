package fleet

import (
	"fmt"
	"strconv"
	"strings"
)

// Epoch orders plans: the generation of the log that committed one, then its index in that log. It never goes
// back at any member.
type Epoch struct {
	Generation uint64 `cbor:"1,keyasint"`
	Index      uint64 `cbor:"2,keyasint"`
}

// Less tells whether e comes before o.
func (e Epoch) Less(o Epoch) bool {
	return e.Generation < o.Generation || e.Generation == o.Generation && e.Index < o.Index
}

// String is GENERATION.INDEX.
func (e Epoch) String() string { return fmt.Sprintf("%d.%d", e.Generation, e.Index) }

// MarshalText implements encoding.TextMarshaler.
func (e Epoch) MarshalText() ([]byte, error) { return []byte(e.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (e *Epoch) UnmarshalText(b []byte) (err error) {
	generation, index, ok := strings.Cut(string(b), ".")
	if !ok {
		return fmt.Errorf("fleet: %q is no epoch", b)
	}
	if e.Generation, err = strconv.ParseUint(generation, 10, 64); err != nil {
		return err
	}
	e.Index, err = strconv.ParseUint(index, 10, 64)
	return err
}
