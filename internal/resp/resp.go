// Package resp reads and writes RESP2, with a bound on everything it reads.
//
// reader.go reads lines and bulk strings, command.go commands, value.go answers; append.go writes.
package resp

import (
	"errors"
	"fmt"
)

// The bounds. A peer that exceeds one has broken the protocol.
const (
	MaxBulk    = 64 << 10        // bytes of one value that is read into memory
	MaxValue   = 8 << 20         // bytes of one that is streamed
	MaxArgs    = 16              // words of a command, or elements of an answer
	MaxLine    = 1 << 10         // bytes of a line: a length, a number, an error
	MaxCommand = MaxBulk + 4<<10 // bytes of all words of a command together: one large value, and what names it
	maxDepth   = 2               // arrays within arrays
	// firstAllocation is the memory in bytes that is taken for a bulk string before its bytes come.
	firstAllocation = 4 << 10
)

// ErrProtocol is what every breach of the protocol wraps: the stream can't be read any further.
var ErrProtocol = errors.New("protocol error")

func protocolError(format string, a ...any) error {
	return fmt.Errorf("%w: %s", ErrProtocol, fmt.Sprintf(format, a...))
}

// Command is a client's command: its name and its arguments, at least the name.
type Command [][]byte

// Kind is the type of a value.
type Kind byte

// The kinds, by the byte that a value of each begins with.
const (
	Bulk    Kind = '$'
	Array   Kind = '*'
	Status  Kind = '+'
	Error   Kind = '-'
	Integer Kind = ':'
)

var kinds = []byte{byte(Bulk), byte(Array), byte(Status), byte(Error), byte(Integer)}

// Value is one answer, or an item of one.
type Value struct {
	Kind  Kind
	Null  bool
	Text  []byte  // of a bulk string, a status or a failure; of an integer that can't be parsed
	Int   int64   // of an integer
	Len   int     // announced length of an array
	Items []Value // of an array; fewer than Len if it could not be read completely
}
