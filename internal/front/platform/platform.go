// Package platform is the front for the platform's protocol: PING, SVC.QUERY and SVC.SUBMIT.
package platform

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	dw "dewhitch"
	"dewhitch/internal/classtable"
	"dewhitch/internal/config/settings"
	"dewhitch/internal/core"
	"dewhitch/internal/front"
	"dewhitch/internal/ledger"
	"dewhitch/internal/ops"
	"dewhitch/internal/resp"
)

const (
	longestWait = time.Hour // no client waits longer, whatever it writes
	customers   = 1 << 33   // all customers are below
)

// Commands carries out the platform's commands.
type Commands struct {
	Planner  *core.Planner
	Books    Books
	Names    settings.Names
	Settings dw.Settings
	Figures  *ops.Figures // counts for operators; nil: none
	State    *ops.State   // whether PING says yes, as it does but when drained; nil: always

	table atomic.Pointer[classtable.Table] // the class names that reqs come by; those of Settings until Retune
}

// Classes is the table of class names in force.
func (c *Commands) Classes() classtable.Table {
	if t := c.table.Load(); t != nil {
		return *t
	}
	t := classtable.Start(c.Names.Classes, c.Settings.Classes)
	c.table.CompareAndSwap(nil, &t)
	return *c.table.Load()
}

// Retune has reqs from now on come by the classes of settings read anew; reqs that were taken keep their class. One
// goroutine at a time may call it.
func (c *Commands) Retune(names []string, classes []dw.Class) classtable.Table {
	t := c.Classes().Retune(c.Settings.Classes, names, classes)
	c.table.Store(&t)
	return t
}

// Books are what the fronts post to.
type Books interface {
	Ref() uint64 // a number for a req
	Post(ledger.Posting)
	// Row is the key of a haulier's row, by the places of plan and class in the settings.
	Row(customer uint64, plan, class int) ledger.Key
}

// Do implements front.Commands.
func (c *Commands) Do(came time.Time, cmd resp.Command, s *front.Slot) {
	switch string(bytes.ToUpper(cmd[0])) {
	case "PING":
		if c.Drained() {
			// The platform's front sends no more clients here. Not so after SIGTERM: the process that replaces this
			// one serves at the same address, and the front would take the gateway for drained.
			s.Fill(resp.AppendFailure(nil, "ERR draining"))
			return
		}
		s.Fill(resp.AppendStatus(nil, "PONG"))
	case "SVC.QUERY":
		c.take(came, cmd, true, s)
	case "SVC.SUBMIT":
		c.take(came, cmd, false, s)
	default:
		s.Reject(fmt.Sprintf("unknown command %.32q", cmd[0]))
	}
}

// Drained reports whether clients should be sent elsewhere.
func (c *Commands) Drained() bool { return c.State != nil && c.State.Drained() }

// take decodes a req and hands it to the planner.
func (c *Commands) take(came time.Time, cmd resp.Command, query bool, s *front.Slot) {
	r, err := c.decode(cmd, query)
	if err != nil {
		s.Reject(err.Error())
		return
	}
	r.ReceivedAt = came
	c.Hand(r, s, AppendAnswer)
}

