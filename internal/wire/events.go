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

// messageFormat is the format of one kind of message. decode reads the fields in the order in which they appear in the line.
// The first field that can't be read determines the error of the line.
type messageFormat struct {
	fieldCount int // number of fields after the name of the message
	decode     func(*Reader, *fieldReader) (any, error)
}

// singleLine adapts the decoder of a message that consists of one line.
func singleLine[T any](decode func(*fieldReader) T) func(*Reader, *fieldReader) (any, error) {
	return func(_ *Reader, f *fieldReader) (any, error) { return decode(f), nil }
}

// messageFormats holds the formats of all messages to a gateway by their names on the wire.
var messageFormats = map[string]messageFormat{
	"hello":        {3, singleLine((*fieldReader).hello)},
	"kill":         {1, singleLine(func(*fieldReader) Kill { return Kill{} })},
	"peers_known":  {4, (*Reader).readEndpointList},
	"submit":       {10, singleLine((*fieldReader).arrival)},
	"established":  {5, singleLine((*fieldReader).answerStarted)},
	"response":     {10, singleLine((*fieldReader).attemptEnded)},
	"vanished":     {2, singleLine(func(f *fieldReader) dw.ClientDeparted { return dw.ClientDeparted{Request: f.requestID()} })},
	"ring":         {2, singleLine(func(f *fieldReader) dw.TimerFired { return dw.TimerFired{ID: dw.TimerID(f.required("Ref"))} })},
	"health":       {5, singleLine((*fieldReader).healthChecked)},
	"peer":         {3, singleLine((*fieldReader).peerMessage)},
	"ledger_reply": {5, singleLine((*fieldReader).counterAnswered)},
}

// readMessage decodes a line of a round. It reads further lines if the message has them.
func (r *Reader) readMessage(line string) (Message, error) {
	name, rest, _ := strings.Cut(line, " ")
	format, known := messageFormats[name]
	if !known {
		return Message{}, &Error{r.line, name, "-", "unknown message"}
	}
	settingsText := ""
	if name == "hello" { // the settings extend to the end of the line and may contain spaces
		if parts := strings.SplitN(rest, " ", 3); len(parts) == 3 {
			settingsText = parts[2]
			line = "hello " + parts[0] + " " + parts[1] + " json"
		}
	}
	f := r.newFieldReader(name, line, format.fieldCount)
	f.settingsText = settingsText
	m := Message{Gateway: f.required("Gateway"), Line: r.line}
	body, err := format.decode(r, f)
	if err != nil {
		return m, err
	}
	m.Body = body
	return m, f.err
}

// hello reads the seed and the settings. The seed may be written as a signed or an unsigned 64-bit integer.
func (f *fieldReader) hello() Hello {
	text := f.required("Seed")
	seed, err := strconv.ParseUint(text, 10, 64)
	if signed, signedErr := strconv.ParseInt(text, 10, 64); err != nil && signedErr == nil {
		seed, err = uint64(signed), nil
	}
	if err != nil {
		f.fail("Seed", fmt.Sprintf("bad integer %q", text))
	}
	h := Hello{Seed: seed}
	if f.err == nil {
		if h.Settings, _, err = settings.Decode([]byte(f.settingsText)); err != nil {
			f.fail("Config", err.Error())
		}
	}
	return h
}

// Scopes of an endpoint list, by their numbers on the wire. 0 is not a scope.
const (
	scopeCached = iota + 1
	scopeFailed
	scopeDelta
	scopeFull
	scopeCount
)

// listKinds maps the scopes to the module's kinds of lists.
var listKinds = [scopeCount]dw.ListKind{scopeCached: dw.ListCached, scopeFailed: dw.ListFailed, scopeDelta: dw.ListDelta,
	scopeFull: dw.ListFull}

