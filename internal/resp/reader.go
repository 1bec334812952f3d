package resp

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// Reader reads commands or answers from a stream. It is not safe for concurrent use. Its errors wrap ErrProtocol, or are those of
// the stream: io.EOF if it ends between two commands or answers, io.ErrUnexpectedEOF if it ends within one.
type Reader struct {
	// BeforeBulk is called with the length of each bulk string of an array before its first byte is read into memory. An error of it
	// ends the reading and is returned as it is. It may be nil.
	BeforeBulk func(length int) error
	// MustStream reports whether a bulk string that begins an answer is to be streamed although it has at most MaxBulk bytes. It may be
	// nil.
	MustStream func(length int) bool

	b          *bufio.Reader
	arrayBytes int // bytes of the bulk strings of the array that is being read
}

// NewReader returns a Reader of r whose buffer has bufferSize bytes, or enough for one line if that is more.
func NewReader(r io.Reader, bufferSize int) *Reader {
	return &Reader{b: bufio.NewReaderSize(r, max(bufferSize, MaxLine+2))}
}

// Buffered returns the number of bytes that are in the buffer and unread.
func (r *Reader) Buffered() int { return r.b.Buffered() }

// Peek waits for the next byte, and returns it without consuming it.
func (r *Reader) Peek() (byte, error) {
	b, err := r.b.Peek(1)
	if err != nil {
		return 0, err
	}
	return b[0], nil
}

// Read reads the next bytes without decoding them.
func (r *Reader) Read(b []byte) (int, error) { return r.b.Read(b) }

// line returns the next line without its CR LF. The slice is valid until the next read.
func (r *Reader) line() ([]byte, error) {
	s, err := r.b.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || err == nil && len(s) > MaxLine+2 {
		return nil, protocolError("line of over %d bytes", MaxLine)
	}
	if err != nil {
		return nil, midMessageEOF(err, len(s) > 0)
	}
	if len(s) < 2 || s[len(s)-2] != '\r' {
		return nil, protocolError("line does not end in CR LF")
	}
	s = s[:len(s)-2]
	if bytes.IndexByte(s, '\r') >= 0 { // a peer to which the line is forwarded could take the CR for the end of the line
		return nil, protocolError("CR within a line")
	}
	return s, nil
}

// countBulk counts a bulk string of n bytes that follows in the array that is being read, and announces it to BeforeBulk. what names
// the array in errors.
func (r *Reader) countBulk(n int, what string) error {
	r.arrayBytes += n
	if r.arrayBytes > MaxArray {
		return protocolError("%s of over %d bytes", what, MaxArray)
	}
	if r.BeforeBulk == nil {
		return nil
	}
	return r.BeforeBulk(n)
}

// bulk reads the n bytes of a bulk string and its end. A peer can announce any length at no cost, so that the whole is allocated only
// once firstAllocation bytes have arrived.
func (r *Reader) bulk(n int) ([]byte, error) {
	size := n + len(BulkEnd)
	b := make([]byte, min(size, firstAllocation))
	if _, err := io.ReadFull(r.b, b); err != nil {
		return nil, midMessageEOF(err, true)
	}
	if len(b) < size {
		first := b
		b = make([]byte, size)
		if _, err := io.ReadFull(r.b, b[copy(b, first):]); err != nil {
			return nil, midMessageEOF(err, true)
		}
	}
	if b[n] != '\r' || b[n+1] != '\n' {
		return nil, protocolError("bulk string does not end in CR LF")
	}
	return b[:n:n], nil
}

// midMessageEOF replaces io.EOF with io.ErrUnexpectedEOF if the stream ended within a command or answer.
func midMessageEOF(err error, midMessage bool) error {
	if midMessage && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// parseInteger parses a decimal integer that may have a minus sign, but no plus sign.
func parseInteger(s []byte) (int64, error) {
	v, err := strconv.ParseInt(string(s), 10, 64)
	if err != nil || len(s) > 0 && s[0] == '+' {
		return 0, protocolError("bad number %.20q", s)
	}
	return v, nil
}

// parseLength parses a length of at most limit; -1 stands for null.
func parseLength(s []byte, limit int64) (int, error) {
	n, err := parseInteger(s)
	if err != nil {
		return 0, err
	}
	if n < -1 || n > limit {
		return 0, protocolError("length %d, %d at most", n, limit)
	}
	return int(n), nil
}
