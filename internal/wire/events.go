package wire

import (
	"encoding/hex"
	"fmt"
	"math"
	"strconv"
	"strings"

	dw "dewhitch"
	"dewhitch/internal/config/settings"
)

// messageForm is one kind of message: how many fields stand behind its name, and what its body is read by. The fields are taken
// in the order of the line; the first that can't be read is the error of the line.
type messageForm struct {
	fields int
	body   func(*Reader, *fields) (any, error)
}

// bodyOf adapts the reader of a message of one line.
func bodyOf[T any](read func(*fields) T) func(*Reader, *fields) (any, error) {
	return func(_ *Reader, f *fields) (any, error) { return read(f), nil }
}

// messageForms are the messages that an instance may be sent, by the names on the wire.
var messageForms = map[string]messageForm{
	"hello":        {3, bodyOf((*fields).hello)},
	"kill":         {1, bodyOf(func(*fields) Kill { return Kill{} })},
	"peers_known":  {4, (*Reader).endpointList},
	"submit":       {10, bodyOf((*fields).arrival)},
	"established":  {5, bodyOf((*fields).answerStarted)},
	"response":     {10, bodyOf((*fields).attemptEnded)},
	"vanished":     {2, bodyOf(func(f *fields) dw.ClientDeparted { return dw.ClientDeparted{Request: f.request()} })},
	"ring":         {2, bodyOf(func(f *fields) dw.TimerFired { return dw.TimerFired{ID: dw.TimerID(f.need("Ref"))} })},
	"health":       {5, bodyOf((*fields).healthChecked)},
	"peer":         {3, bodyOf((*fields).peerMessage)},
	"ledger_reply": {5, bodyOf((*fields).counterAnswered)},
}

// message reads one line of a round, and the lines that belong to it.
func (r *Reader) message(line string) (Message, error) {
	name, rest, _ := strings.Cut(line, " ")
	form, known := messageForms[name]
	if !known {
		return Message{}, &Error{r.line, name, "-", "unknown message"}
	}
	config := ""
	if name == "hello" { // the settings are text to the line's end
		if parts := strings.SplitN(rest, " ", 3); len(parts) == 3 {
			config = parts[2]
			line = "hello " + parts[0] + " " + parts[1] + " json"
		}
	}
	f := r.fields(name, line, form.fields)
	f.config = config
	m := Message{Gateway: f.need("Gateway"), Line: r.line}
	body, err := form.body(r, f)
	if err != nil {
		return m, err
	}
	m.Body = body
	return m, f.err
}

func (f *fields) hello() Hello {
	text := f.need("Seed")
	seed, err := strconv.ParseUint(text, 10, 64)
	if signed, signedErr := strconv.ParseInt(text, 10, 64); err != nil && signedErr == nil {
		seed, err = uint64(signed), nil
	}
	if err != nil {
		f.fail("Seed", fmt.Sprintf("bad integer %q", text))
	}
	h := Hello{Seed: seed}
	if f.err == nil {
		if h.Settings, _, err = settings.Decode([]byte(f.config)); err != nil {
			f.fail("Config", err.Error())
		}
	}
	return h
}

// The scopes of a list of servers, as the wire numbers them; 0 is none.
const (
	scopeCached = iota + 1
	scopeFailed
	scopeDelta
	scopeFull
	scopeCount
)

var listKinds = [scopeCount]dw.ListKind{scopeCached: dw.ListCached, scopeFailed: dw.ListFailed, scopeDelta: dw.ListDelta,
	scopeFull: dw.ListFull}

