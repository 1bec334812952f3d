package wire

import (
	"fmt"
	"strconv"
	"strings"

	dw "dewhitch"
)

// AppendAction appends the line of one action of gateway gw to b.
func AppendAction(b []byte, gw string, a dw.Action) []byte {
	line := func(name string) { b = append(append(append(b, name...), ' '), gw...) }
	text := func(s string) { b = append(append(b, ' '), s...) }
	num := func(v int64) { b = strconv.AppendInt(append(b, ' '), v, 10) }
	switch a := a.(type) {
	case dw.StartAttempt:
		line("deliver")
		text(string(a.Request))
		num(int64(a.Server))
		num(int64(a.Timeout))
	case dw.CancelAttempt:
		line("undo_send")
		text(string(a.Request))
		num(int64(a.Attempt))
	case dw.Reject:
		line("deny")
		text(string(a.Request))
		num(int64(a.RetryAfter))
	case dw.Fail:
		line("finish_error")
		text(string(a.Request))
	case dw.SetTimer:
		line("remind")
		num(int64(a.At))
		text(string(a.ID))
	case dw.CounterAdd:
		line("bump")
		text(a.Name)
		b = strconv.AppendFloat(append(b, ' '), a.Add, 'f', -1, 64)
		num(int64(a.TTL))
	case dw.HealthCheck:
		line("probe")
		num(int64(a.Server))
	case dw.SubscribeEndpoints:
		line("stream_changes")
		num(1)
	case dw.TallyChanged: // for bookkeeping alone
		return b
	default:
		panic(fmt.Sprintf("wire: no line for %T", a))
	}
	return append(b, '\n')
}

// AppendException appends the line that reports a panic.
func AppendException(b []byte, gw, text string) []byte {
	text = strings.Join(strings.Fields(text), " ")
	return append(b, "exception "+gw+" "+text+"\n"...)
}
