package backend

import (
	"bytes"
	"strconv"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/resp"
)

// An answer of a backend is an array of the value, the figures on use and the load report.
const (
	valuePart   = 0
	loadPart    = 2
	answerParts = 3
)

// command encodes an attempt as the client worded its request, but for the time that is left, in milliseconds.
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
	b := make([]byte, 0, 128+len(args)+len(r.Message.Body))
	b = resp.AppendArray(b, parts)
	b = resp.AppendBulk(b, name)
	b = resp.AppendBulk(b, customerText(r.Customer))
	b = resp.AppendBulk(b, r.Message.Name)
	b = resp.AppendBulk(b, args)
	if r.Message.Body != nil {
		b = resp.AppendBulk(b, r.Message.Body)
	}
	return b
}

// commandArgs are the names and values of a command.
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

// customerText is a customer as commands have it: 16 hexadecimal digits.
func customerText(id dw.CustomerID) string {
	s := strconv.FormatUint(uint64(id), 16)
	return "0000000000000000"[len(s):] + s
}

// decodeAnswer decodes a backend's answer, or as much of it as could be read; complete says that all was. The connection is
// reusable if the answer is one that a backend gives: after any other, nobody knows where the next answer begins.
func decodeAnswer(v resp.Value, complete bool) (result core.AttemptResult, reusable bool) {
	switch {
	case v.Kind == resp.Array && v.Len == answerParts && len(v.Items) > 0:
		return decodeValue(v, complete)
	case v.Kind == resp.Failure && complete:
		return decodeFailure(v.Text)
	}
	return core.AttemptResult{Outcome: dw.OutcomeError}, false // it may have run
}

// decodeValue decodes an answer that has a value. What can't be read after the value takes nothing from it.
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

// decodeFailure decodes an error line: BUSY rejects the command, ERR says that it failed, and may have run. The last word may
// be a load report.
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

// decodeLoad decodes a load report, such as queue=2,inflight=7,qps=14.5; what is no number of 0 or more is ignored.
func decodeLoad(text []byte) (l dw.Load) {
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		if v, err := strconv.ParseFloat(string(value), 64); err == nil && v >= 0 && v-v == 0 {
			l.Set(string(name), v)
		}
	}
	return l
}
