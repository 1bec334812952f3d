package sessions

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/front"
	"dewhitch/internal/golden"
	"dewhitch/internal/resp"
	"dewhitch/internal/standin"
)

// echoCommands answers each command that a session passes on with the arguments of the command. If drained is true, PING reports a
// drain.
type echoCommands struct{ drained bool }

func (c echoCommands) Do(_ time.Time, cmd resp.Command, s *front.Slot) {
	s.Fill(resp.AppendBulk(nil, bytes.Join(cmd, []byte("|"))))
}

func (c echoCommands) Drained() bool { return c.drained }

// TestGoldenSession compares the answers to HELLO, CLIENT, SELECT, ECHO, QUIT, COMMAND and PING, and their errors, with a golden
// file. RESP clients read them.
func TestGoldenSession(t *testing.T) {
	long := strings.Repeat("n", maxNameBytes+1)
	var b []byte
	for _, c := range []struct {
		words   string
		drained bool
	}{
		{"HELLO", false}, {"hello 2", false}, {"HELLO 2 SETNAME name-2", false}, {"HELLO 3", false}, {"HELLO x", false},
		{"HELLO 2 AUTH user password", false}, {"HELLO 2 NOVEL", false}, {"HELLO 2 SETNAME " + long, false},
		{"HELLO 2 AUTH user", false}, {"HELLO 2 a b c d e f", false},
		{"CLIENT", false}, {"CLIENT ID", false}, {"CLIENT GETNAME", false}, {"CLIENT SETNAME name-3", false}, {"CLIENT SETNAME " + long, false},
		{"CLIENT SETINFO LIB-NAME lib-1", false}, {"CLIENT SETINFO lib-ver 1.2", false}, {"CLIENT SETINFO NOVEL x", false},
		{"CLIENT ID more", false}, {"CLIENT NOVEL", false},
		{"SELECT 0", false}, {"SELECT 1", false}, {"SELECT x", false}, {"SELECT", false},
		{"ECHO word", false}, {"PING", false}, {"PING word", false}, {"PING", true}, {"QUIT", false},
		{"COMMAND COUNT", false}, {"COMMAND DOCS", false}, {"COMMAND NOVEL", false},
		{"COMMAND INFO hello client select echo ping quit command novel", false},
		{"COMMAND INFO svc.query svc.submit limit.get limit.adjust", false},
		{"SVC.SUBMIT a b c", false}, {"novel x", false},
	} {
		s := &Commands{Commands: echoCommands{c.drained}, id: 7, name: "name-1", version: "v1.2.3"}
		b = append(b, exchange(t, s, strings.Fields(c.words)...)...)
	}
	golden.Compare(t, "session.txt", b)
}

// TestGoldenCommandList compares the answers to COMMAND and COMMAND LIST with a golden file. Their items are sorted, because they
// are in no fixed order. RESP clients read them.
func TestGoldenCommandList(t *testing.T) {
	s := &Commands{Commands: echoCommands{}}
	var b []byte
	for _, words := range []string{"COMMAND LIST", "COMMAND"} {
		text := exchange(t, s, strings.Fields(words)...)
		_, answer, _ := strings.Cut(strings.TrimSpace(string(text)), "\n\t")
		parts := strings.Split(strings.Trim(answer, `"`), `\r\n`)
		slices.Sort(parts)
		b = fmt.Appendf(b, "%q\n%q\n", words, parts)
	}
	golden.Compare(t, "commands.txt", b)
}

// exchange sends one command over a new session, and returns the command and the bytes of the answer as text.
func exchange(t *testing.T, c front.Commands, words ...string) []byte {
	t.Helper()
	l, err := net.Listen("tcp", standin.OwnAddr())
	if err != nil {
		t.Fatal(err)
	}
	server := &front.Server{Listener: l, Log: zap.NewNop(), Bounds: front.NewBounds(64 << 20), MaxSessions: 1,
		NewCommands: func() front.Commands { return c }}
	ctx, stop := context.WithCancel(t.Context())
	served := make(chan struct{})
	go func() {
		defer close(served)
		server.Serve(ctx)
	}()
	client, err := standin.Dial(l.Addr().String(), 10*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		client.Close()
		stop()
		<-served
	}()
	client.SetDeadline(time.Now().Add(10 * time.Second))
	if err := client.Send(words); err != nil {
		t.Fatal(err)
	}
	var text bytes.Buffer
	if _, err := standin.ReadReply(bufio.NewReader(io.TeeReader(client, &text))); err != nil {
		t.Fatalf("%q: no answer: %v", words, err)
	}
	return fmt.Appendf(nil, "%q\n\t%q\n", words, text.Bytes())
}
