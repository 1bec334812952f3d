// Package http1 writes HTTP/1.1 requests and reads the answers, with a bound on everything it reads.
package http1

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// The bounds.
const (
	MaxLine    = 4 << 10
	MaxHeaders = 64
	MaxBody    = 1 << 20
	maxLength  = 1 << 30 // of a body that is announced; readers have bounds of their own
)

// ErrProtocol is what every breach of the protocol wraps.
var ErrProtocol = errors.New("protocol error")

func breach(what string) error { return fmt.Errorf("%w: %s", ErrProtocol, what) }

// AppendRequest appends a request without a body.
func AppendRequest(b []byte, method, target, host string) []byte {
	b = append(append(append(b, method...), ' '), target...)
	b = append(append(append(b, " HTTP/1.1\r\nHost: "...), host...), "\r\n"...)
	if method == "POST" {
		b = append(b, "Content-Length: 0\r\n"...)
	}
	return append(b, "\r\n"...)
}

// Answer is the head of an answer.
type Answer struct {
	Status  int
	Length  int  // of the body; -1: until the connection ends
	Chunked bool // Length does not count
	Close   bool // the connection ends with this answer
}

func line(r *bufio.Reader) ([]byte, error) {
	s, err := r.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || err == nil && len(s) > MaxLine {
		return nil, breach("line too long")
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(s[:len(s)-1], []byte("\r")), nil
}

const maxInterim = 8 // interim answers before the final one

// ReadAnswer reads the head of an answer; the body is next in r. Interim answers before it are passed over.
func ReadAnswer(r *bufio.Reader) (Answer, error) {
	for range maxInterim {
		a, err := readHead(r)
		if err != nil || a.Status >= 200 || a.Status == 101 { // nobody asked for another protocol
			return a, err
		}
	}
	return Answer{}, breach("too many interim answers")
}

func readHead(r *bufio.Reader) (Answer, error) {
	a := Answer{Length: -1}
	s, err := line(r)
	if err != nil {
		return a, err
	}
	if len(s) < 12 || !bytes.HasPrefix(s, []byte("HTTP/1.")) || s[8] != ' ' || len(s) > 12 && s[12] != ' ' {
		return a, breach("no status line")
	}
	if a.Status, err = strconv.Atoi(string(s[9:12])); err != nil || a.Status < 100 {
		return a, breach("bad status")
	}
	a.Close = s[7] == '0'
	for range MaxHeaders {
		if s, err = line(r); err != nil {
			return a, inside(err)
		}
		if len(s) == 0 {
			if a.Status < 200 || a.Status == 204 || a.Status == 304 {
				a.Length, a.Chunked = 0, false
			}
			return a, nil
		}
		name, value, ok := bytes.Cut(s, []byte(":"))
		if !ok {
			return a, breach("header without a colon")
		}
		if value = bytes.TrimSpace(value); bytes.EqualFold(name, []byte("Content-Length")) {
			if a.Length, err = strconv.Atoi(string(value)); err != nil || a.Length < 0 || a.Length > maxLength {
				return a, breach("bad Content-Length")
			}
		} else if bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			if a.Chunked = bytes.EqualFold(value, []byte("chunked")); !a.Chunked {
				return a, breach("unknown Transfer-Encoding")
			}
		} else if bytes.EqualFold(name, []byte("Connection")) {
			a.Close = a.Close || bytes.EqualFold(value, []byte("close"))
		}
	}
	return a, breach("too many headers")
}

func inside(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}

// Body returns a reader of the body that follows a. It ends with io.EOF where the body does.
func Body(r *bufio.Reader, a Answer) io.Reader {
	switch {
	case a.Chunked:
		return &chunks{r: r}
	case a.Length >= 0:
		return &exactly{r: r, left: a.Length}
	}
	return r
}

// ReadBody reads a whole body, MaxBody bytes at most.
func ReadBody(r *bufio.Reader, a Answer) ([]byte, error) { return ReadBodyUpTo(r, a, MaxBody) }

// ReadBodyUpTo reads a whole body of most bytes at most.
func ReadBodyUpTo(r *bufio.Reader, a Answer, most int) ([]byte, error) {
	if !a.Chunked && a.Length > most {
		return nil, breach("body too long")
	}
	text := bytes.NewBuffer(make([]byte, 0, min(MaxBody, max(0, a.Length))+bytes.MinRead))
	_, err := text.ReadFrom(io.LimitReader(Body(r, a), int64(most)+1))
	if err == nil && text.Len() > most {
		err = breach("body too long")
	}
	return text.Bytes(), err
}

type exactly struct {
	r    io.Reader
	left int
}

func (e *exactly) Read(p []byte) (int, error) {
	if e.left == 0 {
		return 0, io.EOF
	}
	n, err := e.r.Read(p[:min(len(p), e.left)])
	if e.left -= n; e.left > 0 {
		err = inside(err)
	}
	return n, err
}

// chunks reads a chunked body.
type chunks struct {
	r     *bufio.Reader
	left  int
	begun bool
	over  bool
}

func (c *chunks) Read(p []byte) (int, error) {
	if c.over {
		return 0, io.EOF
	}
	if c.left == 0 {
		if err := c.head(); err != nil {
			return 0, inside(err)
		}
		if c.over {
			return 0, io.EOF
		}
	}
	n, err := c.r.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, inside(err)
}

// head reads the line before a chunk, and the end of the chunk before it.
func (c *chunks) head() error {
	if c.begun {
		if s, err := line(c.r); err != nil {
			return err
		} else if len(s) != 0 {
			return breach("chunk runs on")
		}
	}
	c.begun = true
	s, err := line(c.r)
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(s, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
	if err != nil {
		return breach("bad chunk size")
	}
	if c.left = int(n); n > 0 {
		return nil
	}
	for range MaxHeaders { // trailers
		if s, err = line(c.r); err != nil {
			return err
		}
		if len(s) == 0 {
			c.over = true
			return nil
		}
	}
	return breach("too many trailers")
}
