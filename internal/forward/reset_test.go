package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/front"
	"dewhitch/internal/ledger/recorder"
	"dewhitch/internal/standin"
	faultlink "dewhitch/internal/standin/link"
)

const testTimeout = 20 * time.Second

// newForwarder runs a forwarder with one planner, which reads nothing, and returns a client's connection to the forwarder.
func newForwarder(t *testing.T) (*Planners, net.Conn, *standin.NonReadingPeer) {
	t.Helper()
	planner, err := standin.NewNonReadingPeer()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(planner.Close)
	planners := &Planners{}
	planners.Set(map[int]string{0: planner.Addr()})
	l, err := net.Listen("tcp", standin.OwnAddr())
	if err != nil {
		t.Fatal(err)
	}
	server := &front.Server{Listener: l, Log: zap.NewNop(), Bounds: front.NewBounds(64 << 20), MaxSessions: 1,
		NewCommands: func() front.Commands { return New(planners, 2, recorder.Discard{}, zap.NewNop()) }}
	ctx, stop := context.WithCancel(t.Context())
	serveDone := make(chan struct{})
	go func() {
		defer close(serveDone)
		server.Serve(ctx)
	}()
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		client.Close()
		stop()
		<-serveDone
	})
	return planners, client, planner
}

// countInFlight counts the commands that were written completely and have no answer.
func (p *Planners) countInFlight() (n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for l := range p.links {
		l.mu.Lock()
		n += len(l.inFlight)
		l.mu.Unlock()
	}
	return n
}

// TestGivenUpCommandIsNotDelivered guards against a planner that reads a command after the forwarder gave it up, because its
// client departed, its deadline passed, or the forwarder shut down, and handles it as a new command with its full deadline.
// With an orderly close of the link the kernel still delivers what was written before: the planner received all 32,883 bytes,
// in each of the three cases, in 2 runs of 2. dialPlanner resets the connection instead.
func TestGivenUpCommandIsNotDelivered(t *testing.T) {
	for name, c := range map[string]struct {
		deadline string
		giveUp   func(*Planners, net.Conn)
	}{
		"the client has left": {"60000", func(_ *Planners, client net.Conn) { client.Close() }},
		"its time is up":      {"300", func(*Planners, net.Conn) {}},
		"the forwarder's end": {"60000", func(p *Planners, _ net.Conn) { p.FailUnansweredAt(time.Now()) }},
	} {
		t.Run(name, func(t *testing.T) {
			planners, client, planner := newForwarder(t)
			body := strings.Repeat("x", 32<<10)
			client.Write(standin.AppendCommand(nil, "SVC.SUBMIT", "00000000b4d65521", "n",
				"c=order,t=wide,d="+c.deadline+",units=1,spread=1,first=0", body))
			conn := <-planner.Conns
			defer conn.Close()
			for end := time.Now().Add(testTimeout); planners.countInFlight() == 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("timed out waiting for the command to be written to the planner")
				}
			}
			c.giveUp(planners, client)
			for end := time.Now().Add(testTimeout); planners.countInFlight() > 0; time.Sleep(time.Millisecond) {
				if time.Now().After(end) {
					t.Fatal("timed out waiting for the forwarder to give up the command")
				}
			}
			conn.SetReadDeadline(time.Now().Add(testTimeout))
			got, err := io.ReadAll(conn)
			if bytes.HasSuffix(got, []byte("x\r\n")) {
				t.Errorf("planner received all %d bytes of a command that had been given up, then error %v", len(got), err)
			}
		})
	}
}

// TestCommandsOfDepartedClientAreNotForwarded guards against commands that are sent to a planner after their client has left, because the
// session was waiting meanwhile for a connection to another planner, whose machine has vanished.
func TestCommandsOfDepartedClientAreNotForwarded(t *testing.T) {
	const commands = 10
	planners, client, planner := newForwarder(t)
	network := faultlink.NewNet(1)
	t.Cleanup(network.Close)
	vanished, err := network.Open("forwarder", "planner", standin.OwnAddr(), planner.Addr(), false)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(vanished.Close)
	network.Set("forwarder", "planner", func(s *faultlink.State) { s.Silent = true })
	planners.Set(map[int]string{0: vanished.Addr(), 1: planner.Addr()})
	var sent []byte
	for i := range commands {
		sent = standin.AppendCommand(sent, "SVC.SUBMIT", "0000000000000002", fmt.Sprintf("n%d", i),
			"c=order,t=wide,d=4000,units=1,spread=2,first=0", "body")
	}
	client.Write(sent)
	client.Close()
	select {
	case conn := <-planner.Conns:
		defer conn.Close()
		conn.SetReadDeadline(time.Now().Add(2 * dialTimeout))
		if received, _ := io.ReadAll(conn); len(received) > 0 {
			t.Errorf("the planner received %d bytes of commands whose client has left", len(received))
		}
	case <-time.After(commands / 2 * dialTimeout):
	}
}
