package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	dw "dewhitch"
)

// fieldReader returns the values of a line in order, and keeps the first error. The value "-" stands for an absent value; where a
// value may be absent, it is read as the zero value.
type fieldReader struct {
	line         int      // number of the input line
	message      string   // name of the message
	values       []string // values that are not read yet
	settingsText string   // settings object, a JSON text; set for a hello only
	err          error    // first error, or nil
}

// newFieldReader returns a reader of the values after the first word of the line. It records an error if there are not fieldCount
// values.
func (r *Reader) newFieldReader(message, line string, fieldCount int) *fieldReader {
	f := &fieldReader{line: r.line, message: message}
	f.values = strings.Split(line, " ")[1:]
	if len(f.values) != fieldCount {
		f.fail("-", fmt.Sprintf("has %d fields, want %d", len(f.values), fieldCount))
	}
	return f
}

// fail records a problem with a field, unless an error is recorded already.
func (f *fieldReader) fail(field, problem string) {
	if f.err == nil {
		f.err = &Error{f.line, f.message, field, problem}
	}
}

// next returns the next value unchanged. It returns "" after an error or if there are no more values.
func (f *fieldReader) next(field string) string {
	if f.err != nil || len(f.values) == 0 {
		f.fail(field, "missing")
		return ""
	}
	s := f.values[0]
	f.values = f.values[1:]
	if s == "" {
		f.fail(field, "empty")
	}
	return s
}

// required returns the next value, which must not be absent.
func (f *fieldReader) required(field string) string {
	s := f.next(field)
	if s == "-" {
		f.fail(field, "absent")
	}
	return s
}

// int64 reads an integer, which is 0 if absent.
func (f *fieldReader) int64(field string) int64 {
	s := f.next(field)
	if f.err != nil || s == "-" {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(field, fmt.Sprintf("bad integer %q", s))
	}
	return v
}

// intBelow reads an integer from 0 to limit-1, which must not be absent.
func (f *fieldReader) intBelow(field string, limit int) int {
	f.requirePresent(field)
	v := f.int64(field)
	if v < 0 || v >= int64(limit) {
		f.fail(field, fmt.Sprintf("%d is not one of 0 to %d", v, limit-1))
		return 0
	}
	return int(v)
}

// requirePresent records an error if the next value is absent.
func (f *fieldReader) requirePresent(field string) {
	if f.err == nil && len(f.values) > 0 && f.values[0] == "-" {
		f.fail(field, "absent")
	}
}

// float reads a finite number, which is 0 if absent.
func (f *fieldReader) float(field string) float64 {
	s := f.next(field)
	if f.err != nil || s == "-" {
		return 0
	}
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		f.fail(field, fmt.Sprintf("bad number %q", s))
		return 0
	}
	return v
}

func (f *fieldReader) bool(field string) bool { return f.intBelow(field, 2) == 1 }

func (f *fieldReader) serverID(field string) dw.ServerID {
	f.requirePresent(field)
	v := f.int64(field)
	if v < 0 || v > math.MaxUint32 {
		f.fail(field, "out of range")
	}
	return dw.ServerID(v)
}

func (f *fieldReader) requestID() dw.RequestID { return dw.RequestID(f.required("Req")) }

// outcomes are the outcomes of attempts, health checks and counter calls by their numbers on the wire.
var outcomes = [...]dw.Outcome{0: dw.OutcomeError, 1: dw.OutcomeOK, 2: dw.OutcomeRejected, 3: dw.OutcomeTimeout,
	4: dw.OutcomeConnectFailed, 5: dw.OutcomeReset, 6: dw.OutcomeCancelled, 7: dw.OutcomeNotSent}

func (f *fieldReader) outcome() dw.Outcome { return outcomes[f.intBelow("Reason", len(outcomes))] }

// load reads a server's load report: pairs of a metric's name and its value, separated by commas. It ignores unknown names. An
// absent report gives the zero Load.
func (f *fieldReader) load() (l dw.Load) {
	s := f.next("Metrics")
	if f.err != nil || s == "-" {
		return l
	}
	for pair := range strings.SplitSeq(s, ",") {
		name, value, ok := strings.Cut(pair, ":")
		v, err := strconv.ParseFloat(value, 64)
		if !ok || err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
			f.fail("Metrics", fmt.Sprintf("bad pair %q", pair))
			return l
		}
		l.Set(name, v)
	}
	return l
}
