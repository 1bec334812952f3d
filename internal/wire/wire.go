// Package wire is the codec between the simulator's text lines and the types
// of package dewhitch. It decides nothing.
package wire

import (
	"bufio"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"

	dw "dewhitch"
	"dewhitch/internal/config/settings"
)

// Hello starts an instance.
type Hello struct {
	Seed     uint64
	Settings dw.Settings
}

// Kill ends an instance.
type Kill struct{}

// Message is one line of a round: a Hello, a Kill or a dewhitch event.
type Message struct {
	Gateway string
	Line    int
	Body    any
}

// Round is one batch of events.
type Round struct {
	Now      dw.Instant
	Messages []Message
}

// Error is a malformed line.
type Error struct {
	Line                    int
	Message, Field, Problem string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("line %d: message %q, field %s: %s", e.Line, e.Message, e.Field, e.Problem)
}

// Reader reads rounds.
type Reader struct {
	r    *bufio.Reader
	line int
}

// NewReader reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 1<<16)} }

func (r *Reader) next() (string, error) {
	s, err := r.r.ReadString('\n')
	if err != nil && (s == "" || !errors.Is(err, io.EOF)) {
		return "", err
	}
	r.line++
	return strings.TrimSuffix(s, "\n"), nil
}

// Read returns the next round, or io.EOF if the input ends between rounds.
func (r *Reader) Read() (Round, error) {
	s, err := r.next()
	if err != nil {
		return Round{}, err
	}
	f := r.fields("round", s, 1)
	if name, _, _ := strings.Cut(s, " "); name != "round" {
		f.fail("-", "want a round line")
	}
	round := Round{Now: dw.Instant(f.int64("clock"))}
	if f.err != nil {
		return Round{}, f.err
	}
	for {
		s, err := r.next()
		if err != nil {
			return Round{}, &Error{r.line + 1, "commit", "-", "the input ends inside a round"}
		}
		if s == "commit" {
			return round, nil
		}
		m, err := r.message(s)
		if err != nil {
			return Round{}, err
		}
		round.Messages = append(round.Messages, m)
	}
}

// fields hands out the values of a line in order and keeps the first error.
type fields struct {
	line int
	name string
	v    []string
	err  error
}

func (r *Reader) fields(name, s string, n int) *fields {
	f := &fields{line: r.line, name: name}
	f.v = strings.Split(s, " ")[1:]
	if len(f.v) != n {
		f.fail("-", fmt.Sprintf("has %d fields, want %d", len(f.v), n))
	}
	return f
}

func (f *fields) fail(field, problem string) {
	if f.err == nil {
		f.err = &Error{f.line, f.name, field, problem}
	}
}

func (f *fields) take(field string) string {
	if f.err != nil || len(f.v) == 0 {
		f.fail(field, "missing")
		return ""
	}
	s := f.v[0]
	f.v = f.v[1:]
	if s == "" {
		f.fail(field, "empty")
	}
	return s
}

// need is take for a value that may not be absent.
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

func (f *fields) code(field string, n int) int {
	f.absent(field)
	v := f.int64(field)
	if v < 0 || v >= int64(n) {
		f.fail(field, fmt.Sprintf("%d is not one of 0 to %d", v, n-1))
		return 0
	}
	return int(v)
}

