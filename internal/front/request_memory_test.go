package front

import (
	"bytes"
	"net"
	"testing"
	"time"

	"dewhitch/internal/memory"
	"dewhitch/internal/resp"
	"dewhitch/internal/standin"
)

// heldCommands answers PING at once, and any other command never.
type heldCommands struct{ held chan struct{} }

func (c heldCommands) Do(_ time.Time, cmd resp.Command, s *Slot) {
	if string(cmd[0]) == "PING" {
		s.Fill(resp.AppendStatus(nil, "PONG"))
		return
	}
	c.held <- struct{}{}
}

// Guards against clients that read none of their answers and take the memory for the pipelines of all others: whose commands then stay
// unread behind one that takes long, until after their time (issue 71, seed 64 of TestSoakUnderFloods).
func TestUnreadAnswersLeavePipelinesToOthers(t *testing.T) {
	const unreadClients, pipeline = 40, 20
	ln, err := net.Listen("tcp", standin.OwnAddr())
	if err != nil {
		t.Fatal(err)
	}
	commands := heldCommands{make(chan struct{}, pipeline)}
	server := &Server{Listener: ln, MaxSessions: unreadClients + 1}
	startServerWith(t, server, func() Commands { return commands })
	pings := bytes.Repeat(standin.AppendCommand(nil, "PING"), 100_000)
	for range unreadClients {
		conn, err := net.Dial("tcp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		conn.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))
		conn.Write(pings) // until nothing more is read
	}
	client, err := standin.Dial(ln.Addr().String(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	for range pipeline {
		if err := client.Send([]string{"HOLD"}); err != nil {
			t.Fatal(err)
		}
	}
	for i := range pipeline {
		select {
		case <-commands.held:
		case <-time.After(2 * time.Second):
			used, capacity := server.Bounds.account.Used(memory.Requests)
			t.Fatalf("%d of %d commands were read; %d of %d bytes of the memory for pipelines are in use", i, pipeline, used, capacity)
		}
	}
}
