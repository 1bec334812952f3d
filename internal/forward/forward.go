// Package forward is the thin forwarder: it takes client sessions in and passes each command on to a planner of
// its customer's set. It decides nothing on quotas.
package forward

import (
	"bytes"
	"fmt"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/front"
	"dewhitch/internal/front/platform"
	"dewhitch/internal/ledger"
	"dewhitch/internal/resp"
)

const (
	dialTime   = 250 * time.Millisecond
	writeTime  = time.Second
	grace      = 100 * time.Millisecond // beyond a command's deadline: the planner's own answer comes first
	readBuffer = 4 << 10
)

// Planners are the planners that are registered, by gateway number.
type Planners struct {
	now atomic.Pointer[map[int]string]

	mu    sync.Mutex
	links map[*link]struct{} // that are open, of all sessions
	ended bool               // nothing is waited for any more
}

// End has every command answered by a time: what planners have not answered then is failed, as it may have been applied.
func (p *Planners) End(by time.Time) {
	time.AfterFunc(time.Until(by), func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.ended = true
		for l := range p.links {
			l.conn.Close() // its reader answers what is left
		}
	})
}

// hold keeps a link until it is lost; false: nothing is waited for any more.
func (p *Planners) hold(l *link) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended {
		return false
	}
	if p.links == nil {
		p.links = map[*link]struct{}{}
	}
	p.links[l] = struct{}{}
	return true
}

func (p *Planners) release(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.links, l)
}

// Set replaces them.
func (p *Planners) Set(m map[int]string) { p.now.Store(&m) }

// Of returns those of a customer's set, the one to ask first in front. It is the same for all of the customer's
// commands while the planners are, so that a query goes where the bookings before it went.
func (p *Planners) Of(customer dewhitch.CustomerID, spread, first, gateways int) (addrs []string) {
	now := p.now.Load()
	if now == nil {
		return nil
	}
	spread = min(spread, gateways)
	turn := int(uint64(customer) % uint64(spread))
	for i := range spread {
		if addr := (*now)[(first+(turn+i)%spread)%gateways]; addr != "" {
			addrs = append(addrs, addr)
		}
	}
	return addrs
}

// Commands forwards the commands of one client session. It owns a connection to each planner that the session
// has needed; Close gives them back.
type Commands struct {
	planners *Planners
	books    Books
	gateways int
	log      *zap.Logger
	links    map[string]*link
}

// Books are what a forwarder posts to: as the front, as the one who decides on a planner, and as the links to them.
type Books interface {
	Ref() uint64
	Post(ledger.Posting)
	// RowByName is the key of a haulier's row.
	RowByName(customer uint64, plan, class string) ledger.Key
}

// New makes the forwarding of one session.
func New(p *Planners, gateways int, b Books, log *zap.Logger) *Commands {
	return &Commands{planners: p, books: b, gateways: gateways, log: log, links: map[string]*link{}}
}

// Close implements io.Closer.
func (c *Commands) Close() error {
	for _, l := range c.links {
		l.conn.Close()
	}
	return nil
}

// listAt is where the list of names and values stands in each command that is passed on.
var listAt = map[string]int{"SVC.QUERY": 3, "SVC.SUBMIT": 3, "LIMIT.GET": 2, "LIMIT.ADJUST": 3}

// Do implements front.Commands.
func (c *Commands) Do(came time.Time, cmd resp.Command, s *front.Slot) {
	name := string(bytes.ToUpper(cmd[0]))
	at, known := listAt[name]
	if !known {
		s.Reject(fmt.Sprintf("unknown command %.32q", cmd[0]))
		return
	}
	if len(cmd) <= at {
		s.Reject("wrong number of arguments")
		return
	}
	customer, err := platform.Customer(cmd[1])
	if err == nil {
		var r core.Request
		var class, plan string
		if class, plan, err = platform.Route(cmd[at], &r); err == nil {
			r.LedgerKey = c.books.RowByName(uint64(customer), plan, class)
			switch name {
			case "LIMIT.GET":
				r.LedgerKey.Class, r.Units = ledger.ClassQuery, 0
			case "LIMIT.ADJUST":
				r.LedgerKey.Class = ledger.ClassAdjust
				r.Units, _ = strconv.ParseFloat(string(cmd[2]), 64) // what is none, the planner says
			}
			c.pass(came, cmd, customer, &r, s)
			return
		}
	}
	s.Reject(err.Error())
}

// pass writes a command to the first planner of the set that takes it whole. A planner that has not been sent the
// last byte has applied nothing, and another may be asked; after that nothing is sent again.
func (c *Commands) pass(came time.Time, cmd resp.Command, customer dewhitch.CustomerID, r *core.Request, s *front.Slot) {
	b := resp.AppendArray(nil, len(cmd))
	for _, word := range cmd {
		b = resp.AppendBulk(b, word)
	}
	o := c.take(r, s)
	for _, addr := range c.planners.Of(customer, r.Spread, r.FirstGateway, c.gateways) {
		l := c.links[addr]
		if l == nil || l.lost.Load() {
			conn, err := dialPlanner(addr)
			if err != nil {
				c.log.Warn("a planner can't be reached", zap.String("planner", addr), zap.Error(err))
				continue
			}
			l = &link{conn: conn, log: c.log, addr: addr, books: c.books}
			if !c.planners.hold(l) {
				conn.Close()
				break
			}
			c.links[addr] = l
			go func() {
				l.read()
				c.planners.release(l)
			}()
		}
		if l.send(b, o, time.Until(came.Add(r.Timeout+grace))) {
			return
		}
	}
	o.answer(ledger.PlanFailedGaveUp, resp.AppendFailure(nil, "ERR no planner of this customer's set can be reached"))
}

