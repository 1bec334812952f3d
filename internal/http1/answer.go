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
	MaxLine             = 4 << 10 // bytes of a line, its end included
	MaxHeaders          = 64      // of an answer; trailers are bounded by the same number
	MaxBody             = 1 << 20 // bytes that ReadBody reads
	maxContentLength    = 1 << 30 // bytes of a body that is announced; readers have bounds of their own
	maxInterimResponses = 8       // interim answers before the final one
)

// ErrProtocol is what every breach of the protocol wraps. The connection can't be read any further.
var ErrProtocol = errors.New("protocol error")

func protocolError(reason string) error { return fmt.Errorf("%w: %s", ErrProtocol, reason) }

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
	for range maxInterimResponses {
		resp, err := readHead(r)
		if err != nil || resp.Status >= 200 || resp.Status == 101 { // nobody asked to switch protocols: it is final
			return resp, err
		}
	}
	return Response{}, protocolError("too many interim answers")
}

// readHead reads a status line and the headers.
func readHead(r *bufio.Reader) (Response, error) {
	resp := Response{Length: -1}
	line, err := readLine(r)
	if err != nil {
		return resp, err
	}
	if err := resp.parseStatusLine(line); err != nil {
		return resp, err
	}
	for range MaxHeaders {
		line, err = readLine(r)
		if err != nil {
			return resp, unexpectedEOF(err)
		}
		if len(line) == 0 {
			if resp.Status < 200 || resp.Status == 204 || resp.Status == 304 { // such an answer has no body, whatever its headers say
				resp.Length = 0
				resp.Chunked = false
			}
			return resp, nil
		}
		if err := resp.parseHeader(line); err != nil {
			return resp, err
		}
	}
	return resp, protocolError("too many headers")
}

// parseStatusLine takes a status line into a.
func (resp *Response) parseStatusLine(line []byte) (err error) {
	if len(line) < 12 || !bytes.HasPrefix(line, []byte("HTTP/1.")) || line[8] != ' ' || len(line) > 12 && line[12] != ' ' {
		return protocolError("no status line")
	}
	resp.Status, err = strconv.Atoi(string(line[9:12]))
	if err != nil || resp.Status < 100 {
		return protocolError("bad status")
	}
	resp.Close = line[7] == '0' // HTTP/1.0
	return nil
}

// parseHeader takes a header into a. Those that say nothing of the body or the connection are ignored.
func (resp *Response) parseHeader(line []byte) (err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	if !ok {
		return protocolError("header without a colon")
	}
	value = bytes.TrimSpace(value)
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		resp.Length, err = strconv.Atoi(string(value))
		if err != nil || resp.Length < 0 || resp.Length > maxContentLength {
			return protocolError("bad Content-Length")
		}
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		resp.Chunked = bytes.EqualFold(value, []byte("chunked"))
		if !resp.Chunked {
			return protocolError("unknown Transfer-Encoding")
		}
	case bytes.EqualFold(name, []byte("Connection")):
		resp.Close = resp.Close || bytes.EqualFold(value, []byte("close"))
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