// Hand gives a req to the planner, and its answer, as words has it, to the slot.
func (c *Commands) Hand(r *core.Request, s *front.Slot, words func([]byte, core.Answer) []byte) {
	class := r.Class
	switch r.Kind {
	case core.KindQueryLimit:
		class = int(ledger.ClassQuery)
	case core.KindAdjustLimit:
		class = int(ledger.ClassAdjust)
	}
	r.LedgerRef, r.LedgerKey = c.Books.Ref(), c.Books.Row(uint64(r.Customer), r.Plan, class)
	verdict := core.ResultFailed
	ended := c.count(r)
	r.Answer = func(a core.Answer) {
		verdict = a.Result
		ended(a.Result, true)
		if a.Stream != nil {
			s.FillFrom(resp.AppendBulkHead(nil, a.Stream.Size()), a.Stream)
			return
		}
		s.Fill(words(nil, a))
	}
	taken := ledger.Posting{Event: ledger.FrontTaken, Key: r.LedgerKey, Ref: r.LedgerRef, Units: ledger.MicroUnits(r.Units),
		Wait: ledger.WholeSeconds(r.Timeout)}
	c.Books.Post(taken)
	if r.Message.Key != "" && r.Kind == core.KindForward {
		c.Books.Post(ledger.Posting{Event: ledger.FrontKeyed, Key: r.LedgerKey, Ref: r.LedgerRef,
			Units: int64(xxhash.Sum64String(r.Message.Key))})
	}
	kept := false
	s.OnSettled(func(f front.Fate) {
		end := ledger.Posting{Key: r.LedgerKey, Ref: r.LedgerRef}
		switch {
		case kept:
			end = taken
			end.Event = ledger.FrontKept
		case f == front.Gone:
			end.Event = ledger.FrontGone
		case f == front.Cut:
			end.Event = ledger.FrontCut
		default:
			end.Event = ends[verdict]
		}
		c.Books.Post(end)
	})
	if s.Refuse() { // it came too late into a drain; nobody has heard of it
		kept = true
		r.Answer(core.Answer{Result: core.ResultRejected})
		return
	}
	ticket, err := c.Planner.Submit(r)
	if errors.Is(err, core.ErrBusy) { // nobody has heard of it
		kept = true
		r.Answer(core.Answer{Result: core.ResultRejected, RetryAfter: c.busyAdvice()})
		return
	} else if err != nil {
		kept = true
		r.Answer(core.Answer{Result: core.ResultFailed})
		return
	}
	s.OnGone(func() {
		ended(core.ResultFailed, false)
		c.Planner.Cancel(ticket)
	})
	s.OnHurry(func() { c.Planner.Expedite(ticket) })
}

// busyAdvice is when a client that was refused because the gateway is busy should come again: scattered, so that not all of
// them come at once.
func (c *Commands) busyAdvice() time.Duration {
	most := time.Duration(c.Settings.MaxRetryAfter)
	return most/2 + rand.N(most/2+1)
}

var verdicts = [...]ops.Verdict{core.ResultServed: ops.Success, core.ResultRejected: ops.Overload, core.ResultFailed: ops.Error}

// count has a req counted as open, and gives back what counts its end, once: answered, or left by its client, which
// may happen at once.
func (c *Commands) count(r *core.Request) func(v core.Result, answered bool) {
	f := c.Figures
	if f == nil {
		return func(core.Result, bool) {}
	}
	f.Open(1)
	var once atomic.Bool
	return func(v core.Result, answered bool) {
		if !once.CompareAndSwap(false, true) {
			return
		}
		f.Open(-1)
		if answered && r.Kind == core.KindForward {
			f.Ended(r.ClassName, verdicts[v])
		}
	}
}

var ends = [...]ledger.Event{core.ResultServed: ledger.FrontServed, core.ResultRejected: ledger.FrontRefused,
	core.ResultFailed: ledger.FrontFailed}

var errWords = errors.New("wrong number of arguments")

