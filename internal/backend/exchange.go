package backend

import (
	"os"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/resp"
)

// answerTimeout is the maximum time from the first byte of an answer to its last, as a backend writes an answer without pauses.
// If the value is streamed, answerTimeout applies to the parts before and after the value, and streamIdleTimeout to the value.
const answerTimeout = 250 * time.Millisecond

// exchange writes the command of an attempt and reads the answer. It returns true if the connection may be reused. detachContext
// detaches the attempt's context from the connection, so that neither the deadline nor a cancellation ends a value that is
// streamed; it returns false if the context has already ended.
func (p *Pools) exchange(a *attempt, c *conn, detachContext func() bool) (result core.AttemptResult, reusable bool) {
	command := p.command(a)
	if n, _ := c.Write(command); n < len(command) {
		return core.AttemptResult{Outcome: unsentOutcome(a.ctx, nil)}, false
	}
	if p.Dispatched != nil {
		p.Dispatched(a.Request.ClassName)
	}
	v, largeSize, err := c.readAnswer(a)
	if err == nil && largeSize > 0 && v.Len == answerParts {
		if detachContext() {
			return p.stream(a, c, v, largeSize)
		}
		err = os.ErrDeadlineExceeded // the attempt ended before its value could be streamed
	}
	result, reusable = decodeAnswer(v, err == nil)
	if err == nil || result.Outcome == dw.OutcomeOK {
		return result, reusable && c.reader.Buffered() == 0
	}
	result.Outcome = sentOutcome(a.ctx, err)
	return result, false
}

// readAnswer waits for an answer and reads it, except for a large value, as resp.Reader.ReadAnswer does. It fails if an answer
// has begun and is not complete within answerTimeout, even if the connection is still open.
func (c *conn) readAnswer(a *attempt) (v resp.Value, largeSize int, err error) {
	if _, err := c.reader.Peek(); err != nil {
		return v, 0, err
	}
	c.SetReadDeadline(time.Now().Add(answerTimeout))
	if a.ctx.Err() != nil { // this deadline may have replaced the one that was set when the context ended
		c.SetReadDeadline(expired)
	}
	return c.reader.ReadAnswer()
}
