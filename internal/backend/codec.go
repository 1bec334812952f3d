package backend

// The commands that backends are sent, and the answers that they give.

import (
	"bytes"
	"strconv"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/resp"
)

// command words a fetch as the client worded its req, but for the time that is left.
func (p *Pools) command(f *fetch) []byte {
	r := f.Request
	name, words := "SVC.SUBMIT", 4
	if r.IdempotentQuery {
		name = "SVC.QUERY"
	}
	if r.Message.Body != nil {
		words++
	}
	args := append(append([]byte("c="), r.ClassName...), ",t="...)
	args = append(append(args, p.names.Plans[r.Plan]...), ",d="...)
	args = strconv.AppendInt(args, max(1, time.Until(f.Deadline).Milliseconds()), 10)
	if r.Message.Key != "" {
		args = append(append(args, ",k="...), r.Message.Key...)
	}
	if r.Repeat {
		args = append(args, ",r=1"...)
	}
	args = strconv.AppendFloat(append(args, ",units="...), r.Units, 'f', -1, 64)
	args = strconv.AppendInt(append(args, ",spread="...), int64(r.Spread), 10)
	args = strconv.AppendInt(append(args, ",first="...), int64(r.FirstGateway), 10)
	b := make([]byte, 0, 128+len(args)+len(r.Message.Body))
	b = resp.AppendBulk(resp.AppendArray(b, words), name)
	b = resp.AppendBulk(b, CustomerText(r.Customer))
	b = resp.AppendBulk(resp.AppendBulk(b, r.Message.Name), args)
	if r.Message.Body != nil {
		b = resp.AppendBulk(b, r.Message.Body)
	}
	return b
}

// CustomerText is a customer as commands have it.
func CustomerText(id dw.CustomerID) string {
	s := strconv.FormatUint(uint64(id), 16)
	return "0000000000000000"[len(s):] + s
}

// parts is how many an answer has: the value, the figures on use, the load report.
const parts = 3

// outcome reads a backend's answer, or as much of it as could be read. It is whole if it is one that a backend gives:
// with any other the connection is of no further use, as nobody knows where the next answer begins.
func outcome(v resp.Value, read bool) (end core.AttemptResult, whole bool) {
	end.Outcome = dw.OutcomeError // it may have run
	switch {
	case v.Kind == resp.Array && v.Len == parts && len(v.Items) > 0:
		// What can't be read behind the value takes nothing from it.
		if v.Items[0].Kind != resp.Bulk || v.Items[0].Null {
			return end, false
		}
		end.Outcome, end.Value = dw.OutcomeOK, v.Items[0].Text
		if len(v.Items) == parts {
			end.Load = load(v.Items[2].Text)
		}
		return end, read
	case v.Kind == resp.Failure && read:
		words := bytes.Fields(v.Text)
		if len(words) == 0 {
			return end, false
		}
		if whole = string(words[0]) == "ERR"; string(words[0]) == "BUSY" {
			end.Outcome, whole = dw.OutcomeRejected, true
		}
		if last := words[len(words)-1]; len(words) > 1 {
			end.Load = load(last)
		}
	}
	return end, whole
}

// load reads a load report, such as queue=2,inflight=7,qps=14.5; what is no number is passed over.
func load(text []byte) (l dw.Load) {
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		if v, err := strconv.ParseFloat(string(value), 64); err == nil && v >= 0 && v-v == 0 {
			l.Set(string(name), v)
		}
	}
	return l
}
