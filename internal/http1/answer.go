package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// The bounds. A peer that exceeds one has broken the protocol.
const (
	MaxLine    = 4 << 10 // bytes of a line, its end included
	MaxHeaders = 64      // of an answer; trailers are bounded by the same number
	MaxBody    = 1 << 20 // bytes that ReadBody reads
	maxLength  = 1 << 30 // bytes of a body that is announced; readers have bounds of their own
	maxInterim = 8       // interim answers before the final one
)

// ErrProtocol is what every breach of the protocol wraps. The connection can't be read any further.
var ErrProtocol = errors.New("protocol error")

func protocolError(what string) error { return fmt.Errorf("%w: %s", ErrProtocol, what) }

// Response is the head of an answer.
type Response struct {
	Status  int
	Length  int  // of the body in bytes; -1: until the connection ends
	Chunked bool // the body is in chunks, and Length does not count
	Close   bool // the connection ends with this answer
}

// ReadResponse reads the head of an answer; the body is next in r. Interim answers before it are skipped. The error wraps
// ErrProtocol, or is that of r; io.EOF means that r ended before the answer.
func ReadResponse(r *bufio.Reader) (Response, error) {
	for range maxInterim {
		a, err := readHead(r)
		if err != nil || a.Status >= 200 || a.Status == 101 { // nobody asked to switch protocols: it is final
			return a, err
		}
	}
	return Response{}, protocolError("too many interim answers")
}

// readHead reads a status line and the headers.
func readHead(r *bufio.Reader) (Response, error) {
	a := Response{Length: -1}
	s, err := readLine(r)
	if err != nil {
		return a, err
	}
	if err := a.parseStatusLine(s); err != nil {
		return a, err
	}
	for range MaxHeaders {
		s, err = readLine(r)
		if err != nil {
			return a, unexpectedEOF(err)
		}
		if len(s) == 0 {
			if a.Status < 200 || a.Status == 204 || a.Status == 304 { // such an answer has no body, whatever its headers say
				a.Length = 0
				a.Chunked = false
			}
			return a, nil
		}
		if err := a.parseHeader(s); err != nil {
			return a, err
		}
	}
	return a, protocolError("too many headers")
}

// parseStatusLine takes a status line into a.
func (a *Response) parseStatusLine(s []byte) (err error) {
	if len(s) < 12 || !bytes.HasPrefix(s, []byte("HTTP/1.")) || s[8] != ' ' || len(s) > 12 && s[12] != ' ' {
		return protocolError("no status line")
	}
	a.Status, err = strconv.Atoi(string(s[9:12]))
	if err != nil || a.Status < 100 {
		return protocolError("bad status")
	}
	a.Close = s[7] == '0' // HTTP/1.0
	return nil
}

// parseHeader takes a header into a. Those that say nothing of the body or the connection are ignored.
func (a *Response) parseHeader(s []byte) (err error) {
	name, value, ok := bytes.Cut(s, []byte(":"))
	if !ok {
		return protocolError("header without a colon")
	}
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		a.Length, err = strconv.Atoi(string(value))
		if err != nil || a.Length < 0 || a.Length > maxLength {
			return protocolError("bad Content-Length")
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		a.Chunked = bytes.EqualFold(value, []byte("chunked"))
		if !a.Chunked {
			return protocolError("unknown Transfer-Encoding")
		}
	case bytes.EqualFold(name, []byte("Connection")):
		a.Close = a.Close || bytes.EqualFold(value, []byte("close"))
	}
	return nil
}

// readLine returns the next line without its end; it is valid until the next read.
func readLine(r *bufio.Reader) ([]byte, error) {
	s, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || err == nil && len(s) > MaxLine {
		return nil, protocolError("line too long")
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(s[:len(s)-1], []byte("\r")), nil
}

// unexpectedEOF is the error of a read within an answer, where the end of the stream is a fault.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
