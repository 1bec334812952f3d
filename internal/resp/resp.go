// Package resp reads and writes RESP2, with a bound on everything it reads.
package resp

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
)

// The bounds. A peer that passes one has broken the protocol.
const (
	MaxBulk  = 64 << 10 // bytes of one value that is held
	MaxValue = 8 << 20  // bytes of one that is passed on as it comes
	MaxArgs  = 16       // words of a command, or elements of an answer
	MaxLine  = 1 << 10  // bytes of a line: a length, a number, an error
	maxDepth = 2        // arrays within arrays

	// MaxCommand bounds all words of a command together: one large value, and what names it.
	MaxCommand = MaxBulk + 4<<10
	firstPart  = 4 << 10 // of a value; the rest is made room for as it comes
)

// ErrProtocol is what every breach of the protocol wraps: the stream can't be read any further.
var ErrProtocol = errors.New("protocol error")

func breach(format string, a ...any) error {
	return fmt.Errorf("%w: %s", ErrProtocol, fmt.Sprintf(format, a...))
}

// Command is a client's command: its name and its arguments, at least the name.
type Command [][]byte

// Kind is the type of a value.
type Kind byte

// The kinds.
const (
	Bulk    Kind = '$'
	Array   Kind = '*'
	Status  Kind = '+'
	Failure Kind = '-'
	Integer Kind = ':'
)

var kinds = []byte{byte(Bulk), byte(Array), byte(Status), byte(Failure), byte(Integer)}

// Value is one answer.
type Value struct {
	Kind  Kind
	Null  bool
	Text  []byte // of a bulk string, a status or a failure; of an integer that is none
	Int   int64
	Len   int // that an array is said to have; Items may have fewer if it could not be read
	Items []Value
}

// Reader reads commands or answers from a stream.
type Reader struct{ b *bufio.Reader }

// NewReader reads from r through a buffer of the given size.
func NewReader(r io.Reader, size int) *Reader {
	return &Reader{bufio.NewReaderSize(r, max(size, MaxLine+2))}
}

// Buffered is how many bytes have been read ahead.
func (r *Reader) Buffered() int { return r.b.Buffered() }

// Peek waits for the first byte of what comes next, and returns it.
func (r *Reader) Peek() (byte, error) {
	b, err := r.b.Peek(1)
	if err != nil {
		return 0, err
	}
	return b[0], nil
}

// line returns the next line without its end; it is valid until the next read.
func (r *Reader) line() ([]byte, error) {
	s, err := r.b.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || err == nil && len(s) > MaxLine+2 {
		return nil, breach("line of over %d bytes", MaxLine)
	}
	if err != nil {
		return nil, cut(err, len(s) > 0)
	}
	if len(s) < 2 || s[len(s)-2] != '\r' {
		return nil, breach("line does not end in CR LF")
	}
	if s = s[:len(s)-2]; bytes.IndexByte(s, '\r') >= 0 {
		return nil, breach("CR within a line") // a peer that passed it on would end the line there
	}
	return s, nil
}

