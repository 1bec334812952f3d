package resp

import (
	"bytes"
	"errors"
	"io"
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestStreams reads the stream in each line of testdata/streams.txt as commands, and compares the commands and the final error with the
// rest of the line.
func TestStreams(t *testing.T) {
	text, err := os.ReadFile("testdata/streams.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(strings.TrimSpace(string(text)), "\n") {
		in, want, _ := strings.Cut(line, " => ")
		in = strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(in)
		r, got := NewReader(strings.NewReader(in), 0), ""
		for {
			c, err := r.ReadCommand()
			if err != nil {
				got += err.Error()
				break
			}
			got += string(bytes.Join(c, []byte("|"))) + ";"
		}
		if got != want {
			t.Errorf("stream %q:\n got %s\nwant %s", in, got, want)
		}
	}
}

// TestMaximumSizes checks that a bulk string of MaxBulk bytes is read, that a line of over MaxLine bytes is a protocol error even if
// it fits into the buffer, and that the text of an error line cannot contain a line end.
func TestMaximumSizes(t *testing.T) {
	body := bytes.Repeat([]byte("x"), MaxBulk)
	b := AppendBulk(AppendBulk(AppendArray(nil, 2), "SET"), body)
	if c, err := NewReader(bytes.NewReader(b), 0).ReadCommand(); err != nil || !bytes.Equal(c[1], body) {
		t.Error(err)
	}
	long := "+" + strings.Repeat("x", MaxLine+1) + "\r\n"
	if _, err := NewReader(strings.NewReader(long), 1<<16).ReadValue(); !errors.Is(err, ErrProtocol) {
		t.Error("a line of over MaxLine bytes: expected a protocol error, got", err)
	}
	// An error line may contain text that a peer sent, which must not end the line.
	if got := string(AppendError(nil, "ERR a\r\n+PONG")); got != "-ERR a  +PONG\r\n" {
		t.Errorf("AppendError with a line end in its text: got %q", got)
	}
}

// FuzzValue checks that no input makes a reader panic, that ReadAnswer returns the same as ReadValue for all answers without a large
// first item, and that AppendValue writes a value from which the same value is read.
func FuzzValue(f *testing.F) {
	for _, s := range []string{"*2\r\n$70000\r\n", "*1\r\n$-1\r\n", "$-1\r\n", "*3\r\n$1\r\na\r\n$-1\r\n:7\r\n", "-BUSY 20\r\n", "*1\r\n*1\r\n*0\r\n", "+\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		v, err := NewReader(bytes.NewReader(in), 0).ReadValue()
		// ReadAnswer differs from ReadValue only for an array that begins with a large bulk string.
		answer, large, answerErr := NewReader(bytes.NewReader(in), 0).ReadAnswer()
		if large == 0 && ((err == nil) != (answerErr == nil) || err == nil && !reflect.DeepEqual(v, answer)) || large > 0 && err == nil {
			t.Errorf("%q: ReadValue returned %+v, %v; ReadAnswer returned %+v, %d, %v", in, v, err, answer, large, answerErr)
		}
		if err != nil {
			return
		}
		again, err := NewReader(bytes.NewReader(AppendValue(nil, v)), 0).ReadValue()
		if err != nil || !reflect.DeepEqual(v, again) {
			t.Errorf("%q: read %+v; after AppendValue, read %+v, %v", in, v, again, err)
		}
	})
}

// FuzzCommand checks that ReadCommand returns one of its documented errors at the end of any input, and that the commands before
// it have 1 to MaxArgs arguments.
func FuzzCommand(f *testing.F) {
	f.Add([]byte("*2\r\n$4\r\nPING\r\n$0\r\n\r\n"))
	f.Fuzz(func(t *testing.T, in []byte) {
		for r := NewReader(bytes.NewReader(in), 0); ; {
			c, err := r.ReadCommand()
			if err != nil {
				if !errors.Is(err, ErrProtocol) && !errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
					t.Error(err)
				}
				return
			}
			if len(c) == 0 || len(c) > MaxArgs {
				t.Errorf("a command of %d arguments was read", len(c))
			}
		}
	})
}
