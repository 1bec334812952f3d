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

// Each line of testdata/streams.txt is a stream, and what its reading as commands comes to.
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
			t.Errorf("%q:\n got %s\nwant %s", in, got, want)
		}
	}
}

func TestMaximumSizes(t *testing.T) {
	body := bytes.Repeat([]byte("x"), MaxBulk)
	b := AppendBulk(AppendBulk(AppendArray(nil, 2), "SET"), body)
	if c, err := NewReader(bytes.NewReader(b), 0).ReadCommand(); err != nil || !bytes.Equal(c[1], body) {
		t.Error(err)
	}
	long := "+" + strings.Repeat("x", MaxLine+1) + "\r\n"
	if _, err := NewReader(strings.NewReader(long), 1<<16).ReadValue(); !errors.Is(err, ErrProtocol) {
		t.Error("a line that is too long is read:", err)
	}
	// What a peer sent may stand in a line, but can't end it.
	if got := string(AppendError(nil, "ERR a\r\n+PONG")); got != "-ERR a  +PONG\r\n" {
		t.Errorf("%q", got)
	}
}

// Whatever is read is written as it was read, and nothing makes a reader panic.
func FuzzValue(f *testing.F) {
	for _, s := range []string{"*2\r\n$70000\r\n", "*1\r\n$-1\r\n", "$-1\r\n", "*3\r\n$1\r\na\r\n$-1\r\n:7\r\n", "-BUSY 20\r\n", "*1\r\n*1\r\n*0\r\n", "+\r\n"} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, in []byte) {
		v, err := NewReader(bytes.NewReader(in), 0).ReadValue()
		// An answer is read as any value, but for a large one at its beginning.
		answer, large, answerErr := NewReader(bytes.NewReader(in), 0).ReadAnswer()
		if large == 0 && ((err == nil) != (answerErr == nil) || err == nil && !reflect.DeepEqual(v, answer)) || large > 0 && err == nil {
			t.Errorf("%q: %+v, %v; as an answer %+v, %d, %v", in, v, err, answer, large, answerErr)
		}
		if err != nil {
			return
		}
		again, err := NewReader(bytes.NewReader(AppendValue(nil, v)), 0).ReadValue()
		if err != nil || !reflect.DeepEqual(v, again) {
			t.Errorf("%q: %+v, and then %+v, %v", in, v, again, err)
		}
	})
}

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
				t.Errorf("%d words", len(c))
			}
		}
	})
}
