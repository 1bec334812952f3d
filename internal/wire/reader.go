package wire

import (
	"bufio"
	"errors"
	"io"
	"strings"

	dw "dewhitch"
)

// Reader reads rounds from the simulator's text lines. It must not be used by several goroutines at a time.
type Reader struct {
	input *bufio.Reader
	line  int // number of lines read so far
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{input: bufio.NewReaderSize(r, 1<<16)} }

// readLine returns the next line without its line end. A last line without a line end counts as a line.
func (r *Reader) readLine() (string, error) {
	line, err := r.input.ReadString('\n')
	if err != nil && (line == "" || !errors.Is(err, io.EOF)) {
		return "", err
	}
	r.line++
	return strings.TrimSuffix(line, "\n"), nil
}

// Read returns the next round. It returns io.EOF if the input ends between rounds, an *Error for malformed input or an input
// that ends within a round, and otherwise the error of the underlying reader.
func (r *Reader) Read() (Round, error) {
	line, err := r.readLine()
	if err != nil {
		return Round{}, err
	}
	f := r.newFieldReader("round", line, 1)
	if name, _, _ := strings.Cut(line, " "); name != "round" {
		f.fail("-", "want a round line")
	}
	round := Round{Now: dw.Instant(f.int64("clock"))}
	if f.err != nil {
		return Round{}, f.err
	}
	for {
		line, err := r.readLine()
		if err != nil {
			return Round{}, &Error{r.line + 1, "commit", "-", "the input ends inside a round"}
		}
		if line == "commit" {
			return round, nil
		}
		m, err := r.readMessage(line)
		if err != nil {
			return Round{}, err
		}
		round.Messages = append(round.Messages, m)
	}
}
