package platform

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"reflect"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/config/settings"
	"dewhitch/internal/core"
	"dewhitch/internal/front"
	"dewhitch/internal/golden"
	"dewhitch/internal/ledger/recorder"
	"dewhitch/internal/ops"
	"dewhitch/internal/resp"
	"dewhitch/internal/standin"
)

// goldenCommands returns commands without a planner, with one class for each kind of idempotency.
func goldenCommands() *Commands {
	return &Commands{Recorder: recorder.Discard{}, Names: settings.Names{Classes: []string{"quote", "order", "charge"}, Plans: []string{"wide", "slim"}},
		Settings: dw.Settings{Instances: 9, MaxUnits: 40, Classes: []dw.Class{{Idempotency: dw.Idempotent, Objective: 1, Deadline: 1},
			{Idempotency: dw.IdempotentByKey, Objective: 1, Deadline: 1}, {Idempotency: dw.NotIdempotent, Objective: 1, Deadline: 1}}}}
}

// TestGoldenAnswers compares the answers to SVC.QUERY and SVC.SUBMIT for each result with a golden file. Clients read them.
func TestGoldenAnswers(t *testing.T) {
	var b []byte
	for _, a := range []core.Answer{
		{Result: core.ResultServed, Value: []byte("value\r\n1")},
		{Result: core.ResultServed, Value: []byte{}},
		{Result: core.ResultRejected},
		{Result: core.ResultRejected, RetryAfter: 250 * time.Millisecond},
		{Result: core.ResultRejected, RetryAfter: 250*time.Millisecond + 1},
		{Result: core.ResultFailed},
	} {
		b = AppendAnswer(b, a)
	}
	golden.Compare(t, "answers.txt", b)
}

// TestGoldenRequest checks how the arguments of SVC.QUERY and SVC.SUBMIT are parsed, with each name in the list of names and values.
// Clients write them, and forwarders pass them on.
func TestGoldenRequest(t *testing.T) {
	for _, c := range []struct {
		words []string
		query bool
		want  *core.Request
	}{
		{[]string{"SVC.SUBMIT", "00000001b4d65521", "name-1", "c=order,t=slim,d=1500.5,k=key-1,r=1,units=2.5,spread=3,first=4,novel=5", "body-1"}, false,
			&core.Request{Class: 1, ClassName: "order", Plan: 1, Customer: 0x1b4d65521, Timeout: 1500500 * time.Microsecond, Units: 2.5, Spread: 3, FirstGateway: 4,
				Repeat: true, Message: core.Message{Name: "name-1", Key: "key-1", Body: []byte("body-1")}}},
		{[]string{"SVC.QUERY", "0000000000000007", "name-2", "c=quote,t=wide,d=20,spread=1,first=0"}, true,
			&core.Request{ClassName: "quote", IdempotentQuery: true, Customer: 7, Timeout: 20 * time.Millisecond, Units: 1, Spread: 1,
				Message: core.Message{Name: "name-2"}}},
	} {
		cmd := resp.Command{}
		for _, w := range c.words {
			cmd = append(cmd, []byte(w))
		}
		got, err := goldenCommands().parse(cmd, c.query)
		if err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%q: error %v\n got %+v\nwant %+v", c.words, err, got, c.want)
		}
	}
	var r core.Request
	class, plan, err := ParseRoute([]byte("c=order,t=slim,d=1500.5,k=key-1,r=1,units=2.5,spread=3,first=4"), &r)
	if want := (&core.Request{Timeout: 1500500 * time.Microsecond, Units: 2.5, Spread: 3, FirstGateway: 4, Repeat: true,
		Message: core.Message{Key: "key-1"}}); err != nil || class != "order" || plan != "slim" || !reflect.DeepEqual(&r, want) {
		t.Errorf("class %q, plan %q, error %v\n got %+v\nwant %+v", class, plan, err, &r, want)
	}
}

// TestGoldenErrors compares the errors for invalid commands and the answers to PING with a golden file. Clients read them, and
// forwarders pass them on.
func TestGoldenErrors(t *testing.T) {
	const customer, order = "00000000b4d65521", "c=order,t=wide,d=50,k=a,units=1,spread=1,first=0"
	var b []byte
	for _, words := range [][]string{
		{"PING"},
		{"ping"},
		{"NOVEL", "x"},
		{"SVC.SUBMIT"},
		{"SVC.SUBMIT", customer, "id", order, "body", "more"},
		{"SVC.SUBMIT", "b4d65521", "id", order},
		{"SVC.SUBMIT", "00000000B4D65521", "id", order},
		{"SVC.SUBMIT", "f0000000b4d65521", "id", order},
		{"SVC.SUBMIT", customer, "", order},
		{"SVC.SUBMIT", customer, strings.Repeat("x", 65), order},
		{"SVC.SUBMIT", customer, "id", "c=novel,t=wide,d=50,spread=1,first=0"},
		{"SVC.SUBMIT", customer, "id", "t=wide,d=50,spread=1,first=0"},
		{"SVC.SUBMIT", customer, "id", "c=quote,t=wide,d=50,spread=1,first=0"},
		{"SVC.QUERY", customer, "id", order},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=50,spread=1,first=0"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=novel,d=50,spread=1,first=0"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,spread=1,first=0"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=soon,spread=1,first=0"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=3600001,spread=1,first=0"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=50,first=0"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=50,spread=1"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=50,spread=1.5,first=0"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=50,spread=0,first=0"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=50,spread=10,first=0"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=50,spread=1,first=9"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=50,spread=1,first=-1"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=50,spread=1,first=0,units=0"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=50,spread=1,first=0,units=41"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=50,spread=1,first=0,units=1e3"},
		{"SVC.SUBMIT", customer, "id", "c=order,t=wide,d=50,spread=1,first=0,k=" + strings.Repeat("k", 65)},
	} {
		b = append(b, exchange(t, goldenCommands(), words...)...)
	}
	drained := goldenCommands()
	drained.State = &ops.State{}
	drained.State.Drain(true)
	golden.Compare(t, "errors.txt", append(b, exchange(t, drained, "PING")...))
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
