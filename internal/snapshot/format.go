// Package snapshot owns the decision module's state as it outlasts a process: the format of a snapshot, how it is fitted to the
// settings of another process, and its files, with their incarnations and generations.
//
// A snapshot was written by another process, perhaps of another version, and perhaps incompletely: all of it is bounded and checked
// before any of it is used.
package snapshot

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	dw "dewhitch"
)

// Version is that of the format; a snapshot of another version is not used.
const Version = 1

// Bounds of a snapshot.
const (
	MaxSize      = 16 << 20 // bytes
	MaxCustomers = 1 << 16
	maxElements  = 1 << 17 // of an array
)

// The header, big-endian: magic, version, length of the body, incarnation, number, and the checksum of all other bytes.
const (
	magic          = "dwsnap"
	checksumOffset = 28
	headerSize     = checksumOffset + 8
)

// Generation orders snapshots.
type Generation struct {
	Incarnation uint64 `json:"Life"`   // of the process; greater than that of any before
	Number      uint64 `json:"Number"` // of the write in that process, from 1
}

// Image is a snapshot's content: the state, and the settings that its indices refer to.
type Image struct {
	Node      string   `json:"Node"`
	Instances int      `json:"Instances"`
	Self      int      `json:"Self"`
	Zones     int      `json:"Zones"`
	Classes   []string `json:"Classes"`
	Plans     []Plan   `json:"Plans"`
	State     dw.State `json:"Learnt"`
}

// Plan is what the accounts of a plan depend on; a plan that differs in any of it is another one.
type Plan struct {
	Name    string  `json:"Name"`
	Rate    float64 `json:"Rate"`
	Burst   float64 `json:"Burst"`
	Ceiling float64 `json:"Ceiling"`
}

// The faults of a snapshot.
var (
	ErrEmpty   = errors.New("claimed, but nothing written yet")
	ErrTorn    = errors.New("torn") // incomplete, or changed
	ErrVersion = errors.New("of another version")
	ErrBroken  = errors.New("broken")
)

var (
	encMode = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	// The options bound what is allocated: a few bytes can announce an array of any length, or nest maps without end.
	decMode = must(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: 1 << 10, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode appends a snapshot to b. It fails for one of over MaxSize bytes, and returns b then.
func Encode(b []byte, g Generation, m *Image) ([]byte, error) {
	start := len(b)
	out := bytes.NewBuffer(append(b, make([]byte, headerSize)...))
	if err := encMode.NewEncoder(out).Encode(m); err != nil {
		return b, err
	}
	b = out.Bytes()
	if len(b)-start > MaxSize {
		return b[:start], fmt.Errorf("snapshot: %d bytes, over the %d that are read", len(b)-start, MaxSize)
	}
	seal(b[start:], g)
	return b, nil
}

// seal fills in the header of a snapshot.
func seal(h []byte, g Generation) {
	copy(h, magic)
	binary.BigEndian.PutUint16(h[6:], Version)
	binary.BigEndian.PutUint32(h[8:], uint32(len(h)-headerSize))
	binary.BigEndian.PutUint64(h[12:], g.Incarnation)
	binary.BigEndian.PutUint64(h[20:], g.Number)
	binary.BigEndian.PutUint64(h[checksumOffset:], checksum(h))
}

// checksum is that of all bytes but its own.
func checksum(h []byte) uint64 {
	d := xxhash.New()
	d.Write(h[:checksumOffset])
	d.Write(h[headerSize:])
	return d.Sum64()
}

// Decode reads a snapshot. It fails with ErrEmpty, ErrTorn, ErrVersion or ErrBroken. Memory for a length is allocated only after its
// bytes have been found.
func Decode(b []byte) (g Generation, m *Image, err error) {
	switch {
	case len(b) == 0:
		return g, nil, ErrEmpty
	case len(b) < headerSize || len(b) > MaxSize:
		return g, nil, fmt.Errorf("%w: %d bytes", ErrTorn, len(b))
	case string(b[:6]) != magic:
		return g, nil, fmt.Errorf("%w: not a snapshot", ErrBroken)
	case binary.BigEndian.Uint16(b[6:]) != Version:
		return g, nil, fmt.Errorf("%w: %d, not %d", ErrVersion, binary.BigEndian.Uint16(b[6:]), Version)
	case int64(binary.BigEndian.Uint32(b[8:])) != int64(len(b)-headerSize):
		return g, nil, fmt.Errorf("%w: %d bytes of %d", ErrTorn, len(b)-headerSize, binary.BigEndian.Uint32(b[8:]))
	case binary.BigEndian.Uint64(b[checksumOffset:]) != checksum(b):
		return g, nil, fmt.Errorf("%w: the sum does not match", ErrTorn)
	}
	g = Generation{binary.BigEndian.Uint64(b[12:]), binary.BigEndian.Uint64(b[20:])}
	m = &Image{}
	if err := decMode.Unmarshal(b[headerSize:], m); err != nil {
		return g, nil, fmt.Errorf("%w: %v", ErrBroken, err)
	}
	if len(m.State.Customers) > MaxCustomers {
		return g, nil, fmt.Errorf("%w: %d customers", ErrBroken, len(m.State.Customers))
	}
	return g, m, nil
}
