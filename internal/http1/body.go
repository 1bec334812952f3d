package http1

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// Body returns a reader of the body that follows the head resp in r. It returns io.EOF at the end of the body, and
// io.ErrUnexpectedEOF if the stream ends earlier.
func Body(r *bufio.Reader, resp Response) io.Reader {
	switch {
	case resp.Chunked:
		return &chunkedBody{r: r}
	case resp.Length >= 0:
		return &fixedBody{r: r, remaining: resp.Length}
	}
	return r
}

// ReadBody reads a complete body of at most MaxBody bytes. Its errors are those of ReadBodyUpTo.
func ReadBody(r *bufio.Reader, resp Response) ([]byte, error) { return ReadBodyUpTo(r, resp, MaxBody) }

// ReadBodyUpTo reads a complete body of at most limit bytes. For a longer body the error wraps ErrProtocol. With an error, it also
// returns the bytes that were read before it.
func ReadBodyUpTo(r *bufio.Reader, resp Response, limit int) ([]byte, error) {
	if !resp.Chunked && resp.Length > limit {
		return nil, protocolError("body too long")
	}
	text := bytes.NewBuffer(make([]byte, 0, min(MaxBody, max(0, resp.Length))+bytes.MinRead))
	_, err := text.ReadFrom(io.LimitReader(Body(r, resp), int64(limit)+1))
	if err == nil && text.Len() > limit {
		err = protocolError("body too long")
	}
	return text.Bytes(), err
}

// fixedBody reads a body whose length is known.
type fixedBody struct {
	r         io.Reader
	remaining int // bytes of the body that are unread
}

// Read implements io.Reader.
func (b *fixedBody) Read(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	if b.remaining > 0 {
		err = unexpectedEOF(err)
	}
	return n, err
}

// chunkedBody reads a body in the chunked encoding.
type chunkedBody struct {
	r         *bufio.Reader
	remaining int  // unread bytes of the current chunk
	begun     bool // the first chunk was reached
	ended     bool // the last chunk and the trailers were read
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	if b.remaining == 0 {
		if err := b.nextChunk(); err != nil {
			return 0, unexpectedEOF(err)
		}
		if b.ended {
			return 0, io.EOF
		}
	}
	n, err := b.r.Read(p[:min(len(p), b.remaining)])
	b.remaining -= n
	return n, unexpectedEOF(err)
}

// nextChunk reads the line end after the previous chunk, if there is one, and the size of the next chunk. After a size of 0, which ends
// the body, it reads the trailers.
func (b *chunkedBody) nextChunk() error {
	if b.begun {
		line, err := readLine(b.r)
		if err != nil {
			return err
		}
		if len(line) != 0 {
			return protocolError("chunk runs on")
		}
	}
	b.begun = true
	line, err := readLine(b.r)
	if err != nil {
		return err
	}
	size, _, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimSpace(size)), 16, 31)
	if err != nil {
		return protocolError("bad chunk size")
	}
	b.remaining = int(n)
	if n > 0 {
		return nil
	}
	return b.skipTrailers()
}

// skipTrailers reads and drops the trailers after the last chunk.
func (b *chunkedBody) skipTrailers() error {
	for range MaxHeaders {
		line, err := readLine(b.r)
		if err != nil {
			return err
		}
		if len(line) == 0 {
			b.ended = true
			return nil
		}
	}
	return protocolError("too many trailers")
}
