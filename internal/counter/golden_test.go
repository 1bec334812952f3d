package counter

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/golden"
	"dewhitch/internal/http1"
	"dewhitch/internal/ledger/recorder"
	"dewhitch/internal/standin"
)

// TestGoldenCalls freezes the bytes of the requests that the client sends to the counter.
func TestGoldenCalls(t *testing.T) {
	requests := make(chan []byte, 1)
	l, err := standin.Listen("", func(c net.Conn) {
		for {
			var request []byte
			for next := make([]byte, 1); !bytes.HasSuffix(request, []byte("\r\n\r\n")); request = append(request, next...) {
				if _, err := io.ReadFull(c, next); err != nil {
					return
				}
			}
			requests <- request
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n7.5")
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := New(l.Addr(), 20*time.Second, 20*time.Second, recorder.Discard{}, zap.NewNop())
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- c.Run(ctx) }()
	var sent []byte
	for _, call := range []core.CounterCall{
		{Name: "q-00000001b4d65521", Amount: 2.5, TTL: 4001 * time.Millisecond},
		{Name: "q.2", Amount: -0.125, TTL: 1},
		{Name: "q.3", Amount: 1e6, TTL: time.Hour},
	} {
		total := make(chan float64, 1)
		c.Add(call, func(o dw.Outcome, v float64) {
			if o != dw.OutcomeOK {
				t.Errorf("%s: got outcome %v, expected dw.OutcomeOK", call.Name, o)
			}
			total <- v
		})
		sent = append(sent, <-requests...)
		if v := <-total; v != 7.5 {
			t.Errorf("%s: got total %v, expected 7.5", call.Name, v)
		}
	}
	stop()
	<-ended
	golden.Compare(t, "calls.txt", bytes.ReplaceAll(sent, []byte(l.Addr()), []byte("HOST:PORT")))
}

// TestGoldenAnswers freezes how the client reads the counter's answers. Each line of the file is one answer, in which the text
// \r\n stands for a line end.
func TestGoldenAnswers(t *testing.T) {
	want := []answer{
		{dw.OutcomeOK, 38.5, true},
		{dw.OutcomeOK, -1.25, false},
		{dw.OutcomeOK, 7, true},
		{dw.OutcomeTimeout, 0, false}, // the body is not a number
		{dw.OutcomeRejected, 0, true}, // status 503
		{dw.OutcomeRejected, 0, true}, // status 400
		{dw.OutcomeRejected, 0, true}, // status 404
		{dw.OutcomeTimeout, 0, false}, // status 500
		{dw.OutcomeTimeout, 0, false}, // not an HTTP answer
	}
	lines := strings.Split(strings.TrimSpace(string(golden.Read(t, "answers.txt"))), "\n")
	if len(lines) != len(want) {
		t.Fatalf("got %d answers, expected %d", len(lines), len(want))
	}
	for i, line := range lines {
		r := bufio.NewReaderSize(strings.NewReader(strings.ReplaceAll(line, `\r\n`, "\r\n")), http1.MaxLine+2)
		if got := readAnswer(r); got != want[i] {
			t.Errorf("%s: got %+v, expected %+v", line, got, want[i])
		}
	}
}
