package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	dw "dewhitch"
)

// fields hands out the values of a line in order and keeps the first error. A value of "-" is absent; where one may be absent, it
// reads as the zero value.
type fields struct {
	line   int
	name   string
	values []string // that are left
	config string   // of a hello: the settings object
	err    error    // the first
}

func (r *Reader) fields(name, s string, n int) *fields {
	f := &fields{line: r.line, name: name}
	f.values = strings.Split(s, " ")[1:]
	if len(f.values) != n {
		f.fail("-", fmt.Sprintf("has %d fields, want %d", len(f.values), n))
	}
	return f
}

func (f *fields) fail(field, problem string) {
	if f.err == nil {
		f.err = &Error{f.line, f.name, field, problem}
	}
}

// take returns the next value, as it stands.
func (f *fields) take(field string) string {
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

// need returns the next value, which may not be absent.
func (f *fields) need(field string) string {
	s := f.take(field)
	if s == "-" {
		f.fail(field, "absent")
	}
	return s
}

func (f *fields) int64(field string) int64 {
	s := f.take(field)
	if f.err != nil || s == "-" {
		return 0
	}
	v, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		f.fail(field, fmt.Sprintf("bad integer %q", s))
	}
	return v
}

// code reads an integer from 0 to n-1, which may not be absent.
func (f *fields) code(field string, n int) int {
	f.absent(field)
	v := f.int64(field)
	if v < 0 || v >= int64(n) {
		f.fail(field, fmt.Sprintf("%d is not one of 0 to %d", v, n-1))
		return 0
	}
	return int(v)
}

// absent fails if the next value is absent.
func (f *fields) absent(field string) {
	if f.err == nil && len(f.values) > 0 && f.values[0] == "-" {
		f.fail(field, "absent")
	}
}

func (f *fields) float(field string) float64 {
	s := f.take(field)
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

func (f *fields) bool(field string) bool { return f.code(field, 2) == 1 }

func (f *fields) server(field string) dw.ServerID {
	f.absent(field)
	v := f.int64(field)
	if v < 0 || v > math.MaxUint32 {
		f.fail(field, "out of range")
	}
	return dw.ServerID(v)
}

func (f *fields) request() dw.RequestID { return dw.RequestID(f.need("Req")) }

var outcomes = [...]dw.Outcome{0: dw.OutcomeError, 1: dw.OutcomeOK, 2: dw.OutcomeRejected, 3: dw.OutcomeTimeout,
	4: dw.OutcomeConnectFailed, 5: dw.OutcomeReset, 6: dw.OutcomeCancelled, 7: dw.OutcomeNotSent}

func (f *fields) outcome() dw.Outcome { return outcomes[f.code("Reason", len(outcomes))] }

func (f *fields) load() (l dw.Load) {
	s := f.take("Metrics")
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