// cut tells an end inside a message from one between two.
func cut(err error, inside bool) error {
	if inside && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

func number(s []byte) (int64, error) {
	v, err := strconv.ParseInt(string(s), 10, 64)
	if err != nil || len(s) > 0 && s[0] == '+' {
		return 0, breach("bad number %.20q", s)
	}
	return v, nil
}

// length reads the length in a header line; -1 stands for null.
func length(s []byte, most int64) (int, error) {
	n, err := number(s)
	if err != nil {
		return 0, err
	}
	if n < -1 || n > most {
		return 0, breach("length %d, %d at most", n, most)
	}
	return int(n), nil
}

func (r *Reader) bulk(n int) ([]byte, error) {
	// Danger: a length is quickly written. Memory is taken for what has come, not for what is announced.
	b := make([]byte, min(n+2, firstPart))
	for at := 0; ; b = append(b, make([]byte, min(len(b), n+2-len(b)))...) {
		if _, err := io.ReadFull(r.b, b[at:]); err != nil {
			return nil, cut(err, true)
		}
		if at = len(b); at == n+2 {
			break
		}
	}
	if b[n] != '\r' || b[n+1] != '\n' {
		return nil, breach("bulk string does not end in CR LF")
	}
	return b[:n:n], nil
}

// ReadCommand reads an array of bulk strings. io.EOF means that the stream ended between commands.
func (r *Reader) ReadCommand() (Command, error) {
	head, err := r.line()
	if err != nil {
		return nil, err
	}
	if len(head) == 0 || head[0] != byte(Array) {
		return nil, breach("a command is an array")
	}
	n, err := length(head[1:], MaxArgs)
	if err != nil {
		return nil, err
	}
	if n < 1 {
		return nil, breach("empty command")
	}
	c := make(Command, n)
	all := 0
	for i := range c {
		head, err := r.line()
		if err != nil {
			return nil, cut(err, true)
		}
		if len(head) == 0 || head[0] != byte(Bulk) {
			return nil, breach("a command holds bulk strings")
		}
		size, err := length(head[1:], MaxBulk)
		if err != nil {
			return nil, err
		}
		if size < 0 {
			return nil, breach("null in a command")
		}
		if all += size; all > MaxCommand {
			return nil, breach("command of over %d bytes", MaxCommand)
		}
		if c[i], err = r.bulk(size); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// ReadValue reads one answer.
func (r *Reader) ReadValue() (Value, error) { return r.value(0) }

// ReadAnswer reads one answer, but for one that is an array beginning with a bulk string too large to be held: of that it
// reads up to the string's first byte, and tells its length. What follows is for Read, and then for ReadRest.
func (r *Reader) ReadAnswer() (v Value, large int, err error) {
	if b, err := r.Peek(); err != nil || Kind(b) != Array {
		v, err = r.value(0)
		return v, 0, err
	}
	if v, err = r.array(); err != nil || v.Len <= 0 {
		return v, 0, err
	}
	if b, err := r.Peek(); err == nil && Kind(b) == Bulk {
		head, err := r.line()
		if err != nil {
			return v, 0, cut(err, true)
		}
		n, err := length(head[1:], MaxValue)
		if err != nil {
			return v, 0, err
		}
		if n > MaxBulk {
			return v, n, nil
		}
		first := Value{Kind: Bulk, Null: n < 0}
		if n >= 0 {
			first.Text, err = r.bulk(n)
		}
		if err != nil {
			return v, 0, err
		}
		v.Items = append(v.Items, first)
	}
	err = r.items(&v, 0)
	return v, 0, err
}

// Read reads what comes next as it is.
func (r *Reader) Read(b []byte) (int, error) { return r.b.Read(b) }

// ReadRest reads what follows a large bulk string that was read to its last byte: its end, and the array's other items.
func (r *Reader) ReadRest(v *Value) error {
	end, err := r.bulk(0)
	if err != nil {
		return err
	}
	v.Items = append(v.Items, Value{Kind: Bulk, Text: end})
	return r.items(v, 0)
}

// array reads an array's head.
func (r *Reader) array() (v Value, err error) {
	head, err := r.line()
	if err != nil {
		return v, cut(err, false)
	}
	n, err := length(head[1:], MaxArgs)
	return Value{Kind: Array, Len: n, Null: n < 0}, err
}

// items reads the items of an array that are not read yet.
func (r *Reader) items(v *Value, depth int) error {
	for len(v.Items) < v.Len {
		item, err := r.value(depth + 1)
		if err != nil {
			return err
		}
		v.Items = append(v.Items, item)
	}
	return nil
}

// value reads a value; of an array that breaks off, what was read of it comes with the error.
func (r *Reader) value(depth int) (v Value, err error) {
	if b, err := r.Peek(); err == nil && bytes.IndexByte(kinds, b) < 0 { // noise need not have a line's end
		return v, breach("unknown type %q", b)
	}
	head, err := r.line()
	if err != nil {
		return v, cut(err, depth > 0)
	}
	v.Kind = Kind(head[0])
	rest := head[1:]
	switch v.Kind {
	case Status, Failure:
		v.Text = append([]byte(nil), rest...)
	case Integer:
		if v.Int, err = number(rest); err != nil { // the line was whole: what follows can be read
			v.Text, err = append([]byte(nil), rest...), nil
		}
	case Bulk:
		var n int
		if n, err = length(rest, MaxBulk); err == nil && n >= 0 {
			v.Text, err = r.bulk(n)
		}
		v.Null = n < 0
	case Array:
		var n int
		if n, err = length(rest, MaxArgs); err != nil {
			return v, err
		}
		if v.Len, v.Null = n, n < 0; n > 0 && depth >= maxDepth {
			return v, breach("arrays too deep")
		}
		err = r.items(&v, depth)
	}
	return v, err
}

func appendHead(b []byte, k Kind, n int64) []byte {
	return append(strconv.AppendInt(append(b, byte(k)), n, 10), '\r', '\n')
}

// AppendArray appends the head of an array of n.
func AppendArray(b []byte, n int) []byte { return appendHead(b, Array, int64(n)) }

// AppendInt appends an integer.
func AppendInt(b []byte, v int64) []byte { return appendHead(b, Integer, v) }

// AppendBulkHead appends what stands before the bytes of a bulk string; End stands behind them.
func AppendBulkHead(b []byte, n int) []byte { return appendHead(b, Bulk, int64(n)) }

// End is the end of a bulk string.
const End = "\r\n"

// AppendBulk appends a bulk string.
func AppendBulk[T string | []byte](b []byte, s T) []byte {
	b = appendHead(b, Bulk, int64(len(s)))
	return append(append(b, s...), '\r', '\n')
}

// AppendStatus appends a status line.
func AppendStatus(b []byte, s string) []byte { return appendLine(b, Status, s) }

// AppendFailure appends an error line, such as "BUSY 20" or "ERR failed".
func AppendFailure(b []byte, s string) []byte { return appendLine(b, Failure, s) }

// appendLine keeps line ends out of a line: what a peer sent may stand in it.
func appendLine(b []byte, k Kind, s string) []byte {
	b = append(b, byte(k))
	for i := range min(len(s), MaxLine-1) {
		if c := s[i]; c == '\r' || c == '\n' {
			b = append(b, ' ')
		} else {
			b = append(b, c)
		}
	}
	return append(b, '\r', '\n')
}

// AppendNumber appends a decimal number as a bulk string, RESP2 having no other form for it. Nothing is added
// so that a zero below nothing loses its sign.
func AppendNumber(b []byte, v float64) []byte {
	return AppendBulk(b, strconv.FormatFloat(math.Round(v*1e3)/1e3+0, 'f', -1, 64))
}

// AppendValue appends a value as it was read.
func AppendValue(b []byte, v Value) []byte {
	switch {
	case v.Null:
		return appendHead(b, v.Kind, -1)
	case v.Kind == Array:
		b = AppendArray(b, len(v.Items))
		for _, item := range v.Items {
			b = AppendValue(b, item)
		}
		return b
	case v.Kind == Bulk:
		return AppendBulk(b, v.Text)
	case v.Kind == Integer && v.Text == nil:
		return AppendInt(b, v.Int)
	}
	return appendLine(b, v.Kind, string(v.Text))
}