// endpointList reads a list of servers: a line of its own, and one for each server.
func (r *Reader) endpointList(f *fields) (any, error) {
	scope := f.code("Scope", scopeCount)
	list := dw.EndpointList{Version: f.int64("Serial"), Kind: listKinds[scope]}
	if scope == 0 {
		f.fail("Scope", "0 is not one of 1 to 4")
	}
	count := f.int64("Members")
	if count < 0 {
		f.fail("Members", "negative")
	}
	for i := int64(0); i < count && f.err == nil; i++ {
		e, err := r.endpoint()
		if err != nil {
			return nil, err
		}
		list.Servers = append(list.Servers, e)
	}
	return list, nil
}

var endpointStates = [...]dw.EndpointState{0: dw.Draining, 1: dw.Ready, 2: dw.Removed}

func (r *Reader) endpoint() (dw.Endpoint, error) {
	line, err := r.next()
	if err != nil {
		return dw.Endpoint{}, &Error{r.line + 1, "m", "-", "the input ends inside a list"}
	}
	f := r.fields("m", line, 7)
	if !strings.HasPrefix(line, "m ") {
		f.fail("-", "want a list entry")
	}
	e := dw.Endpoint{
		Cell:      int(f.int64("Pod")),
		Zone:      int(f.int64("Site")),
		Kind:      int(f.int64("GenerationHw")),
		ID:        f.server("Server"),
		StartedAt: dw.Instant(f.int64("OnlineSince")),
		Rating:    f.float("Rating"),
	}
	e.State = endpointStates[f.code("State", len(endpointStates))]
	return e, f.err
}

// The bits of a request's options.
const (
	optionRepeat = 2
	optionWrite  = 4
)

func (f *fields) arrival() dw.Arrival {
	a := dw.Arrival{
		ID:    f.request(),
		Class: f.code("Priority", math.MaxInt32),
		Plan:  f.code("Terms", math.MaxInt32),
	}
	key := f.need("Caller")
	customer, err := strconv.ParseUint(key, 16, 64)
	if err != nil {
		f.fail("Caller", fmt.Sprintf("bad customer %q", key))
	}
	a.Customer = dw.CustomerID(customer)
	a.Remaining = dw.Span(f.int64("Remaining"))
	a.Units = f.float("SizeUnits")
	a.Spread = int(f.float("NEntries"))
	a.FirstGateway = int(f.float("First"))
	options := f.int64("Options")
	a.Repeat = options&optionRepeat != 0
	a.Write = options&optionWrite != 0
	return a
}

func (f *fields) answerStarted() dw.AnswerStarted {
	return dw.AnswerStarted{
		Request: f.request(),
		Attempt: f.code("Hop", math.MaxInt32),
		Server:  f.server("Server"),
		Latency: dw.Span(f.int64("Spent")),
	}
}

func (f *fields) attemptEnded() dw.AttemptEnded {
	return dw.AttemptEnded{
		Request:   f.request(),
		Final:     f.bool("NoMore"),
		Used:      int(f.int64("UsePct")),
		Server:    f.server("Server"),
		Outcome:   f.outcome(),
		Latency:   dw.Span(f.int64("Spent")),
		Attempt:   f.code("Hop", math.MaxInt32),
		TrueUnits: f.float("TrueUnits"),
		Load:      f.load(),
	}
}

func (f *fields) healthChecked() dw.HealthChecked {
	return dw.HealthChecked{
		Server:  f.server("Server"),
		Outcome: f.outcome(),
		Latency: dw.Span(f.int64("Spent")),
		Load:    f.load(),
	}
}

func (f *fields) peerMessage() dw.PeerMessage {
	p := dw.PeerMessage{From: f.code("Src", math.MaxInt32)}
	if raw := f.take("Raw"); raw != "-" {
		var err error
		if p.Data, err = hex.DecodeString(raw); err != nil {
			f.fail("Raw", "bad hex")
		}
	}
	return p
}

func (f *fields) counterAnswered() dw.CounterAnswered {
	return dw.CounterAnswered{
		Name:    f.need("Cname"),
		Outcome: f.outcome(),
		Latency: dw.Span(f.int64("Spent")),
		Total:   f.float("Value"),
	}
}
