package front

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"dewhitch/internal/golden"
	"dewhitch/internal/resp"
)

// scriptedValue is a large value with known bytes.
type scriptedValue struct{ io.Reader }

func (scriptedValue) Close() {}

// scriptedCommands gives each form of answer that a slot accepts, depending on the name of the command.
type scriptedCommands struct{}

func (scriptedCommands) Do(_ time.Time, cmd resp.Command, s *Slot) {
	switch string(cmd[0]) {
	case "STATUS":
		s.Fill(resp.AppendStatus(nil, "OK"))
	case "REJECT":
		s.RejectInvalid("why\r\nit can't be used")
	case "VALUE":
		s.FillFrom(resp.AppendBulkHeader(nil, 5), scriptedValue{strings.NewReader("12345")})
	case "LAST":
		s.FillAndClose(resp.AppendBulk(nil, "end"))
	}
}

// TestGoldenSession compares what a session writes with a golden file: each form of answer in the order of the commands, and the
// error for input that violates the protocol, after which the session ends. Clients read it.
func TestGoldenSession(t *testing.T) {
	command := func(words ...string) string {
		b := resp.AppendArray(nil, len(words))
		for _, w := range words {
			b = resp.AppendBulk(b, w)
		}
		return string(b)
	}
	const tooLarge = resp.MaxBulk + 1
	var b []byte
	for _, in := range []string{
		command("STATUS") + command("VALUE") + command("STATUS", "x") + command("REJECT") + command("LAST"),
		"PING\r\n",
		"*x\r\n",
		"*0\r\n",
		"*-1\r\n",
		"*17\r\n",
		"*1\r\n:1\r\n",
		"*1\r\n$-1\r\n",
		"*1\r\n$-2\r\n",
		fmt.Sprintf("*1\r\n$%d\r\n", tooLarge),
		"*1\r\n$1\r\nabc\r\n",
		"*1\n",
		"*1\r1\r\n",
		"*1\r\n$" + strings.Repeat("1", resp.MaxLine+2) + "\r\n",
	} {
		c, _, _ := newSessionPair(t, scriptedCommands{}, false)
		c.Write([]byte(in))
		b = fmt.Appendf(b, "%.200q\n\t%q\n", in, readUntilClosed(t, c))
	}
	golden.Compare(t, "session.txt", fmt.Appendf(b, "%v\n", errCommandTimeout))
}

// TestGoldenReports compares what operators read about sessions with a golden file: the close reasons in their order, which are a
// label of the metrics and a field of the log, and the description of a session in the log.
func TestGoldenReports(t *testing.T) {
	var b []byte
	for r := range closeReasonCount {
		b = fmt.Appendf(b, "%v\n", r)
	}
	text, err := json.Marshal(status{ID: 1, Remote: "10.0.0.1:2", State: stateDraining.String(), PendingAnswers: 3, Commands: 4, BusyMS: 5})
	if err != nil {
		t.Fatal(err)
	}
	for s := range stateClosed + 1 {
		b = fmt.Appendf(b, "%v\n", s)
	}
	golden.Compare(t, "reports.txt", append(append(b, text...), '\n'))
}
