// Package platform is the front for the platform's protocol: PING, SVC.QUERY and SVC.SUBMIT.
package platform

import (
	"bytes"
	"fmt"
	"strconv"
	"sync/atomic"
	"time"

	dw "dewhitch"
	"dewhitch/internal/classtable"
	"dewhitch/internal/config/settings"
	"dewhitch/internal/core"
	"dewhitch/internal/front"
	"dewhitch/internal/ledger"
	"dewhitch/internal/ops"
	"dewhitch/internal/resp"
)

// Commands carries out the platform's commands (front.Commands). Its exported fields are set before it is used; it is safe for any
// goroutine.
type Commands struct {
	Planner  *core.Planner
	Recorder Recorder
	Names    settings.Names
	Settings dw.Settings
	Figures  *ops.Figures // nil: none
	State    *ops.State   // whether the gateway is drained; nil: it never is

	classes atomic.Pointer[classtable.Table] // in force for new requests; nil: the classes of Settings
}

// Recorder is the ledger as the fronts post to it. It is safe for any goroutine.
type Recorder interface {
	Ref() uint64 // a new number for a request
	Post(ledger.Posting)
	// Row is the key of a customer's row, by the indices of plan and class in the settings.
	Row(customer uint64, plan, class int) ledger.Key
}

// Classes is the table of class names in force.
func (c *Commands) Classes() classtable.Table {
	if t := c.classes.Load(); t != nil {
		return *t
	}
	t := classtable.Start(c.Names.Classes, c.Settings.Classes)
	c.classes.CompareAndSwap(nil, &t)
	return *c.classes.Load()
}

// ReloadClasses brings the classes of reloaded settings into force for new requests; earlier requests keep their class. One goroutine at
// a time may call it.
func (c *Commands) ReloadClasses(names []string, classes []dw.Class) classtable.Table {
	t := c.Classes().Reload(c.Settings.Classes, names, classes)
	c.classes.Store(&t)
	return t
}

// Drained reports whether clients should be sent elsewhere.
func (c *Commands) Drained() bool { return c.State != nil && c.State.Drained() }

// Do implements front.Commands.
func (c *Commands) Do(readAt time.Time, cmd resp.Command, s *front.Slot) {
	switch string(bytes.ToUpper(cmd[0])) {
	case "PING":
		c.ping(s)
	case "SVC.QUERY":
		c.handleRequest(readAt, cmd, true, s)
	case "SVC.SUBMIT":
		c.handleRequest(readAt, cmd, false, s)
	default:
		s.RejectInvalid(fmt.Sprintf("unknown command %.32q", cmd[0]))
	}
}

// ping tells the platform's front whether to send clients here. It answers as usual after SIGTERM: the process that replaces this
// one serves at the same address, and the front would take that for drained.
func (c *Commands) ping(s *front.Slot) {
	if c.Drained() {
		s.Fill(resp.AppendError(nil, "ERR draining"))
		return
	}
	s.Fill(resp.AppendStatus(nil, "PONG"))
}

// handleRequest parses a request and submits it to the planner.
func (c *Commands) handleRequest(readAt time.Time, cmd resp.Command, query bool, s *front.Slot) {
	r, err := c.parse(cmd, query)
	if err != nil {
		s.RejectInvalid(err.Error())
		return
	}
	r.ReceivedAt = readAt
	c.Submit(r, s, AppendAnswer)
}

// AppendAnswer appends an answer in the form of the wire.
func AppendAnswer(b []byte, a core.Answer) []byte {
	switch a.Result {
	case core.ResultServed:
		return resp.AppendBulk(b, a.Value)
	case core.ResultRejected:
		if a.RetryAfter <= 0 {
			return resp.AppendError(b, "BUSY")
		}
		return resp.AppendError(b, "BUSY "+strconv.FormatInt(CeilMilliseconds(a.RetryAfter), 10))
	}
	return resp.AppendError(b, "ERR failed")
}

// CeilMilliseconds rounds up, so that no client retries a moment too early.
func CeilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
