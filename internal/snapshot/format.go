// Package snapshot stores the decision module's state so that it outlives the process. It defines the format of a snapshot, its
// conversion to the settings of another process, and the snapshot files with their incarnations and generations.
//
// A snapshot may have been written by another version of the program, or incompletely. All of it is bounded and checked before
// any of it is used.
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

// Version is the version of the format. A snapshot of another version is not used.
const Version = 1

// Bounds of a snapshot.
const (
	MaxSize      = 16 << 20 // maximum size in bytes
	MaxCustomers = 1 << 16  // maximum number of customers
	maxElements  = 1 << 17  // maximum number of elements of a CBOR array
)

// Layout of the header, which is big-endian: magic, version, length of the body, incarnation, number, and the checksum of all
// other bytes.
const (
	magic          = "dwsnap"
	checksumOffset = 28
	headerSize     = checksumOffset + 8
)

// Generation identifies and orders the snapshots of a node: first by incarnation, then by number.
type Generation struct {
	Incarnation uint64 `json:"Life"`   // incarnation of the process; greater than all earlier ones
	Number      uint64 `json:"Number"` // number of the write within that process, from 1
}

// Image is the content of a snapshot: the state, and the settings that the indices in the state refer to.
type Image struct {
	Node      string   `json:"Node"`
	Instances int      `json:"Instances"`
	Self      int      `json:"Self"`
	Zones     int      `json:"Zones"`
	Classes   []string `json:"Classes"`
	Plans     []Plan   `json:"Plans"`
	State     dw.State `json:"Learnt"`
}

// Plan holds the settings of a plan that the accounts of its customers depend on. Plans that differ in any field are different
// plans.
type Plan struct {
	Name    string  `json:"Name"`
	Rate    float64 `json:"Rate"`
	Burst   float64 `json:"Burst"`
	Ceiling float64 `json:"Ceiling"`
}

// The errors of a snapshot that can't be used.
var (
	ErrEmpty   = errors.New("claimed, but nothing written yet")
	ErrTorn    = errors.New("torn") // incomplete or modified
	ErrVersion = errors.New("of another version")
	ErrBroken  = errors.New("broken")
)

var (
	encMode = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	// The options bound memory use: a few bytes can announce an array of any length, or nest maps to any depth.
	decMode = must(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: 1 << 10, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode appends a snapshot to b. It fails, and returns b unchanged, if the snapshot is over MaxSize bytes.
func Encode(b []byte, g Generation, m *Image) ([]byte, error) {
	start := len(b)
	out := bytes.NewBuffer(append(b, make([]byte, headerSize)...))
	if err := encMode.NewEncoder(out).Encode(m); err != nil {
		return b, err
	}
	b = out.Bytes()
	if len(b)-start > MaxSize {
		return b[:start], fmt.Errorf("snapshot: size of %d bytes exceeds the limit of %d bytes", len(b)-start, MaxSize)
	}
	seal(b[start:], g)
	return b, nil
}

// seal fills in the header of the snapshot h, whose body is complete.
func seal(h []byte, g Generation) {
	copy(h, magic)
	binary.BigEndian.PutUint16(h[6:], Version)
	binary.BigEndian.PutUint32(h[8:], uint32(len(h)-headerSize))
	binary.BigEndian.PutUint64(h[12:], g.Incarnation)
	binary.BigEndian.PutUint64(h[20:], g.Number)
	binary.BigEndian.PutUint64(h[checksumOffset:], checksum(h))
}

// checksum returns the checksum of all bytes of a snapshot except the checksum field.
func checksum(h []byte) uint64 {
	d := xxhash.New()
	d.Write(h[:checksumOffset])
	d.Write(h[headerSize:])
	return d.Sum64()
}

// Decode decodes a snapshot. It returns ErrEmpty, ErrTorn, ErrVersion or ErrBroken for one that can't be used. It allocates
// memory for an announced length only after the bytes have been found to be present.
func Decode(b []byte) (g Generation, m *Image, err error) {
	switch {
	case len(b) == 0:
		return g, nil, ErrEmpty
	case len(b) < headerSize || len(b) > MaxSize:
		return g, nil, fmt.Errorf("%w: %d bytes", ErrTorn, len(b))
	case string(b[:6]) != magic:
		return g, nil, fmt.Errorf("%w: not a snapshot", ErrBroken)
	case binary.BigEndian.Uint16(b[6:]) != Version:
		return g, nil, fmt.Errorf("%w: %d, want %d", ErrVersion, binary.BigEndian.Uint16(b[6:]), Version)
	case int64(binary.BigEndian.Uint32(b[8:])) != int64(len(b)-headerSize):
		return g, nil, fmt.Errorf("%w: %d bytes of %d", ErrTorn, len(b)-headerSize, binary.BigEndian.Uint32(b[8:]))
	case binary.BigEndian.Uint64(b[checksumOffset:]) != checksum(b):
		return g, nil, fmt.Errorf("%w: checksum mismatch", ErrTorn)
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
