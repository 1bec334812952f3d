package forward

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"testing"

	"go.uber.org/zap"

	"dewhitch"
	"dewhitch/internal/front"
	"dewhitch/internal/golden"
	"dewhitch/internal/ledger/recorder"
	"dewhitch/internal/standin"
)

// TestGoldenForwarding compares what a forwarder writes to a planner for a client's command, and to the client for the planner's
// answer, with the golden file. Each entry holds the command, the bytes to the planner, and the bytes to the client.
func TestGoldenForwarding(t *testing.T) {
	const customer, list = "00000001b4d65521", "c=order,t=slim,d=20000,k=key-1,r=1,units=2.5,spread=1,first=0"
	var b []byte
	for _, c := range []struct {
		args      []string
		answer    string // the planner's answer; empty if it closes the connection
		forwarded bool   // whether the command reaches the planner
	}{
		{[]string{"SVC.SUBMIT", customer, "name-1", list, "body\r\n1"}, "$5\r\nvalue\r\n", true},
		{[]string{"svc.query", customer, "name-2", list}, "-BUSY 250\r\n", true},
		{[]string{"SVC.SUBMIT", customer, "name-3", list}, "-ERR failed\r\n", true},
		{[]string{"SVC.SUBMIT", customer, "name-4", list}, "-ERR c: no class\r\n", true},
		{[]string{"LIMIT.GET", customer, list}, "*3\r\n$2\r\n10\r\n$4\r\n9.75\r\n:1500\r\n", true},
		{[]string{"LIMIT.ADJUST", customer, "-2.5", list}, "-ERR no exact answer in time\r\n", true},
		{[]string{"LIMIT.ADJUST", customer, "2.5", list}, "$-1\r\n", true},
		{[]string{"SVC.SUBMIT", customer, "name-5", list}, "", true},
		{[]string{"NOVEL"}, "", false},
		{[]string{"LIMIT.GET", customer}, "", false},
		{[]string{"LIMIT.GET", "x", list}, "", false},
		{[]string{"LIMIT.GET", customer, "t=slim"}, "", false},
	} {
		sent, got := forwardCommand(t, c.args, c.answer, c.forwarded)
		b = fmt.Appendf(b, "%q\n\t%q\n\t%q\n", c.args, sent, got)
	}
	golden.Compare(t, "forwarding.txt", b)
}

// forwardCommand sends a command through a forwarder with one planner, which sends answer. It returns the bytes that the planner
// and the client received.
func forwardCommand(t *testing.T, args []string, answer string, forwarded bool) (sent, got []byte) {
	t.Helper()
	received := make(chan []byte, 1)
	planner, err := standin.Listen("", func(c net.Conn) {
		var text bytes.Buffer
		if _, err := standin.ReadCommand(bufio.NewReaderSize(io.TeeReader(c, &text), 16)); err != nil {
			return
		}
		received <- text.Bytes()
		if answer == "" {
			c.Close()
			return
		}
		io.WriteString(c, answer)
		io.Copy(io.Discard, c)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer planner.Close()
	planners := &Planners{}
	planners.Set(map[int]string{0: planner.Addr()})
	got = exchange(t, planners, args)
	if forwarded {
		sent = <-received
	}
	return sent, got
}

// exchange sends a command over a new session and returns the bytes of the answer.
func exchange(t *testing.T, planners *Planners, args []string) []byte {
	t.Helper()
	l, err := net.Listen("tcp", standin.OwnAddr())
	if err != nil {
		t.Fatal(err)
	}
	server := &front.Server{Listener: l, Log: zap.NewNop(), Bounds: front.NewBounds(64 << 20), MaxSessions: 1,
		NewCommands: func() front.Commands { return New(planners, 1, recorder.Discard{}, zap.NewNop()) }}
	ctx, stop := context.WithCancel(t.Context())
	serveDone := make(chan struct{})
	go func() {
		defer close(serveDone)
		server.Serve(ctx)
	}()
	client, err := standin.Dial(l.Addr().String(), testTimeout)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		client.Close()
		stop()
		<-serveDone
	}()
	if err := client.Send(args); err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if _, err := standin.ReadReply(bufio.NewReader(io.TeeReader(client, &text))); err != nil {
		t.Fatalf("no answer to %q: %v", args, err)
	}
	return text.Bytes()
}

// TestGoldenPlanners compares the planners of a customer's set, in the order in which they are tried, with the golden file, as
// forwarders of two versions must agree on it. It also compares the answer when no planner is registered.
func TestGoldenPlanners(t *testing.T) {
	p := &Planners{}
	text := exchange(t, p, []string{"LIMIT.GET", "00000001b4d65521", "t=slim,d=20000,spread=3,first=1"})
	p.Set(map[int]string{0: "10.0.0.1:1000", 1: "10.0.0.1:1001", 2: "10.0.0.1:1002", 4: "10.0.0.1:1004"})
	var b []byte
	for customer := range 4 {
		for _, set := range [][2]int{{1, 0}, {3, 1}, {3, 4}, {9, 2}} {
			b = fmt.Appendf(b, "customer %d, spread %d, first %d: %q\n", customer, set[0], set[1],
				p.Select(dewhitch.CustomerID(0x1b4d65520+customer), set[0], set[1], 5))
		}
	}
	golden.Compare(t, "planners.txt", fmt.Appendf(b, "%q\n", text))
}
