// Package platform is the front for the platform's protocol: PING, SVC.QUERY and SVC.SUBMIT.
package platform

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"slices"
	"strconv"
	"time"

	dw "dewhitch"
	"dewhitch/internal/config/settings"
	"dewhitch/internal/core"
	"dewhitch/internal/front"
	"dewhitch/internal/resp"
)

const longestWait = time.Hour // no client waits longer, whatever it writes

// Commands carries out the platform's commands.
type Commands struct {
	Planner *core.Planner
	Words   settings.Words
	Classes []dw.Class
}

// Do implements front.Commands.
func (c *Commands) Do(came time.Time, cmd resp.Command, s *front.Slot) {
	if !c.Try(came, cmd, s) {
		s.Fill(resp.AppendFailure(nil, fmt.Sprintf("ERR unknown command %.32q", cmd[0])))
	}
}

// Try is Do for a front that has further commands: false means that this one is not the platform's.
func (c *Commands) Try(came time.Time, cmd resp.Command, s *front.Slot) bool {
	switch string(bytes.ToUpper(cmd[0])) {
	case "PING":
		s.Fill(resp.AppendStatus(nil, "PONG"))
	case "SVC.QUERY":
		c.take(came, cmd, true, s)
	case "SVC.SUBMIT":
		c.take(came, cmd, false, s)
	default:
		return false
	}
	return true
}

// take decodes a req and hands it to the planner.
func (c *Commands) take(came time.Time, cmd resp.Command, query bool, s *front.Slot) {
	r, err := c.decode(cmd, query)
	if err != nil {
		s.Fill(resp.AppendFailure(nil, "ERR "+err.Error()))
		return
	}
	r.Came = came
	r.Answer = func(a core.Answer) { s.Fill(AppendAnswer(nil, a)) }
	ticket, err := c.Planner.Take(r)
	if err != nil {
		s.Fill(AppendAnswer(nil, core.Answer{Verdict: core.Failed}))
		return
	}
	s.OnGone(func() { c.Planner.Leave(ticket) })
}

var errWords = errors.New("wrong number of arguments")

func (c *Commands) decode(cmd resp.Command, query bool) (*core.Req, error) {
	if len(cmd) != 4 && len(cmd) != 5 {
		return nil, errWords
	}
	r := &core.Req{}
	var err error
	if r.Customer, err = Customer(cmd[1]); err != nil {
		return nil, err
	}
	if len(cmd[2]) == 0 || len(cmd[2]) > 64 {
		return nil, errors.New("id: not of 1 to 64 bytes")
	}
	r.Message.Name = string(cmd[2])
	if len(cmd) == 5 {
		r.Message.Body = cmd[4]
	}
	class, err := c.Arguments(cmd[3], r)
	if err != nil {
		return nil, err
	}
	if r.Class = slices.Index(c.Words.Classes, class); r.Class < 0 {
		return nil, fmt.Errorf("c: no class %.32q", class)
	}
	if k := c.Classes[r.Class]; query != (k.Effect == dw.Safe) {
		return nil, fmt.Errorf("c: class %q is for the other command", class)
	} else if k.Effect == dw.Keyed && r.Message.Key == "" {
		return nil, errors.New("k: missing")
	}
	return r, nil
}

// Customer reads a customer: 16 hex digits.
func Customer(text []byte) (dw.CustomerID, error) {
	v, err := strconv.ParseUint(string(text), 16, 64)
	if err != nil || len(text) != 16 || bytes.ContainsAny(text, "ABCDEF") {
		return 0, fmt.Errorf("customer: %.32q is not 16 hex digits", text)
	}
	return dw.CustomerID(v), nil
}

// Arguments reads the list of names and values into r, and returns the class's name, which may be empty.
// Names that are not known are passed over.
func (c *Commands) Arguments(text []byte, r *core.Req) (class string, err error) {
	plan, n := "", 0.0
	r.Plan, r.Units, r.Spread, r.First = -1, 1, 0, -1
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		v := string(value)
		switch string(name) {
		case "c":
			class = v
		case "t":
			plan = v
			r.Plan = slices.Index(c.Words.Plans, v)
		case "k":
			if r.Message.Key = v; len(v) > 64 {
				return "", errors.New("k: over 64 bytes")
			}
		case "r":
			r.Repeat = v == "1"
		case "d":
			if n, err = number("d", v, 0, longestWait.Seconds()*1e3); err != nil {
				return "", err
			}
			r.Wait = time.Duration(n * 1e6)
		case "units":
			if r.Units, err = number("units", v, 0, 1e6); err != nil {
				return "", err
			}
		case "spread":
			if n, err = number("spread", v, 1, 1e6); err != nil {
				return "", err
			}
			r.Spread = int(n)
		case "first":
			if n, err = number("first", v, 0, 1e6); err != nil {
				return "", err
			}
			r.First = int(n)
		}
	}
	switch {
	case r.Plan < 0:
		return "", fmt.Errorf("t: no plan %.32q", plan)
	case r.Wait <= 0:
		return "", errors.New("d: missing")
	case r.Spread == 0:
		return "", errors.New("spread: missing")
	case r.First < 0:
		return "", errors.New("first: missing")
	}
	return class, nil
}

func number(name, s string, least, most float64) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || !(v >= least && v <= most) {
		return 0, fmt.Errorf("%s: %.32q is not a number from %v to %v", name, s, least, most)
	}
	return v, nil
}

// AppendAnswer appends the answer to a req.
func AppendAnswer(b []byte, a core.Answer) []byte {
	switch a.Verdict {
	case core.Served:
		return resp.AppendBulk(b, a.Value)
	case core.Refused:
		if a.RetryAfter <= 0 {
			return resp.AppendFailure(b, "BUSY")
		}
		ms := int64(math.Ceil(a.RetryAfter.Seconds() * 1e3)) // rounded up: not a moment too soon
		return resp.AppendFailure(b, "BUSY "+strconv.FormatInt(ms, 10))
	}
	return resp.AppendFailure(b, "ERR failed")
}
