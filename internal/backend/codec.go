package backend

import (
	"bytes"
	"strconv"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/resp"
)

// Indexes into the array of a backend's answer, which consists of the value, usage figures and the load report.
const (
	valuePart   = 0
	loadPart    = 2
	answerParts = 3 // length of the array
)

// maxCopiedBody is the size in bytes up to which a body is copied into the encoded command.
const maxCopiedBody = 2 << 10

// command encodes the command of an attempt. It contains the request as the client sent it, except that the time to the
// deadline, in milliseconds, is the remaining one. If longBody returns a body, the command ends before its first byte.
func (p *Pools) command(a *attempt) []byte {
	r := a.Request
	name := "SVC.SUBMIT"
	if r.IdempotentQuery {
		name = "SVC.QUERY"
	}
	parts := 4
	if r.Message.Body != nil {
		parts++
	}
	args := p.commandArgs(a)
	b := make([]byte, 0, 128+len(args)+min(len(r.Message.Body), maxCopiedBody))
	b = resp.AppendArray(b, parts)
	b = resp.AppendBulk(b, name)
	b = resp.AppendBulk(b, customerText(r.Customer))
	b = resp.AppendBulk(b, r.Message.Name)
	b = resp.AppendBulk(b, args)
	switch {
	case longBody(a) != nil:
		b = resp.AppendBulkHeader(b, len(r.Message.Body))
	case r.Message.Body != nil:
		b = resp.AppendBulk(b, r.Message.Body)
	}
	return b
}

// longBody returns the body of an attempt's request if it is too long to be copied for each attempt, and nil otherwise.
func longBody(a *attempt) []byte {
	if body := a.Request.Message.Body; len(body) > maxCopiedBody {
		return body
	}
	return nil
}

// commandArgs encodes the list of names and values in a command.
func (p *Pools) commandArgs(a *attempt) []byte {
	r := a.Request
	b := append([]byte("c="), r.ClassName...)
	b = append(append(b, ",t="...), p.names.Plans[r.Plan]...)
	b = strconv.AppendInt(append(b, ",d="...), max(1, time.Until(a.Deadline).Milliseconds()), 10)
	if r.Message.Key != "" {
		b = append(append(b, ",k="...), r.Message.Key...)
	}
	if r.Repeat {
		b = append(b, ",r=1"...)
	}
	b = strconv.AppendFloat(append(b, ",units="...), r.Units, 'f', -1, 64)
	b = strconv.AppendInt(append(b, ",spread="...), int64(r.Spread), 10)
	return strconv.AppendInt(append(b, ",first="...), int64(r.FirstGateway), 10)
}

// customerText returns a customer id as commands contain it: 16 hexadecimal digits.
func customerText(id dw.CustomerID) string {
	s := strconv.FormatUint(uint64(id), 16)
	return "0000000000000000"[len(s):] + s
}

// decodeAnswer decodes a backend's answer, or the part of it that could be read; complete is true if all of it was read. It
// returns true if the connection can be reused. This requires a complete, valid answer: after any other, the start of the next
// answer can't be found.
func decodeAnswer(v resp.Value, complete bool) (result core.AttemptResult, reusable bool) {
	switch {
	case v.Kind == resp.Array && v.Len == answerParts && len(v.Items) > 0:
		return decodeValue(v, complete)
	case v.Kind == resp.Error && complete:
		return decodeFailure(v.Text)
	}
	return core.AttemptResult{Outcome: dw.OutcomeError}, false // the backend may have executed the command
}

// decodeValue decodes an answer that contains a value. The value is valid even if the parts after it could not be read.
func decodeValue(v resp.Value, complete bool) (result core.AttemptResult, reusable bool) {
	value := v.Items[valuePart]
	if value.Kind != resp.Bulk || value.Null {
		return core.AttemptResult{Outcome: dw.OutcomeError}, false
	}
	result = core.AttemptResult{Outcome: dw.OutcomeOK, Value: value.Text}
	if len(v.Items) == answerParts {
		result.Load = decodeLoad(v.Items[loadPart].Text)
	}
	return result, complete
}

// decodeFailure decodes an error line. BUSY means that the backend rejected the command, ERR that the command failed but may have
// been executed. The last word of the line may be a load report.
func decodeFailure(text []byte) (result core.AttemptResult, reusable bool) {
	result.Outcome = dw.OutcomeError
	fields := bytes.Fields(text)
	if len(fields) == 0 {
		return result, false
	}
	switch string(fields[0]) {
	case "ERR":
		reusable = true
	case "BUSY":
		result.Outcome = dw.OutcomeRejected
		reusable = true
	}
	if len(fields) > 1 {
		result.Load = decodeLoad(fields[len(fields)-1])
	}
	return result, reusable
}

// decodeLoad decodes a load report, such as queue=2,inflight=7,qps=14.5. It ignores values that are not numbers of 0 or more.
func decodeLoad(text []byte) (l dw.Load) {
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		if v, err := strconv.ParseFloat(string(value), 64); err == nil && v >= 0 && v-v == 0 {
			l.Set(string(name), v)
		}
	}
	return l
}
