package wire

import (
	"bufio"
	"errors"
	"io"
	"strings"

	dw "dewhitch"
)

// Reader reads rounds.
type Reader struct {
	r    *bufio.Reader
	line int
}

// NewReader reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 1<<16)} }

func (r *Reader) next() (string, error) {
	s, err := r.r.ReadString('\n')
	if err != nil && (s == "" || !errors.Is(err, io.EOF)) {
		return "", err
	}
	r.line++
	return strings.TrimSuffix(s, "\n"), nil
}

// Read returns the next round, or io.EOF if the input ends between rounds.
func (r *Reader) Read() (Round, error) {
	s, err := r.next()
	if err != nil {
		return Round{}, err
	}
	f := r.fields("round", s, 1)
	if name, _, _ := strings.Cut(s, " "); name != "round" {
		f.fail("-", "want a round line")
	}
	round := Round{Now: dw.Instant(f.int64("clock"))}
	if f.err != nil {
		return Round{}, f.err
	}
	for {
		s, err := r.next()
		if err != nil {
			return Round{}, &Error{r.line + 1, "commit", "-", "the input ends inside a round"}
		}
		if s == "commit" {
			return round, nil
		}
		m, err := r.message(s)
		if err != nil {
			return Round{}, err
		}
		round.Messages = append(round.Messages, m)
	}
}
