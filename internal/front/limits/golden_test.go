package limits

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"reflect"
	"testing"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/config/settings"
	"dewhitch/internal/core"
	"dewhitch/internal/front"
	"dewhitch/internal/front/platform"
	"dewhitch/internal/golden"
	"dewhitch/internal/ledger/recorder"
	"dewhitch/internal/resp"
	"dewhitch/internal/standin"
)

// goldenCommands returns commands without a planner, with two plans that have a limit and one, open, that has none.
func goldenCommands() *Commands {
	return &Commands{&platform.Commands{Recorder: recorder.Discard{}, Names: settings.Names{Plans: []string{"wide", "slim", "open"}},
		Settings: dw.Settings{Instances: 9, MaxUnits: 40, Plans: []dw.Plan{{Rate: 5, Burst: 10}, {Rate: 6, Burst: 20.5}, {MaxInFlight: 3}}}}}
}

// TestGoldenAnswers compares the answers to LIMIT.GET and LIMIT.ADJUST for each result with a golden file. Clients read them.
func TestGoldenAnswers(t *testing.T) {
	var b []byte
	for _, a := range []core.Answer{
		{Result: core.ResultServed, Limit: &dw.LimitAnswer{Request: "r-1", Limit: 20.5, Remaining: 3.25, ReplenishedAfter: 1500000001}},
		{Result: core.ResultServed, Limit: &dw.LimitAnswer{Request: "r-2", Limit: 10, Remaining: 9.9996}},
		{Result: core.ResultServed, Units: 2.5},
		{Result: core.ResultServed, Units: -1.25},
		{Result: core.ResultRejected},
		{Result: core.ResultRejected, RetryAfter: 250 * time.Millisecond},
		{Result: core.ResultFailed},
	} {
		b = appendAnswer(b, a)
	}
	golden.Compare(t, "answers.txt", b)
}

// TestGoldenRequest checks how the arguments of LIMIT.GET and LIMIT.ADJUST are parsed. Clients write them, and forwarders pass them on.
func TestGoldenRequest(t *testing.T) {
	for _, c := range []struct {
		words []string
		kind  core.RequestKind
		want  *core.Request
	}{
		{[]string{"LIMIT.GET", "00000001b4d65521", "t=slim,d=1500.5,spread=3,first=4"}, core.KindQueryLimit,
			&core.Request{Kind: core.KindQueryLimit, Plan: 1, Customer: 0x1b4d65521, Timeout: 1500500 * time.Microsecond, Spread: 3, FirstGateway: 4}},
		{[]string{"LIMIT.ADJUST", "00000001b4d65521", "-2.5", "t=slim,d=1500.5,spread=3,first=4"}, core.KindAdjustLimit,
			&core.Request{Kind: core.KindAdjustLimit, Plan: 1, Customer: 0x1b4d65521, Timeout: 1500500 * time.Microsecond, Units: -2.5, Spread: 3, FirstGateway: 4}},
	} {
		cmd := resp.Command{}
		for _, w := range c.words {
			cmd = append(cmd, []byte(w))
		}
		got, err := goldenCommands().parse(cmd, c.kind)
		if err != nil || !reflect.DeepEqual(got, c.want) {
			t.Errorf("%q: error %v\n got %+v\nwant %+v", c.words, err, got, c.want)
		}
	}
}

// TestGoldenErrors compares the errors for invalid commands on limits with a golden file, as well as the answers to commands that are
// passed to package platform. Clients read them.
func TestGoldenErrors(t *testing.T) {
	const customer, list = "00000000b4d65521", "t=slim,d=50,spread=1,first=0"
	var b []byte
	for _, words := range [][]string{
		{"PING"},
		{"NOVEL"},
		{"LIMIT.GET", customer},
		{"LIMIT.GET", customer, list, "more"},
		{"LIMIT.GET", "b4", list},
		{"LIMIT.GET", customer, "t=novel,d=50,spread=1,first=0"},
		{"LIMIT.GET", customer, "t=open,d=50,spread=1,first=0"},
		{"limit.get", customer, "t=slim,spread=1,first=0"},
		{"LIMIT.ADJUST", customer, list},
		{"LIMIT.ADJUST", customer, "0", list},
		{"LIMIT.ADJUST", customer, "21", list},
		{"LIMIT.ADJUST", customer, "much", list},
	} {
		b = append(b, exchange(t, goldenCommands(), words...)...)
	}
	golden.Compare(t, "errors.txt", b)
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
