package wire

import (
	"fmt"
	"strconv"
	"strings"

	dw "dewhitch"
)

// AppendAction appends the line for an action of a gateway to b. It appends nothing for an action that the simulator does not
// read, and panics on a type of action that it does not know.
func AppendAction(b []byte, gateway string, a dw.Action) []byte {
	beginLine := func(name string) { b = append(append(append(b, name...), ' '), gateway...) }
	appendText := func(s string) { b = append(append(b, ' '), s...) }
	appendInt := func(v int64) { b = strconv.AppendInt(append(b, ' '), v, 10) }
	switch a := a.(type) {
	case dw.StartAttempt:
		beginLine("deliver")
		appendText(string(a.Request))
		appendInt(int64(a.Server))
		appendInt(int64(a.Timeout))
	case dw.CancelAttempt:
		beginLine("undo_send")
		appendText(string(a.Request))
		appendInt(int64(a.Attempt))
	case dw.Reject:
		beginLine("deny")
		appendText(string(a.Request))
		appendInt(int64(a.RetryAfter))
	case dw.Fail:
		beginLine("finish_error")
		appendText(string(a.Request))
	case dw.SetTimer:
		beginLine("remind")
		appendInt(int64(a.At))
		appendText(string(a.ID))
	case dw.CounterAdd:
		beginLine("bump")
		appendText(a.Name)
		b = strconv.AppendFloat(append(b, ' '), a.Add, 'f', -1, 64)
		appendInt(int64(a.TTL))
	case dw.HealthCheck:
		beginLine("probe")
		appendInt(int64(a.Server))
	case dw.SubscribeEndpoints:
		beginLine("stream_changes")
		appendInt(1)
	case dw.TallyChanged: // only for the ledger; the simulator does not read it
		return b
	default:
		panic(fmt.Sprintf("wire: action %T has no line", a))
	}
	return append(b, '\n')
}

// AppendException appends the line that reports a panic of a gateway to b. It writes the panic's text on one line.
func AppendException(b []byte, gateway, text string) []byte {
	text = strings.Join(strings.Fields(text), " ")
	return append(b, "exception "+gateway+" "+text+"\n"...)
}
