// Package resp reads and writes RESP2, the protocol of Redis, with a bound on everything that it reads.
//
// reader.go reads lines and bulk strings, command.go reads commands, value.go reads answers, and append.go writes both.
package resp

import (
	"errors"
	"fmt"
)

// Bounds on what is read. A peer that exceeds one violates the protocol.
const (
	MaxBulk  = 64 << 10        // bytes of a bulk string that is read into memory
	MaxValue = 8 << 20         // bytes of a bulk string that is streamed
	MaxArgs  = 16              // arguments of a command including its name, or items of an array in an answer
	MaxLine  = 1 << 10         // bytes of a line without its CR LF; it holds a length, a number, a status or an error
	MaxArray = MaxBulk + 4<<10 // bytes of all bulk strings of an array together, in memory: one large value and the short ones
	maxDepth = 2               // levels of arrays within arrays
	// firstAllocation is the number of bytes that are allocated for a bulk string before any of its bytes arrive.
	firstAllocation = 4 << 10
)

// ErrProtocol is wrapped by every error that reports a violation of the protocol. After it, nothing more can be read from the stream.
var ErrProtocol = errors.New("protocol error")

func protocolError(format string, a ...any) error {
	return fmt.Errorf("%w: %s", ErrProtocol, fmt.Sprintf(format, a...))
}

// Command is a command that a client sends: its name, followed by its arguments.
type Command [][]byte

// Kind is the type of a value. It is the first byte of the encoded value.
type Kind byte

// The kinds of values in RESP2.
const (
	Bulk    Kind = '$'
	Array   Kind = '*'
	Status  Kind = '+'
	Error   Kind = '-'
	Integer Kind = ':'
)

var kinds = []byte{byte(Bulk), byte(Array), byte(Status), byte(Error), byte(Integer)}

// Value is an answer, or an item of an array in an answer.
type Value struct {
	Kind  Kind
	Null  bool    // the value is a null bulk string or a null array
	Text  []byte  // text of a bulk string, a status or an error, or of an integer that cannot be parsed
	Int   int64   // value of an integer
	Len   int     // length that an array announces; -1 if a null array was read
	Items []Value // items of an array; fewer than Len if the array could not be read completely
}