func (f *fields) absent(field string) {
	if f.err == nil && len(f.v) > 0 && f.v[0] == "-" {
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

// counts is how many fields each message has behind its name.
var counts = map[string]int{"hello": 3, "kill": 1, "peers_known": 4, "submit": 10, "established": 5, "response": 10,
	"vanished": 2, "ring": 2, "health": 5, "peer": 3, "ledger_reply": 5}

func (r *Reader) message(s string) (Message, error) {
	name, rest, _ := strings.Cut(s, " ")
	n, known := counts[name]
	if !known {
		return Message{}, &Error{r.line, name, "-", "unknown message"}
	}
	config := ""
	if name == "hello" { // the settings are text to the line's end
		if p := strings.SplitN(rest, " ", 3); len(p) == 3 {
			config = p[2]
			s = "hello " + p[0] + " " + p[1] + " json"
		}
	}
	f := r.fields(name, s, n)
	m := Message{Gateway: f.need("Gateway"), Line: r.line}
	switch name {
	case "hello":
		h := Hello{}
		seed := f.need("Seed")
		v, err := strconv.ParseUint(seed, 10, 64)
		if i, err2 := strconv.ParseInt(seed, 10, 64); err != nil && err2 == nil {
			v, err = uint64(i), nil
		}
		if err != nil {
			f.fail("Seed", fmt.Sprintf("bad integer %q", seed))
		}
		h.Seed = v
		if f.err == nil {
			if h.Settings, _, err = settings.Decode([]byte(config)); err != nil {
				f.fail("Config", err.Error())
			}
		}
		m.Body = h
	case "kill":
		m.Body = Kill{}
	case "peers_known":
		scope := f.code("Scope", 5)
		l := dw.EndpointList{Version: f.int64("Serial")}
		switch scope {
		case 1:
			l.Kind = dw.ListCached
		case 2:
			l.Kind = dw.ListFailed
		case 3:
			l.Kind = dw.ListDelta
		case 4:
			l.Kind = dw.ListFull
		default:
			f.fail("Scope", "0 is not one of 1 to 4")
		}
		k := f.int64("Members")
		if k < 0 {
			f.fail("Members", "negative")
		}
		for i := int64(0); i < k && f.err == nil; i++ {
			e, err := r.entry()
			if err != nil {
				return m, err
			}
			l.Servers = append(l.Servers, e)
		}
		m.Body = l
	case "submit":
		a := dw.Arrival{ID: f.request(), Class: f.code("Priority", math.MaxInt32), Plan: f.code("Terms", math.MaxInt32)}
		key := f.need("Caller")
		id, err := strconv.ParseUint(key, 16, 64)
		if err != nil {
			f.fail("Caller", fmt.Sprintf("bad customer %q", key))
		}
		a.Customer = dw.CustomerID(id)
		a.Remaining, a.Units = dw.Span(f.int64("Remaining")), f.float("SizeUnits")
		a.Spread, a.First = int(f.float("NEntries")), int(f.float("First"))
		o := f.int64("Options")
		a.Repeat, a.Write = o&2 != 0, o&4 != 0
		m.Body = a
	case "established":
		m.Body = dw.AnswerStarted{Request: f.request(), Attempt: f.code("Hop", math.MaxInt32), Server: f.server("Server"),
			Latency: dw.Span(f.int64("Spent"))}
	case "response":
		e := dw.AttemptEnded{Request: f.request(), Final: f.bool("NoMore"), Used: int(f.int64("UsePct"))}
		e.Server, e.Outcome, e.Latency = f.server("Server"), f.outcome(), dw.Span(f.int64("Spent"))
		e.Attempt, e.TrueUnits, e.Load = f.code("Hop", math.MaxInt32), f.float("TrueUnits"), f.load()
		m.Body = e
	case "vanished":
		m.Body = dw.ClientLeft{Request: f.request()}
	case "ring":
		m.Body = dw.TimerFired{ID: dw.TimerID(f.need("Ref"))}
	case "health":
		m.Body = dw.HealthChecked{Server: f.server("Server"), Outcome: f.outcome(), Latency: dw.Span(f.int64("Spent")),
			Load: f.load()}
	case "peer":
		p := dw.PeerMessage{From: f.code("Src", math.MaxInt32)}
		if raw := f.take("Raw"); raw != "-" {
			var err error
			if p.Data, err = hex.DecodeString(raw); err != nil {
				f.fail("Raw", "bad hex")
			}
		}
		m.Body = p
	case "ledger_reply":
		m.Body = dw.CounterAnswered{Name: f.need("Cname"), Outcome: f.outcome(), Latency: dw.Span(f.int64("Spent")),
			Total: f.float("Value")}
	}
	return m, f.err
}

func (r *Reader) entry() (dw.Endpoint, error) {
	s, err := r.next()
	if err != nil {
		return dw.Endpoint{}, &Error{r.line + 1, "m", "-", "the input ends inside a list"}
	}
	f := r.fields("m", s, 7)
	if !strings.HasPrefix(s, "m ") {
		f.fail("-", "want a list entry")
	}
	e := dw.Endpoint{Cell: int(f.int64("Pod")), Zone: int(f.int64("Site")), Kind: int(f.int64("GenerationHw")),
		ID: f.server("Server"), StartedAt: dw.Instant(f.int64("OnlineSince")), Rating: f.float("Rating")}
	e.State = [...]dw.EndpointState{dw.Draining, dw.Ready, dw.Removed}[f.code("State", 3)]
	return e, f.err
}

// AppendAction appends the line of one action of gateway gw to b.
func AppendAction(b []byte, gw string, a dw.Action) []byte {
	line := func(name string) { b = append(append(append(b, name...), ' '), gw...) }
	text := func(s string) { b = append(append(b, ' '), s...) }
	num := func(v int64) { b = strconv.AppendInt(append(b, ' '), v, 10) }
	switch a := a.(type) {
	case dw.StartAttempt:
		line("deliver")
		text(string(a.Request))
		num(int64(a.Server))
		num(int64(a.Timeout))
	case dw.CancelAttempt:
		line("undo_send")
		text(string(a.Request))
		num(int64(a.Attempt))
	case dw.Reject:
		line("deny")
		text(string(a.Request))
		num(int64(a.RetryAfter))
	case dw.Fail:
		line("finish_error")
		text(string(a.Request))
	case dw.SetTimer:
		line("remind")
		num(int64(a.At))
		text(string(a.ID))
	case dw.CounterAdd:
		line("bump")
		text(a.Name)
		b = strconv.AppendFloat(append(b, ' '), a.Add, 'f', -1, 64)
		num(int64(a.TTL))
	case dw.HealthCheck:
		line("probe")
		num(int64(a.Server))
	case dw.SubscribeEndpoints:
		line("stream_changes")
		num(1)
	case dw.TallyChanged: // for bookkeeping alone
		return b
	default:
		panic(fmt.Sprintf("wire: no line for %T", a))
	}
	return append(b, '\n')
}

// AppendException appends the line that reports a panic.
func AppendException(b []byte, gw, text string) []byte {
	text = strings.Join(strings.Fields(text), " ")
	return append(b, "exception "+gw+" "+text+"\n"...)
}
