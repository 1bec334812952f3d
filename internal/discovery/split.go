package discovery

import (
	"bytes"
	"errors"
	"fmt"
	"io"
)

const (
	// maxMessage bounds one message, or one list: eight times what the largest fleet of 3,200 servers takes, indented.
	maxMessage = 8 << 20
	// firstBuffer is the size of the buffer that messages are read into; it grows as they need.
	firstBuffer = 16 << 10
	// keptBuffer is the most of it that is kept between two messages.
	keptBuffer = 64 << 10
)

var (
	// errEnded says that a watch ended between two messages.
	errEnded = errors.New("the watch ended")
	// errCut says that a watch ended within a message.
	errCut = errors.New("the watch ended within a message")
	// errTooLong says that a message is too long to be read.
	errTooLong = fmt.Errorf("a message is over %d bytes", maxMessage)
	// errTooSlow says that a message did not come whole in its time, though it went on coming.
	errTooSlow = errors.New("a message is not whole in time")
)

// messageReader finds the messages of a watch: one JSON object each, on a line or indented over many. What is no object
// goes up to the end of its line, for the decoder to refuse. Each byte is looked at once, however many reads a message
// takes to come. It is not safe for concurrent use.
type messageReader struct {
	r   io.Reader
	buf []byte // what was read and is not returned yet

	looked  int  // bytes of buf that the fields below speak of
	depth   int  // of open braces and brackets
	quoted  bool // within a string
	escaped bool // behind a backslash in one
	err     error
}

// next returns the next message, which is valid until the next call. One of no length is white space: it shows that the
// watch is alive.
func (m *messageReader) next() ([]byte, error) {
	if m.looked == 0 && cap(m.buf) > keptBuffer && len(m.buf) <= keptBuffer {
		m.buf = append(make([]byte, 0, keptBuffer), m.buf...)
	}
	for {
		if text, found := m.found(); found {
			return text, nil
		}
		if m.err != nil {
			return nil, m.ended()
		}
		if err := m.fill(); err != nil {
			return nil, err
		}
	}
}

// found takes a message off the buffer, if one stands there whole.
func (m *messageReader) found() ([]byte, bool) {
	if m.looked == 0 {
		if rest := bytes.TrimLeft(m.buf, " \t\r\n"); len(rest) < len(m.buf) {
			m.buf = rest
			return nil, true
		}
	}
	end := m.end()
	if end == 0 {
		return nil, false
	}
	text := m.buf[:end]
	m.buf, m.looked, m.depth, m.quoted, m.escaped = m.buf[end:], 0, 0, false, false
	return text, true
}

// ended is why no more messages come.
func (m *messageReader) ended() error {
	switch {
	case !errors.Is(m.err, io.EOF):
		return m.err
	case len(m.buf) > 0:
		return errCut
	}
	return errEnded
}

// fill reads more behind what is in the buffer.
func (m *messageReader) fill() error {
	if len(m.buf) >= maxMessage {
		return errTooLong
	}
	if len(m.buf) == cap(m.buf) {
		m.buf = append(make([]byte, 0, max(firstBuffer, 2*len(m.buf))), m.buf...)
	}
	n, err := m.r.Read(m.buf[len(m.buf):cap(m.buf)])
	m.buf, m.err = m.buf[:len(m.buf)+n], err
	return nil
}

// end is where the message ends that the buffer begins with; 0: not in the buffer yet.
func (m *messageReader) end() int {
	if len(m.buf) > 0 && m.buf[0] != '{' {
		at := bytes.IndexByte(m.buf[m.looked:], '\n') + 1
		if at > 0 {
			at += m.looked
		}
		m.looked = len(m.buf)
		return at
	}
	for ; m.looked < len(m.buf); m.looked++ {
		if m.closes(m.buf[m.looked]) {
			return m.looked + 1
		}
	}
	return 0
}

// closes takes note of the next byte of an object, and reports whether the object ends with it.
func (m *messageReader) closes(c byte) bool {
	switch {
	case m.escaped:
		m.escaped = false
	case m.quoted:
		m.escaped = c == '\\'
		m.quoted = c != '"'
	case c == '"':
		m.quoted = true
	case c == '{' || c == '[':
		m.depth++
	case c == '}' || c == ']':
		m.depth--
		return m.depth == 0
	}
	return false
}
