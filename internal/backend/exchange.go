package backend

import (
	"context"
	"errors"
	"os"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/memory"
	"dewhitch/internal/resp"
	"dewhitch/internal/sockets"
)

// answerSilence is the maximum time between two bytes of an answer. A backend may write a long answer slowly, until the attempt's
// deadline, but one that writes nothing more has sent a broken answer. Within a value that is streamed, streamIdleTimeout applies.
const answerSilence = time.Second

// errNoMemory means that there was no memory for the parts of an answer behind its value.
var errNoMemory = errors.New("backend: no memory for the answer")

// minLongAnswer is the size of the parts of an answer, in bytes, above which their memory is acquired before they are read.
const minLongAnswer = 2 << 10

// exchange writes the command of an attempt and reads the answer. It returns true if the connection may be reused. detachContext
// detaches the attempt's context from the connection, so that neither the deadline nor a cancellation ends a value that is
// streamed; it returns false if the context has already ended.
func (p *Pools) exchange(a *attempt, c *conn, detachContext func() bool) (result core.AttemptResult, reusable bool) {
	startedAt := time.Now()
	written := p.writeCommand(a, c)
	a.Request.ChargeTime(time.Since(startedAt))
	if !written {
		return core.AttemptResult{Outcome: unsentOutcome(a.ctx, nil)}, false
	}
	if p.Dispatched != nil {
		p.Dispatched(a.Request.ClassName)
	}
	v, largeSize, err := c.readAnswer(a)
	hold := p.takeAnswerMemory(c)
	defer func() {
		if result.Memory == nil {
			hold.Release()
		}
	}()
	if err == nil && largeSize > 0 && v.Len == answerParts {
		if detachContext() {
			return p.stream(a, c, v, largeSize)
		}
		err = os.ErrDeadlineExceeded // the attempt ended before its value could be streamed
	}
	result, reusable = decodeAnswer(v, err == nil)
	if result.Outcome == dw.OutcomeOK {
		result.Memory = hold
	}
	if err == nil || result.Outcome == dw.OutcomeOK {
		return result, reusable && c.reader.Buffered() == 0
	}
	result.Outcome = sentOutcome(a.ctx, err)
	return result, false
}

// writeCommand writes the command of an attempt, and reports whether all of it was written. A long body is written from the client's
// command itself, which all attempts share, and no faster than the backend reads it.
func (p *Pools) writeCommand(a *attempt, c *conn) bool {
	parts := [][]byte{p.command(a)}
	if body := longBody(a); body != nil {
		parts = append(parts, body, []byte(resp.BulkEnd))
	}
	for _, part := range parts {
		var n int
		if p.limits.SendBuffer > 0 {
			n, _ = sockets.WriteWithin(c.TCPConn, part, p.limits.SendBuffer)
		} else {
			n, _ = c.Write(part)
		}
		if n < len(part) {
			return false
		}
	}
	return true
}

// readAnswer waits for an answer and reads it, except for a large value, as resp.Reader.ReadAnswer does. It fails if an answer
// has begun and nothing more comes for answerSilence, even if the connection is still open.
func (c *conn) readAnswer(a *attempt) (v resp.Value, largeSize int, err error) {
	c.answer = answerReading{ctx: a.ctx}
	if _, err := c.reader.Peek(); err != nil {
		return v, 0, err
	}
	c.answer.silence = answerSilence
	v, largeSize, err = c.reader.ReadAnswer()
	c.answer.silence = 0
	return v, largeSize, err
}

// answerReading is the state of an answer that is being read.
type answerReading struct {
	ctx      context.Context // context of the attempt
	silence  time.Duration   // maximum time between two bytes; 0 if the deadline of the connection is set elsewhere
	bytes    int64           // bytes of the parts of the answer announced so far
	acquired int64           // memory acquired for them
}

// Read reads from the backend, with the time limit of the answer that is being read.
func (c *conn) Read(b []byte) (int, error) {
	if silence := c.answer.silence; silence > 0 {
		c.SetReadDeadline(time.Now().Add(silence))
		if c.answer.ctx.Err() != nil { // this deadline may have replaced the one that was set when the context ended
			c.SetReadDeadline(expired)
		}
	}
	return c.TCPConn.Read(b)
}

// mustStream acquires the memory of a value that is about to be read. It reports whether the value is long and there is no memory for
// it: then it is passed on while it is received, as a value that is too large for memory is.
func (p *Pools) mustStream(c *conn, length int) bool {
	return length > minLongAnswer && p.reserveAnswer(c, length) != nil
}

// reserveAnswer acquires the memory of the next part of an answer if the answer is long. It fails with errNoMemory.
func (p *Pools) reserveAnswer(c *conn, length int) error {
	if p.limits.Memory == nil {
		return nil
	}
	total := c.answer.bytes + int64(length)
	missing := total - c.answer.acquired
	if total > minLongAnswer && missing > 0 {
		if !p.limits.Memory.TryAcquire(memory.Answers, missing) {
			return errNoMemory
		}
		c.answer.acquired += missing
	}
	return nil
}

// countAnswer counts the next part of an answer, and acquires its memory unless mustStream has.
func (p *Pools) countAnswer(c *conn, length int) error {
	if err := p.reserveAnswer(c, length); err != nil {
		return err
	}
	c.answer.bytes += int64(length)
	return nil
}

// takeAnswerMemory returns the memory that was acquired for the answer that was read, or nil if it is short.
func (p *Pools) takeAnswerMemory(c *conn) *memory.Hold {
	acquired := c.answer.acquired
	c.answer = answerReading{}
	return memory.NewHold(p.limits.Memory, memory.Answers, acquired)
}
