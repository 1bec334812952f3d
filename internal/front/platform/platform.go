// Package platform carries out the RESP commands of the platform: PING, SVC.QUERY and SVC.SUBMIT.
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

// Commands implements front.Commands for the commands of the platform. The exported fields must be set before its use. It is safe for
// concurrent use.
type Commands struct {
	Planner  *core.Planner
	Recorder Recorder
	Names    settings.Names
	Settings dw.Settings
	Figures  *ops.Figures // may be nil
	State    *ops.State   // drain state of the gateway; nil if it is never drained

	classes atomic.Pointer[classtable.Table] // class table for new requests; nil until it is first used
}

// Recorder is the part of the ledger to which the commands post. It must be safe for concurrent use.
type Recorder interface {
	Ref() uint64 // returns a new number for a request
	Post(ledger.Posting)
	// Row returns the key of a customer's row; plan and class are indices in the settings.
	Row(customer uint64, plan, class int) ledger.Key
}

// Classes returns the class table for new requests, which initially holds the classes of Settings.
func (c *Commands) Classes() classtable.Table {
	if t := c.classes.Load(); t != nil {
		return *t
	}
	t := classtable.New(c.Names.Classes, c.Settings.Classes)
	c.classes.CompareAndSwap(nil, &t)
	return *c.classes.Load()
}

// ReloadClasses applies the classes of reloaded settings to new requests, and returns the new class table. Earlier requests keep their
// class. It must not be called concurrently with itself.
func (c *Commands) ReloadClasses(names []string, classes []dw.Class) classtable.Table {
	t := c.Classes().Reload(c.Settings.Classes, names, classes)
	c.classes.Store(&t)
	return t
}

// Drained reports whether the gateway is drained, so that clients should be sent elsewhere.
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

// ping answers PING, by which the platform's front end decides whether to send clients here. After SIGTERM, it still answers PONG: the
// process that replaces this one serves at the same address, and the front end would regard it as drained.
func (c *Commands) ping(s *front.Slot) {
	if c.Drained() {
		s.Fill(resp.AppendError(nil, "ERR draining"))
		return
	}
	s.Fill(resp.AppendStatus(nil, "PONG"))
}

// handleRequest parses a request and submits it to the planner. It answers an invalid command with an error.
func (c *Commands) handleRequest(readAt time.Time, cmd resp.Command, query bool, s *front.Slot) {
	r, err := c.parse(cmd, query)
	if err != nil {
		s.RejectInvalid(err.Error())
		return
	}
	r.ReceivedAt = readAt
	c.Submit(r, s, AppendAnswer)
}

// AppendAnswer appends an encoded answer, other than one with a streamed value.
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

// CeilMilliseconds returns d in milliseconds, rounded up so that no client retries too early.
func CeilMilliseconds(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}
