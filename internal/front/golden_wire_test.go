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

// scriptedValue is a large value whose bytes are known.
type scriptedValue struct{ io.Reader }

func (scriptedValue) Close() {}

// scriptedCommands gives each form of answer that a slot takes, by the command's name.
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

// What a session writes: each form of answer in the commands' order, and the error of a stream that breaks the protocol, behind which
// it ends. Clients read it.
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

// The reasons for which a connection ended, which are a label of the metrics and a field of the log, in their order; and what the log
// says of a session. Operators read them.
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
