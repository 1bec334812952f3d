// Package forward is the thin forwarder: it takes client sessions in and passes each command on to a planner of
// its customer's set. It decides nothing on quotas.
package forward

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/front"
	"dewhitch/internal/front/platform"
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
	gateways int
	log      *zap.Logger
	links    map[string]*link
}

// New makes the forwarding of one session.
func New(p *Planners, gateways int, log *zap.Logger) *Commands {
	return &Commands{planners: p, gateways: gateways, log: log, links: map[string]*link{}}
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
		var r core.Req
		if err = platform.Route(cmd[at], &r); err == nil {
			c.pass(came, cmd, customer, &r, s)
			return
		}
	}
	s.Reject(err.Error())
}

// pass writes a command to the first planner of the set that takes it whole. A planner that has not been sent the
// last byte has applied nothing, and another may be asked; after that nothing is sent again.
func (c *Commands) pass(came time.Time, cmd resp.Command, customer dewhitch.CustomerID, r *core.Req, s *front.Slot) {
	b := resp.AppendArray(nil, len(cmd))
	for _, word := range cmd {
		b = resp.AppendBulk(b, word)
	}
	for _, addr := range c.planners.Of(customer, r.Spread, r.First, c.gateways) {
		l := c.links[addr]
		if l == nil || l.lost.Load() {
			conn, err := net.DialTimeout("tcp", addr, dialTime)
			if err != nil {
				c.log.Warn("a planner can't be reached", zap.String("planner", addr), zap.Error(err))
				continue
			}
			l = &link{conn: conn, log: c.log, addr: addr}
			c.links[addr] = l
			go l.read()
		}
		if l.send(b, s, time.Until(came.Add(r.Wait+grace))) {
			return
		}
	}
	s.Fill(resp.AppendFailure(nil, "ERR no planner of this customer's set can be reached"))
}

// link is a connection to a planner, with the slots that wait for its answers, in order.
type link struct {
	conn net.Conn
	addr string
	log  *zap.Logger
	lost atomic.Bool

	mu    sync.Mutex
	slots []waiting
}

type waiting struct {
	slot  *front.Slot
	timer *time.Timer
}

// send writes a command; false means that its last byte was not written.
func (l *link) send(command []byte, s *front.Slot, left time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost.Load() {
		return false
	}
	l.conn.SetWriteDeadline(time.Now().Add(writeTime))
	if n, _ := l.conn.Write(command); n < len(command) {
		l.lost.Store(true)
		l.conn.Close()
		return false
	}
	l.slots = append(l.slots, waiting{s, time.AfterFunc(max(0, left), func() {
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
		w.slot.Fill(resp.AppendValue(nil, v))
	}
	l.lost.Store(true)
	left := l.slots
	l.slots = nil
	l.mu.Unlock()
	l.conn.Close()
	for _, w := range left {
		w.timer.Stop()
		w.slot.Fill(resp.AppendFailure(nil, "ERR the planner was lost; the command may have been applied"))
	}
	if len(left) > 0 {
		l.log.Warn("a planner was lost with commands out", zap.String("planner", l.addr), zap.Int("commands", len(left)))
	}
}
