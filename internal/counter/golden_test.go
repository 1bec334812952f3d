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

// The calls that the counter is sent. It reads their bytes.
func TestGoldenCalls(t *testing.T) {
	asked := make(chan []byte, 1)
	l, err := standin.Listen("", func(c net.Conn) {
		for {
			var b []byte
			for one := make([]byte, 1); !bytes.HasSuffix(b, []byte("\r\n\r\n")); b = append(b, one...) {
				if _, err := io.ReadFull(c, one); err != nil {
					return
				}
			}
			asked <- b
			io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n7.5")
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	c := New(l.Addr(), 20*time.Second, 20*time.Second, recorder.Discard{}, zap.NewNop())
	ctx, stop := context.WithCancel(context.Background())
	over := make(chan error)
	go func() { over <- c.Run(ctx) }()
	var b []byte
	for _, call := range []core.CounterCall{
		{Name: "q-00000001b4d65521", Amount: 2.5, TTL: 4001 * time.Millisecond},
		{Name: "q.2", Amount: -0.125, TTL: 1},
		{Name: "q.3", Amount: 1e6, TTL: time.Hour},
	} {
		total := make(chan float64, 1)
		c.Add(call, func(o dw.Outcome, v float64) {
			if o != dw.OutcomeOK {
				t.Errorf("%s: %v", call.Name, o)
			}
			total <- v
		})
		b = append(b, <-asked...)
		if v := <-total; v != 7.5 {
			t.Errorf("%s: %v", call.Name, v)
		}
	}
	stop()
	<-over
	golden.Compare(t, "calls.txt", bytes.ReplaceAll(b, []byte(l.Addr()), []byte("HOST:PORT")))
}

// The answers that the counter gives. The gateway reads them: each line is one answer, with \r\n for a line's end.
func TestGoldenAnswers(t *testing.T) {
	want := []answer{
		{dw.OutcomeOK, 38.5, true},
		{dw.OutcomeOK, -1.25, false},
		{dw.OutcomeOK, 7, true},
		{dw.OutcomeTimeout, 0, false}, // no number
		{dw.OutcomeRejected, 0, true}, // 503
		{dw.OutcomeRejected, 0, true}, // 400
		{dw.OutcomeRejected, 0, true}, // 404
		{dw.OutcomeTimeout, 0, false}, // 500
		{dw.OutcomeTimeout, 0, false}, // no answer
	}
	lines := strings.Split(strings.TrimSpace(string(golden.Read(t, "answers.txt"))), "\n")
	if len(lines) != len(want) {
		t.Fatalf("%d answers, want %d", len(lines), len(want))
	}
	for i, line := range lines {
		r := bufio.NewReaderSize(strings.NewReader(strings.ReplaceAll(line, `\r\n`, "\r\n")), http1.MaxLine+2)
		if got := readAnswer(r); got != want[i] {
			t.Errorf("%s: got %+v, want %+v", line, got, want[i])
		}
	}
}