func (c *Commands) decode(cmd resp.Command, query bool) (*core.Request, error) {
	if len(cmd) != 4 && len(cmd) != 5 {
		return nil, errWords
	}
	r := &core.Request{}
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
	e, known := c.Classes().Find(class)
	if !known || e.Class < 0 {
		return nil, fmt.Errorf("c: no class %.32q", class)
	}
	r.Class, r.ClassName, r.IdempotentQuery = e.Class, e.Name, e.Effect == dw.Idempotent
	if query != r.IdempotentQuery {
		return nil, fmt.Errorf("c: class %q is for the other command", class)
	} else if e.Effect == dw.IdempotentByKey && r.Message.Key == "" {
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
	if v >= customers {
		return 0, fmt.Errorf("customer: %.32q is none", text)
	}
	return dw.CustomerID(v), nil
}

// Arguments reads the list of names and values into r, and returns the class's name, which may be empty.
func (c *Commands) Arguments(text []byte, r *core.Request) (class string, err error) {
	class, plan, err := list(text, r)
	if err != nil {
		return "", err
	}
	if r.Plan = slices.Index(c.Names.Plans, plan); r.Plan < 0 {
		return "", fmt.Errorf("t: no plan %.32q", plan)
	}
	// Danger: a set or units out of range would go into the customer's account, which its other reqs share.
	switch set := c.Settings; {
	case r.Units <= 0 || set.MaxUnits > 0 && r.Units > set.MaxUnits:
		return "", fmt.Errorf("units: not above 0 and up to %v", set.MaxUnits)
	case r.Spread > set.Instances:
		return "", fmt.Errorf("spread: over %d", set.Instances)
	case r.FirstGateway >= set.Instances:
		return "", fmt.Errorf("first: not below %d", set.Instances)
	}
	return class, nil
}

// Route reads of a list what a forwarder needs: the customer's set, the deadline, and the names for its books.
func Route(text []byte, r *core.Request) (class, plan string, err error) { return list(text, r) }

// list reads a list of names and values; names that are not known are passed over.
func list(text []byte, r *core.Request) (class, plan string, err error) {
	n := 0.0
	r.Units, r.Spread, r.FirstGateway = 1, 0, -1
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		v := string(value)
		switch string(name) {
		case "c":
			class = v
		case "t":
			plan = v
		case "k":
			if r.Message.Key = v; len(v) > 64 {
				return "", "", errors.New("k: over 64 bytes")
			}
		case "r":
			r.Repeat = v == "1"
		case "d":
			if n, err = number("d", v, 0, longestWait.Seconds()*1e3); err != nil {
				return "", "", err
			}
			r.Timeout = time.Duration(n * 1e6)
		case "units":
			if r.Units, err = number("units", v, 0, 1e6); err != nil {
				return "", "", err
			}
		case "spread":
			if r.Spread, err = whole("spread", v, 1, 1e6); err != nil {
				return "", "", err
			}
		case "first":
			if r.FirstGateway, err = whole("first", v, 0, 1e6); err != nil {
				return "", "", err
			}
		}
	}
	switch {
	case r.Timeout <= 0:
		return "", "", errors.New("d: missing")
	case r.Spread == 0:
		return "", "", errors.New("spread: missing")
	case r.FirstGateway < 0:
		return "", "", errors.New("first: missing")
	}
	return class, plan, nil
}

// number reads a decimal number as people write it; what else a parser would take is no client's.
func number(name, s string, least, most float64) (float64, error) {
	v, err := strconv.ParseFloat(s, 64)
	if err != nil || strings.Trim(s, "0123456789.") != "" || !(v >= least && v <= most) {
		return 0, fmt.Errorf("%s: %.32q is not a number from %v to %v", name, s, least, most)
	}
	return v, nil
}

// whole reads a whole number. A part of one would be lost on the way to the backend, which knows what was sent.
func whole(name, s string, least, most float64) (int, error) {
	v, err := number(name, s, least, most)
	if err == nil && v != math.Trunc(v) {
		err = fmt.Errorf("%s: %.32q is not a whole number", name, s)
	}
	return int(v), err
}

// AppendAnswer appends the answer to a req.
func AppendAnswer(b []byte, a core.Answer) []byte {
	switch a.Result {
	case core.ResultServed:
		return resp.AppendBulk(b, a.Value)
	case core.ResultRejected:
		if a.RetryAfter <= 0 {
			return resp.AppendFailure(b, "BUSY")
		}
		return resp.AppendFailure(b, "BUSY "+strconv.FormatInt(Milliseconds(a.RetryAfter), 10))
	}
	return resp.AppendFailure(b, "ERR failed")
}

// Milliseconds rounds up, so that nobody comes back a moment too soon.
func Milliseconds(d time.Duration) int64 { return int64((d + time.Millisecond - 1) / time.Millisecond) }