// readEndpointList reads an endpoint list: the fields of its own line, and one further line for each server.
func (r *Reader) readEndpointList(f *fieldReader) (any, error) {
	scope := f.intBelow("Scope", scopeCount)
	list := dw.EndpointList{Version: f.int64("Serial"), Kind: listKinds[scope]}
	if scope == 0 {
		f.fail("Scope", "0 is not one of 1 to 4")
	}
	count := f.int64("Members")
	if count < 0 {
		f.fail("Members", "negative")
	}
	for i := int64(0); i < count && f.err == nil; i++ {
		endpoint, err := r.readEndpoint()
		if err != nil {
			return nil, err
		}
		list.Servers = append(list.Servers, endpoint)
	}
	return list, nil
}

// endpointStates are the states of an endpoint by their numbers on the wire.
var endpointStates = [...]dw.EndpointState{0: dw.Draining, 1: dw.Ready, 2: dw.Removed}

// readEndpoint reads the line of one server in an endpoint list.
func (r *Reader) readEndpoint() (dw.Endpoint, error) {
	line, err := r.readLine()
	if err != nil {
		return dw.Endpoint{}, &Error{r.line + 1, "m", "-", "the input ends inside a list"}
	}
	f := r.newFieldReader("m", line, 7)
	if !strings.HasPrefix(line, "m ") {
		f.fail("-", "want a list entry")
	}
	endpoint := dw.Endpoint{
		Cell:      int(f.int64("Pod")),
		Zone:      int(f.int64("Site")),
		Kind:      int(f.int64("GenerationHw")),
		ID:        f.serverID("Server"),
		StartedAt: dw.Instant(f.int64("OnlineSince")),
		Rating:    f.float("Rating"),
	}
	endpoint.State = endpointStates[f.intBelow("State", len(endpointStates))]
	return endpoint, f.err
}

// Bits of the options of a request; the others are ignored.
const (
	optionRepeat = 2 // the client marks the request as a retry
	optionWrite  = 4 // the client marks the request as a write
)

func (f *fieldReader) arrival() dw.Arrival {
	a := dw.Arrival{
		ID:    f.requestID(),
		Class: f.intBelow("Priority", math.MaxInt32),
		Plan:  f.intBelow("Terms", math.MaxInt32),
	}
	customerText := f.required("Caller")
	customer, err := strconv.ParseUint(customerText, 16, 64)
	if err != nil {
		f.fail("Caller", fmt.Sprintf("bad customer %q", customerText))
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

func (f *fieldReader) answerStarted() dw.AnswerStarted {
	return dw.AnswerStarted{
		Request: f.requestID(),
		Attempt: f.intBelow("Hop", math.MaxInt32),
		Server:  f.serverID("Server"),
		Latency: dw.Span(f.int64("Spent")),
	}
}

func (f *fieldReader) attemptEnded() dw.AttemptEnded {
	return dw.AttemptEnded{
		Request:   f.requestID(),
		Final:     f.bool("NoMore"),
		Used:      int(f.int64("UsePct")),
		Server:    f.serverID("Server"),
		Outcome:   f.outcome(),
		Latency:   dw.Span(f.int64("Spent")),
		Attempt:   f.intBelow("Hop", math.MaxInt32),
		TrueUnits: f.float("TrueUnits"),
		Load:      f.load(),
	}
}

func (f *fieldReader) healthChecked() dw.HealthChecked {
	return dw.HealthChecked{
		Server:  f.serverID("Server"),
		Outcome: f.outcome(),
		Latency: dw.Span(f.int64("Spent")),
		Load:    f.load(),
	}
}

func (f *fieldReader) peerMessage() dw.PeerMessage {
	p := dw.PeerMessage{From: f.intBelow("Src", math.MaxInt32)}
	if raw := f.next("Raw"); raw != "-" {
		var err error
		if p.Data, err = hex.DecodeString(raw); err != nil {
			f.fail("Raw", "bad hex")
		}
	}
	return p
}

func (f *fieldReader) counterAnswered() dw.CounterAnswered {
	return dw.CounterAnswered{
		Name:    f.required("Cname"),
		Outcome: f.outcome(),
		Latency: dw.Span(f.int64("Spent")),
		Total:   f.float("Value"),
	}
}
