package discovery

import (
	"bytes"
	"errors"
	"io"
)

const (
	maxMessage      = 8 << 20  // maximum bytes of a message or list: eight times an indented list of 3,200 servers
	firstBufferSize = 16 << 10 // initial buffer size in bytes; the buffer grows with the messages
	idleBufferSize  = 64 << 10 // maximum buffer size in bytes that is kept between two messages
)

// messageReader splits a watch into messages. Each message is one JSON object, on one line or indented over several. Any other
// text forms a message up to the end of its line, which the decoder rejects. Each byte is scanned once, regardless of how many
// reads a message takes. It is not safe for concurrent use.
type messageReader struct {
	r   io.Reader
	buf []byte // bytes that were read and not returned yet
	err error  // error of the last read

	// The state of scanning the message at the start of buf.
	scanned int  // number of scanned bytes of buf
	depth   int  // number of open braces and brackets
	quoted  bool // true within a string
	escaped bool // true after a backslash within a string
}

// next returns the next message, which is valid until the next call. It returns an empty message for white space, which shows
// that the watch is alive.
func (m *messageReader) next() ([]byte, error) {
	if m.scanned == 0 && cap(m.buf) > idleBufferSize && len(m.buf) <= idleBufferSize {
		m.buf = append(make([]byte, 0, idleBufferSize), m.buf...)
	}
	for {
		if text, complete := m.takeMessage(); complete {
			return text, nil
		}
		if m.err != nil {
			return nil, m.endError()
		}
		if err := m.fill(); err != nil {
			return nil, err
		}
	}
}

// takeMessage removes the first message from the buffer. complete is true if the buffer contained all of it. An empty message
// stands for white space.
func (m *messageReader) takeMessage() (text []byte, complete bool) {
	if m.scanned == 0 {
		if rest := bytes.TrimLeft(m.buf, " \t\r\n"); len(rest) < len(m.buf) {
			m.buf = rest
			return nil, true
		}
	}
	end := m.scan()
	if end == 0 {
		return nil, false
	}
	text = m.buf[:end]
	m.buf = m.buf[end:]
	m.scanned = 0
	m.depth = 0
	m.quoted = false
	m.escaped = false
	return text, true
}

// endError returns the error that ends the watch after a read failed.
func (m *messageReader) endError() error {
	switch {
	case !errors.Is(m.err, io.EOF):
		return m.err
	case len(m.buf) > 0:
		return errTruncated
	}
	return errEnded
}

// fill reads more bytes to the end of the buffer. It returns errTooLong if the buffer holds maxMessage bytes, and stores a read
// error in m.err.
func (m *messageReader) fill() error {
	if len(m.buf) >= maxMessage {
		return errTooLong
	}
	if len(m.buf) == cap(m.buf) {
		m.buf = append(make([]byte, 0, max(firstBufferSize, 2*len(m.buf))), m.buf...)
	}
	n, err := m.r.Read(m.buf[len(m.buf):cap(m.buf)])
	m.buf = m.buf[:len(m.buf)+n]
	m.err = err
	return nil
}

// scan scans the new bytes and returns the end of the message at the start of the buffer, or 0 if its end is not in the buffer.
func (m *messageReader) scan() int {
	if len(m.buf) > 0 && m.buf[0] != '{' {
		return m.scanLine()
	}
	for ; m.scanned < len(m.buf); m.scanned++ {
		if m.closesObject(m.buf[m.scanned]) {
			return m.scanned + 1
		}
	}
	return 0
}

// scanLine does what scan does for a message that is not an object and ends with its line.
func (m *messageReader) scanLine() int {
	end := bytes.IndexByte(m.buf[m.scanned:], '\n') + 1
	if end > 0 {
		end += m.scanned
	}
	m.scanned = len(m.buf)
	return end
}

// closesObject updates the state with the next byte of an object, and returns true if this byte ends the object.
func (m *messageReader) closesObject(c byte) bool {
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
