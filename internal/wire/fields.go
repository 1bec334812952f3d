package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	dw "dewhitch"
)

// fieldReader hands out the values of a line in order and keeps the first error. A value of "-" is absent; where one may be absent, it
// reads as the zero value.
type fieldReader struct {
	line         int
	message      string
	values       []string // that are left
	settingsText string   // of a hello: the settings object
	err          error    // the first
}

func (r *Reader) newFieldReader(message, line string, fieldCount int) *fieldReader {
	f := &fieldReader{line: r.line, message: message}
	f.values = strings.Split(line, " ")[1:]
	if len(f.values) != fieldCount {
		f.fail("-", fmt.Sprintf("has %d fields, want %d", len(f.values), fieldCount))
	}
	return f
}

func (f *fieldReader) fail(field, problem string) {
	if f.err == nil {
		f.err = &Error{f.line, f.message, field, problem}
	}
}

// next returns the next value, as it stands.
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

// required returns the next value, which may not be absent.
func (f *fieldReader) required(field string) string {
	s := f.next(field)
	if s == "-" {
		f.fail(field, "absent")
	}
	return s
}

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

// intBelow reads an integer from 0 to n-1, which may not be absent.
func (f *fieldReader) intBelow(field string, limit int) int {
	f.requirePresent(field)
	v := f.int64(field)
	if v < 0 || v >= int64(limit) {
		f.fail(field, fmt.Sprintf("%d is not one of 0 to %d", v, limit-1))
		return 0
	}
	return int(v)
}

// requirePresent fails if the next value is absent.
func (f *fieldReader) requirePresent(field string) {
	if f.err == nil && len(f.values) > 0 && f.values[0] == "-" {
		f.fail(field, "absent")
	}
}

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

var outcomes = [...]dw.Outcome{0: dw.OutcomeError, 1: dw.OutcomeOK, 2: dw.OutcomeRejected, 3: dw.OutcomeTimeout,
	4: dw.OutcomeConnectFailed, 5: dw.OutcomeReset, 6: dw.OutcomeCancelled, 7: dw.OutcomeNotSent}

func (f *fieldReader) outcome() dw.Outcome { return outcomes[f.intBelow("Reason", len(outcomes))] }

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
