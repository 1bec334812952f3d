package backend

import (
	"os"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/resp"
)

// answerTimeout is from the first byte of an answer to its last: a backend writes it at once.
const answerTimeout = 250 * time.Millisecond

// exchange writes the command of an attempt and reads the answer. It reports whether the connection may be used again. unhook
// takes the attempt's deadline and cancellation off the connection, for a value that is streamed: the attempt no longer
// ends it.
func (p *Pools) exchange(a *attempt, c *conn, unhook func() bool) (result core.AttemptResult, reusable bool) {
	command := p.command(a)
	if n, _ := c.Write(command); n < len(command) {
		return core.AttemptResult{Outcome: unsentOutcome(a.ctx, nil)}, false
	}
	if p.Dispatched != nil {
		p.Dispatched(a.Request.ClassName)
	}
	v, large, err := c.readAnswer(a)
	if err == nil && large > 0 && v.Len == answerParts {
		if unhook() {
			return p.stream(a, c, v, large)
		}
		err = os.ErrDeadlineExceeded // its time ran out before its value began
	}
	result, reusable = decodeAnswer(v, err == nil)
	if err == nil || result.Outcome == dw.OutcomeOK {
		return result, reusable && c.r.Buffered() == 0
	}
	result.Outcome = sentOutcome(a.ctx, err)
	return result, false
}

// readAnswer waits for an answer and reads it, but for a large value, as resp.Reader.ReadAnswer does. An answer that begins and is
// not complete within answerTimeout is broken, though its connection may stay open.
func (c *conn) readAnswer(a *attempt) (v resp.Value, large int, err error) {
	if _, err := c.r.Peek(); err != nil {
		return v, 0, err
	}
	c.SetReadDeadline(time.Now().Add(answerTimeout))
	if a.ctx.Err() != nil { // the hook may have run before, and this deadline replaced its own
		c.SetReadDeadline(expired)
	}
	return c.r.ReadAnswer()
}
