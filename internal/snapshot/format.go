// Package snapshot owns what a process has learnt as it outlives the process: the format of a snapshot, how it is fitted
// to the settings of another process, and its files, with their lives and generations.
//
// Whatever is read here was written by another process, perhaps of another version, and perhaps half: all of it is
// bounded and checked before any of it is used.
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

// Version is that of the format; a snapshot of another one is left alone.
const Version = 1

// The bounds of a snapshot.
const (
	MaxSize      = 16 << 20
	MaxCustomers = 1 << 16
	maxElements  = 1 << 17
)

// The header: magic, version and length, generation, then the sum of all other bytes.
const (
	magic      = "dwsnap"
	sumAt      = 28
	headerSize = sumAt + 8
)

// Generation orders snapshots: the lives of processes, and the writes of each.
type Generation struct {
	Life   uint64 `json:"Life"`
	Number uint64 `json:"Number"`
}

// Image is a snapshot's content: what was learnt, and whose settings its indices are of.
type Image struct {
	Node      string   `json:"Node"`
	Instances int      `json:"Instances"`
	Self      int      `json:"Self"`
	Zones     int      `json:"Zones"`
	Classes   []string `json:"Classes"`
	Plans     []Plan   `json:"Plans"`
	State     dw.State `json:"Learnt"`
}

// Plan is what a plan's accounts depend on; one that says anything else is another plan.
type Plan struct {
	Name    string  `json:"Name"`
	Rate    float64 `json:"Rate"`
	Burst   float64 `json:"Burst"`
	Ceiling float64 `json:"Ceiling"`
}

// The faults of a snapshot, for figures and log lines.
var (
	ErrEmpty   = errors.New("claimed, but nothing written yet")
	ErrTorn    = errors.New("torn")
	ErrVersion = errors.New("of another version")
	ErrBroken  = errors.New("broken")
)

var (
	encoding = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	// Danger: a few bytes can announce an array of any length, and hold maps in maps without end.
	decoding = must(cbor.DecOptions{MaxArrayElements: maxElements, MaxMapPairs: 1 << 10, MaxNestedLevels: 8,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF}.DecMode())
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err)
	}
	return v
}

// Encode writes a snapshot behind the bytes of b, which may be used again.
func Encode(b []byte, g Generation, m *Image) ([]byte, error) {
	start := len(b)
	out := bytes.NewBuffer(append(b, make([]byte, headerSize)...))
	if err := encoding.NewEncoder(out).Encode(m); err != nil {
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
	binary.BigEndian.PutUint64(h[12:], g.Life)
	binary.BigEndian.PutUint64(h[20:], g.Number)
	binary.BigEndian.PutUint64(h[sumAt:], sum(h))
}

// sum is of all bytes but itself.
func sum(h []byte) uint64 {
	d := xxhash.New()
	d.Write(h[:sumAt])
	d.Write(h[headerSize:])
	return d.Sum64()
}

// Decode reads a snapshot: all of it, or nothing and the fault. Nothing is allocated for a length before its bytes are
// seen to be there.
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
	case binary.BigEndian.Uint64(b[sumAt:]) != sum(b):
		return g, nil, fmt.Errorf("%w: the sum does not match", ErrTorn)
	}
	g = Generation{binary.BigEndian.Uint64(b[12:]), binary.BigEndian.Uint64(b[20:])}
	m = &Image{}
	if err := decoding.Unmarshal(b[headerSize:], m); err != nil {
		return g, nil, fmt.Errorf("%w: %v", ErrBroken, err)
	}
	if len(m.State.Customers) > MaxCustomers {
		return g, nil, fmt.Errorf("%w: %d customers", ErrBroken, len(m.State.Customers))
	}
	return g, m, nil
}
