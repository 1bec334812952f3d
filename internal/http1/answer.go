package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// Bounds on what is read. A peer that exceeds one violates the protocol.
const (
	MaxLine             = 4 << 10 // bytes of a line, including its CR LF
	MaxHeaders          = 64      // number of headers of a response, and of trailers of a body
	MaxBody             = 1 << 20 // bytes of a body that ReadBody accepts
	maxContentLength    = 1 << 30 // bytes that Content-Length may announce; the readers of a body have lower bounds
	maxInterimResponses = 8       // interim (1xx) responses before the final one
)

// ErrProtocol is wrapped by every error that reports a violation of the protocol. After it, nothing more can be read from the
// connection.
var ErrProtocol = errors.New("protocol error")

func protocolError(reason string) error { return fmt.Errorf("%w: %s", ErrProtocol, reason) }

// Response is the head of a response: the part of the status line and the headers that concerns the body and the connection.
type Response struct {
	Status  int
	Length  int  // bytes of the body; -1 if the body ends with the connection
	Chunked bool // the body has the chunked encoding, and Length is unused
	Close   bool // the server closes the connection after this response
}

// ReadResponse reads the head of a response and leaves r at the body. It skips interim responses. Its error wraps ErrProtocol, or is
// an error of r; io.EOF means that r ended before the response began.
func ReadResponse(r *bufio.Reader) (Response, error) {
	for range maxInterimResponses {
		resp, err := readHead(r)
		if err != nil || resp.Status >= 200 || resp.Status == 101 { // 101 is final, as no request asks to switch protocols
			return resp, err
		}
	}
	return Response{}, protocolError("too many interim responses")
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
			if resp.Status < 200 || resp.Status == 204 || resp.Status == 304 { // there is no body, whatever the headers announce
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

// parseStatusLine sets Status and Close from a status line.
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

// parseHeader sets the field for a header. It ignores headers that do not concern the body or the connection.
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

// readLine returns the next line without its line end. The slice is valid until the next read.
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

// unexpectedEOF replaces io.EOF with io.ErrUnexpectedEOF, for reads within a response.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
