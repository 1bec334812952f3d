package http1

import (
	"bufio"
	"bytes"
	"os"
	"strconv"
	"strings"
	"testing"
)

// readResponses reads responses from a stream until an error, and returns their statuses and bodies and the error as text.
func readResponses(in string) (out string) {
	r := bufio.NewReaderSize(strings.NewReader(in), MaxLine+2)
	for {
		resp, err := ReadResponse(r)
		if err != nil {
			return out + err.Error()
		}
		body, err := ReadBody(r, resp)
		out += strconv.Itoa(resp.Status) + " " + strconv.Quote(string(body)) + "; "
		if err != nil {
			return out + err.Error()
		}
	}
}

// TestStreams reads the stream in each line of testdata/streams.txt, and compares the responses and the final error with the rest
// of the line.
func TestStreams(t *testing.T) {
	text, err := os.ReadFile("testdata/streams.txt")
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.SplitSeq(strings.TrimSpace(string(text)), "\n") {
		in, want, _ := strings.Cut(line, " => ")
		in = strings.NewReplacer(`\r`, "\r", `\n`, "\n").Replace(in)
		if got := readResponses(in); got != want {
			t.Errorf("stream %q:\n got %s\nwant %s", in, got, want)
		}
	}
	if got := readResponses("HTTP/1.1 200 " + strings.Repeat("x", MaxLine)); got != "protocol error: line too long" {
		t.Error(got)
	}
}

// TestRequest checks the request that AppendRequest writes for a POST, whose empty body must be announced.
func TestRequest(t *testing.T) {
	got := AppendRequest(nil, "POST", "/counters/a.1?by=-2.5&expire_ms=4000", "127.0.0.1:1")
	want := "POST /counters/a.1?by=-2.5&expire_ms=4000 HTTP/1.1\r\nHost: 127.0.0.1:1\r\nContent-Length: 0\r\n\r\n"
	if string(got) != want {
		t.Errorf("AppendRequest returned an unexpected request: %q", got)
	}
}

// FuzzAnswer checks that no response makes a reader panic, or return more than the MaxBody bytes of a body and the one byte that
// shows that the body is too long.
func FuzzAnswer(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"))
	f.Add([]byte("HTTP/1.0 503 x\r\nContent-Length: 2\r\n\r\nab"))
	f.Fuzz(func(t *testing.T, in []byte) {
		r := bufio.NewReaderSize(bytes.NewReader(in), MaxLine+2)
		if resp, err := ReadResponse(r); err == nil {
			if body, _ := ReadBody(r, resp); len(body) > MaxBody+1 {
				t.Errorf("ReadBody returned %d bytes, more than its limit", len(body))
			}
		}
	})
}