// dialPlanner connects to a planner. A close of the connection, or the end of this process, discards what the kernel has not
// delivered yet, and resets it. Otherwise a planner that is stuck, or behind a partition, would find a command after it was given
// up, and take it for a new one with all of its time before it.
func dialPlanner(addr string) (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", addr, dialTime)
	if err != nil {
		return nil, err
	}
	if err := conn.(*net.TCPConn).SetLinger(0); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// order is a command that was taken: it owes its slot one answer, and the books one end.
type order struct {
	slot  *front.Slot
	books Books
	entry ledger.Posting
	end   ledger.Event // what the front books once the answer is written
}

// take books a command and has its end booked.
func (c *Commands) take(r *core.Request, s *front.Slot) *order {
	o := &order{slot: s, books: c.books, entry: ledger.Posting{Key: r.LedgerKey, Ref: c.books.Ref()}}
	taken := o.entry
	taken.Event, taken.Units, taken.Wait = ledger.FrontTaken, ledger.MicroUnits(r.Units), ledger.WholeSeconds(r.Timeout)
	c.books.Post(taken)
	if r.Message.Key != "" && r.LedgerKey.Class >= 0 {
		o.entry.Units = int64(xxhash.Sum64String(r.Message.Key))
		o.post(ledger.FrontKeyed)
		o.entry.Units = 0
	}
	s.OnSettled(func(f front.Fate) {
		switch f {
		case front.Gone:
			o.post(ledger.FrontGone)
		case front.Cut:
			o.post(ledger.FrontCut)
		default:
			o.post(o.end)
		}
	})
	taken.Event = ledger.PlanTaken
	c.books.Post(taken)
	return o
}

func (o *order) post(e ledger.Event) {
	p := o.entry
	p.Event = e
	o.books.Post(p)
}

// answer gives the slot its answer, and books what was decided.
func (o *order) answer(decided ledger.Event, text []byte) {
	switch o.post(decided); decided {
	case ledger.PlanServed:
		o.end = ledger.FrontServed
	case ledger.PlanRefusedQuota:
		o.end = ledger.FrontRefused
	default:
		o.end = ledger.FrontFailed
	}
	o.slot.Fill(text)
}

// The errors of planners that have taken a command. With any other they have not: they could not use it.
var takenErrors = []string{"ERR failed", "ERR no exact answer in time"}

// ended books the answer of a planner and passes it on as it came.
func (o *order) ended(v resp.Value) {
	fetch, decided := ledger.FetchOK, ledger.PlanServed
	if v.Kind == resp.Failure {
		if word, _, _ := strings.Cut(string(v.Text), " "); word == "BUSY" {
			decided = ledger.PlanRefusedQuota
		} else if decided = ledger.PlanFailedGaveUp; !slices.Contains(takenErrors, string(v.Text)) {
			fetch, decided = ledger.FetchRejected, ledger.PlanFailedGaveUp
		}
	}
	o.post(fetch)
	o.post(ledger.PlanHeard)
	o.answer(decided, resp.AppendValue(nil, v))
}

// link is a connection to a planner, with the slots that wait for its answers, in order.
type link struct {
	conn net.Conn
	addr string
	log  *zap.Logger
	lost atomic.Bool

	books Books

	mu    sync.Mutex
	slots []waiting
}

type waiting struct {
	order *order
	timer *time.Timer
}

// send writes a command; false means that its last byte was not written.
func (l *link) send(command []byte, o *order, left time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost.Load() {
		return false
	}
	o.post(ledger.PlanSent)
	o.post(ledger.FetchBegan)
	l.conn.SetWriteDeadline(time.Now().Add(writeTime))
	if n, _ := l.conn.Write(command); n < len(command) {
		l.lost.Store(true)
		l.conn.Close()
		o.post(ledger.FetchNotSent)
		o.post(ledger.PlanHeard)
		return false
	}
	l.slots = append(l.slots, waiting{o, time.AfterFunc(max(0, left), func() {
		// The planner says nothing, though it would have, in time: it is cut off or hangs.
		l.conn.Close()
	})})
	return true
}

// read gives the answers to the slots in order, and fails those that are left when the planner is lost.
func (l *link) read() {
	r := resp.NewReader(l.conn, readBuffer)
	for {
		v, err := r.ReadValue()
		l.mu.Lock()
		if err != nil || len(l.slots) == 0 {
			break
		}
		w := l.slots[0]
		l.slots = l.slots[1:]
		l.mu.Unlock()
		w.timer.Stop()
		w.order.ended(v)
	}
	l.lost.Store(true)
	left := l.slots
	l.slots = nil
	l.mu.Unlock()
	l.conn.Close()
	for _, w := range left {
		w.timer.Stop()
		w.order.post(ledger.FetchReset)
		w.order.post(ledger.PlanHeard)
		w.order.answer(ledger.PlanFailedGaveUp,
			resp.AppendFailure(nil, "ERR the planner was lost; the command may have been applied"))
	}
	if len(left) > 0 {
		l.log.Warn("a planner was lost with commands out", zap.String("planner", l.addr), zap.Int("commands", len(left)))
	}
}
