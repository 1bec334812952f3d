package discovery

import (
	"bytes"
	"errors"
	"io"
)

const (
	maxMessage      = 8 << 20  // bytes of one message or list: eight times what 3,200 servers take, indented
	firstBufferSize = 16 << 10 // bytes; the buffer grows as messages need
	idleBufferSize  = 64 << 10 // bytes that the buffer may have between two messages
)

// messageReader finds the messages of a watch: one JSON object each, on a line or indented over many. What is no object
// goes up to the end of its line, for the decoder to reject. Each byte is looked at once, however many reads a message
// takes to come. It is not safe for concurrent use.
type messageReader struct {
	r   io.Reader
	buf []byte // read, and not returned yet
	err error  // of the last read

	// The state of the scan of the message that buf begins with.
	scanned int  // bytes of buf that were looked at
	depth   int  // of open braces and brackets
	quoted  bool // within a string
	escaped bool // after a backslash in one
}

// next returns the next message, which is valid until the next call. One of no length is white space: it shows that the
// watch is alive.
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

// takeMessage takes a message off the buffer, if it is there completely.
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

// endError is why no more messages come, after a read failed.
func (m *messageReader) endError() error {
	switch {
	case !errors.Is(m.err, io.EOF):
		return m.err
	case len(m.buf) > 0:
		return errTruncated
	}
	return errEnded
}

// fill reads more behind what is in the buffer.
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

// scan looks at the bytes that came, and returns where the message ends that the buffer begins with; 0: not in the buffer.
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

// scanLine is scan for what is no object.
func (m *messageReader) scanLine() int {
	end := bytes.IndexByte(m.buf[m.scanned:], '\n') + 1
	if end > 0 {
		end += m.scanned
	}
	m.scanned = len(m.buf)
	return end
}

// closesObject takes the next byte of an object into the state, and reports whether the object ends with it.
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
