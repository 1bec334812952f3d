// Package backend carries out fetches over pools of connections to the backends.
package backend

import (
	"bytes"
	"container/list"
	"context"
	"errors"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"syscall"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/ledger"
	"dewhitch/internal/resp"
	"dewhitch/internal/sockets"
)

const (
	idleShare  = 0.8 // of the time after which a backend closes an idle connection: none is used after that
	readBuffer = 4 << 10
	sweepEvery = time.Second            // connections that are idle for too long are closed so often
	rest       = 20 * time.Millisecond  // before a connection is used again: what comes behind an answer, some ms late, shows by then
	wholeTime  = 250 * time.Millisecond // from the first byte of an answer to its last: a backend writes it at once
)

// Names are the settings' words that stand in a command.
type Names struct {
	Plans []string // classes are named by each req, as its client named them
}

// Limits bound the pools.
type Limits struct {
	Conns   int           // open or being opened, to all backends together
	Idle    time.Duration // a backend closes a connection that was idle for so long
	Connect time.Duration
}

// Pools owns every connection to the backends. A connection is given back in put or in drop, nowhere else.
type Pools struct {
	names  Names
	limits Limits
	books  Books

	// Dispatched is told the class of each fetch whose command was written whole, if set before the first fetch.
	Dispatched func(class string)
	// Log is told, at debug level, of each attempt that begins, if set before the first fetch; nil: nothing is logged.
	Log *zap.Logger
	// Allowed tells whether new work may go to a backend now, if set before the first fetch; nil: to each.
	Allowed func(core.Backend) bool

	now  func() time.Time
	dial func(ctx context.Context, addr string, by time.Time) (net.Conn, error)

	mu      sync.Mutex
	pools   map[core.Backend]*pool
	open    int
	fetches map[key]*fetch
	idle    *list.List // of *conn, over all pools, the longest idle first
}

// pool has the connections to one backend. It guards against a mix-up: an address may come back under a new id, and
// what was learnt of, or is connected to, the backend that has gone is not for the new one.
type pool struct {
	core.Backend
	idle []*conn             // the last used at the end
	out  map[*fetch]struct{} // fetches that have not ended
	gone bool                // nothing is kept for another fetch
}

type key struct {
	req     dw.RequestID
	attempt int
}

// conn is one connection; it carries one fetch at a time, as an answer would wait behind a slow one before it.
type conn struct {
	*net.TCPConn
	pool  *pool
	r     *resp.Reader
	since time.Time     // idle since
	place *list.Element // among all that are idle
	raw   syscall.RawConn
}

// fetch is one attempt, on its way from waiting to begun or to withdrawn: all that would have it not sent, and what sends
// it, meet in Pools.mu.
type fetch struct {
	core.Fetch
	pool   *pool
	state  state
	began  func(core.Stream)
	done   func(core.FetchEnd)
	entry  ledger.Posting  // of its end; its event is None once that is posted
	ctx    context.Context // ends when the module gives the fetch up
	cancel context.CancelFunc
}

// state is how far a fetch has come; only waiting is ever left.
type state int

const (
	waiting   state = iota // for a connection: nothing is written
	begun                  // its command is being written, or was
	withdrawn              // nothing was written, nor will be
)

// Books are what the pools post to.
type Books interface{ Post(ledger.Posting) }

// New makes empty pools.
func New(n Names, l Limits, b Books) *Pools {
	return &Pools{names: n, limits: l, books: b, pools: map[core.Backend]*pool{}, fetches: map[key]*fetch{}, idle: list.New(),
		now: time.Now, dial: func(ctx context.Context, addr string, by time.Time) (net.Conn, error) {
			return (&net.Dialer{Timeout: l.Connect, Deadline: by, KeepAlive: -1}).DialContext(ctx, "tcp", addr)
		}}
}

// Start implements core.Backends.
func (p *Pools) Start(f core.Fetch, began func(core.Stream), done func(core.FetchEnd)) {
	ctx, cancel := context.WithDeadline(context.Background(), f.Until)
	k, x := key{f.Req, f.Attempt}, &fetch{Fetch: f, began: began, done: done, ctx: ctx, cancel: cancel}
	p.mu.Lock()
	p.fetches[k] = x
	if x.pool = p.pools[f.Backend]; x.pool == nil {
		x.pool = &pool{Backend: f.Backend, out: map[*fetch]struct{}{}}
		p.pools[f.Backend] = x.pool
	}
	x.pool.gone = false // it is on the list, or nothing would be sent
	x.pool.out[x] = struct{}{}
	p.mu.Unlock()
	x.entry = ledger.Posting{Event: ledger.FetchBegan, Key: f.Source.Row, Ref: f.Source.Ref}
	p.books.Post(x.entry)
	go func() {
		end := p.run(x)
		p.book(x, end.Outcome)
		cancel()
		p.mu.Lock()
		delete(p.fetches, k)
		delete(x.pool.out, x)
		p.tidy(x.pool)
		p.mu.Unlock()
		done(end)
	}()
}

// book posts how a fetch ended, once.
func (p *Pools) book(f *fetch, o dw.Outcome) {
	if f.entry.Event != ledger.None {
		f.entry.Event = ends[o]
		p.books.Post(f.entry)
		f.entry.Event = ledger.None
	}
}

var ends = [dw.Outcomes]ledger.Event{dw.OutcomeOK: ledger.FetchOK, dw.OutcomeError: ledger.FetchError,
	dw.OutcomeRejected: ledger.FetchRejected, dw.OutcomeTimeout: ledger.FetchTimeout,
	dw.OutcomeConnectFailed: ledger.FetchConnectFailed, dw.OutcomeReset: ledger.FetchReset,
	dw.OutcomeCancelled: ledger.FetchCancelled, dw.OutcomeNotSent: ledger.FetchNotSent}

// tidy forgets a pool that nothing needs; the lock is held.
func (p *Pools) tidy(l *pool) {
	if len(l.out) == 0 && len(l.idle) == 0 && p.pools[l.Backend] == l {
		delete(p.pools, l.Backend)
	}
}

// Run closes connections that are idle for too long, until the context ends: a backend closes them too, and what it
// has closed still takes a descriptor here.
func (p *Pools) Run(ctx context.Context) error {
	tick := time.NewTicker(sweepEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-tick.C:
			p.sweep(now.Add(-p.idleTime()))
		}
	}
}

// sweep closes what has been idle since before then.
func (p *Pools) sweep(then time.Time) {
	var old []*conn
	p.mu.Lock()
	for e := p.idle.Front(); e != nil && e.Value.(*conn).since.Before(then); e = p.idle.Front() {
		old = append(old, p.unrest(e.Value.(*conn)))
	}
	p.mu.Unlock()
	for _, c := range old {
		p.retire(c)
	}
}

func (p *Pools) idleTime() time.Duration {
	return time.Duration(idleShare * float64(p.limits.Idle))
}

// Cancel implements core.Backends.
func (p *Pools) Cancel(req dw.RequestID, attempt int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.fetches[key{req, attempt}]; f != nil {
		f.end()
	}
}

// Retract implements core.Backends.
func (p *Pools) Retract(req dw.RequestID, attempt int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f := p.fetches[key{req, attempt}]; f != nil && f.state == waiting {
		f.end()
	}
}

// end gives a fetch up: one that waits is never sent. The lock is held.
func (f *fetch) end() {
	if f.state == waiting {
		f.state = withdrawn
	}
	f.cancel()
}

// begin tells whether a fetch may be written, from now on. Danger: a connection may come up long after the fetch was
// asked for: when its client has left, when its backend drains, or when a repeat is one no longer. And the news of the first two
// may still wait for who asked for the fetch.
func (p *Pools) begin(f *fetch) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case f.state != waiting || f.ctx.Err() != nil, !f.Begin.IsZero() && !p.now().Before(f.Begin):
		return errLate
	case f.Source.Left():
		f.state = withdrawn
		return errLeft
	case p.Allowed != nil && !p.Allowed(f.Backend):
		f.state = withdrawn
		return errForbidden
	}
	f.state = begun
	p.logBegun(f)
	return nil
}

// logBegun logs the moment before the first byte of a command is written.
func (p *Pools) logBegun(f *fetch) {
	if p.Log == nil {
		return
	}
	if e := p.Log.Check(zap.DebugLevel, "an attempt begins"); e != nil {
		e.Write(zap.String("request", f.Source.Message.Name), zap.Int("attempt", f.Attempt), zap.String("address", f.Backend.Addr))
	}
}

// Withdraw implements core.Backends.
func (p *Pools) Withdraw(b core.Backend) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.withdraw(b)
}

func (p *Pools) withdraw(b core.Backend) {
	l := p.pools[b]
	if l == nil {
		return
	}
	for f := range l.out {
		if f.state == waiting {
			f.end()
		}
	}
}

// Forget implements core.Backends.
func (p *Pools) Forget(b core.Backend) {
	p.mu.Lock()
	var idle []*conn
	p.withdraw(b)
	if l := p.pools[b]; l != nil {
		l.gone = true
		for len(l.idle) > 0 {
			idle = append(idle, p.unrest(l.idle[0]))
		}
		p.tidy(l)
	}
	p.mu.Unlock()
	for _, c := range idle {
		p.retire(c)
	}
}

// run carries out one fetch and tells how it ended.
func (p *Pools) run(f *fetch) core.FetchEnd {
	c, err := p.take(f)
	if err == nil {
		if err = p.begin(f); err != nil {
			p.put(c) // it is good, and new
		}
	}
	if err != nil {
		// No fault of the backend's; blamed, every backend would be avoided for what this machine lacks.
		ours := errors.Is(err, errFull) || errors.Is(err, errLeft) || errors.Is(err, errForbidden) || sockets.DialClass(err) == sockets.Shortage
		if ours || errors.Is(f.ctx.Err(), context.Canceled) {
			return core.FetchEnd{Outcome: dw.OutcomeNotSent}
		}
		return core.FetchEnd{Outcome: dw.OutcomeConnectFailed}
	}
	// From here on the connection is the fetch's own: when time is up or the fetch is given up, its reads and
	// writes fail, and it is closed, which tells the backend.
	unhook := context.AfterFunc(f.ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	end, clean := p.exchange(f, c, unhook)
	if (unhook() || !end.First.IsZero()) && clean {
		p.put(c)
	} else {
		p.drop(c)
	}
	return end
}

// exchange writes the command and reads the answer; clean means that the connection may be used again. A value that is
// streamed is no longer the fetch's to end: unhook takes its time and its cancelling off the connection.
func (p *Pools) exchange(f *fetch, c *conn, unhook func() bool) (end core.FetchEnd, clean bool) {
	command := p.command(f)
	if n, _ := c.Write(command); n < len(command) {
		// Not written whole, whatever the reason: the backend never begins it.
		if errors.Is(f.ctx.Err(), context.Canceled) {
			return core.FetchEnd{Outcome: dw.OutcomeNotSent}, false
		}
		return core.FetchEnd{Outcome: dw.OutcomeConnectFailed}, false
	}
	if p.Dispatched != nil {
		p.Dispatched(f.Source.Named)
	}
	// An answer that begins and is not whole soon is spoilt, though the connection may stay open for good.
	_, err := c.r.Peek()
	if err == nil {
		c.SetReadDeadline(time.Now().Add(wholeTime))
		if f.ctx.Err() != nil { // the hook may have run before
			c.SetReadDeadline(time.Unix(1, 0))
		}
	}
	var v resp.Value
	large := 0
	if err == nil {
		if v, large, err = c.r.ReadAnswer(); err == nil && large > 0 && v.Len == parts {
			if unhook() {
				return p.stream(f, c, v, large)
			}
			err = os.ErrDeadlineExceeded // its time ran out before its value began
		}
	}
	end, whole := outcome(v, err == nil)
	switch {
	case err == nil || end.Outcome == dw.OutcomeOK:
		return end, whole && c.r.Buffered() == 0
	case errors.Is(f.ctx.Err(), context.Canceled):
		end.Outcome = dw.OutcomeCancelled
	case f.ctx.Err() != nil:
		end.Outcome = dw.OutcomeTimeout
	case errors.Is(err, resp.ErrProtocol) || errors.Is(err, os.ErrDeadlineExceeded):
		end.Outcome = dw.OutcomeError
	default:
		end.Outcome = dw.OutcomeReset
	}
	return end, false
}

// command words a fetch as the client worded its req, but for the time that is left.
func (p *Pools) command(f *fetch) []byte {
	r := f.Source
	name, words := "SVC.SUBMIT", 4
	if r.Query {
		name = "SVC.QUERY"
	}
	if r.Message.Body != nil {
		words++
	}
	args := append(append([]byte("c="), r.Named...), ",t="...)
	args = append(append(args, p.names.Plans[r.Plan]...), ",d="...)
	args = strconv.AppendInt(args, max(1, time.Until(f.Until).Milliseconds()), 10)
	if r.Message.Key != "" {
		args = append(append(args, ",k="...), r.Message.Key...)
	}
	if r.Repeat {
		args = append(args, ",r=1"...)
	}
	args = strconv.AppendFloat(append(args, ",units="...), r.Units, 'f', -1, 64)
	args = strconv.AppendInt(append(args, ",spread="...), int64(r.Spread), 10)
	args = strconv.AppendInt(append(args, ",first="...), int64(r.First), 10)
	b := make([]byte, 0, 128+len(args)+len(r.Message.Body))
	b = resp.AppendBulk(resp.AppendArray(b, words), name)
	b = resp.AppendBulk(b, CustomerText(r.Customer))
	b = resp.AppendBulk(resp.AppendBulk(b, r.Message.Name), args)
	if r.Message.Body != nil {
		b = resp.AppendBulk(b, r.Message.Body)
	}
	return b
}

// CustomerText is a customer as commands have it.
func CustomerText(id dw.CustomerID) string {
	s := strconv.FormatUint(uint64(id), 16)
	return "0000000000000000"[len(s):] + s
}

// parts is how many an answer has: the value, the figures on use, the load report.
const parts = 3

// outcome reads a backend's answer, or as much of it as could be read. It is whole if it is one that a backend gives:
// with any other the connection is of no further use, as nobody knows where the next answer begins.
func outcome(v resp.Value, read bool) (end core.FetchEnd, whole bool) {
	end.Outcome = dw.OutcomeError // it may have run
	switch {
	case v.Kind == resp.Array && v.Len == parts && len(v.Items) > 0:
		// What can't be read behind the value takes nothing from it.
		if v.Items[0].Kind != resp.Bulk || v.Items[0].Null {
			return end, false
		}
		end.Outcome, end.Value = dw.OutcomeOK, v.Items[0].Text
		if len(v.Items) == parts {
			end.Load = load(v.Items[2].Text)
		}
		return end, read
	case v.Kind == resp.Failure && read:
		words := bytes.Fields(v.Text)
		if len(words) == 0 {
			return end, false
		}
		if whole = string(words[0]) == "ERR"; string(words[0]) == "BUSY" {
			end.Outcome, whole = dw.OutcomeRejected, true
		}
		if last := words[len(words)-1]; len(words) > 1 {
			end.Load = load(last)
		}
	}
	return end, whole
}

// load reads a load report, such as queue=2,inflight=7,qps=14.5; what is no number is passed over.
func load(text []byte) (l dw.Load) {
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		if v, err := strconv.ParseFloat(string(value), 64); err == nil && v >= 0 && v-v == 0 {
			l.Set(string(name), v)
		}
	}
	return l
}

// shortageWait is the time between two dials while this machine lacks something.
const shortageWait = 5 * time.Millisecond

// connect dials a fetch's backend. What this machine lacks it may have in a moment, so that a dial is tried again, for as long
// as a connection may take to come up; nothing was sent by any.
func (p *Pools) connect(f *fetch) (net.Conn, error) {
	for until := p.now().Add(p.limits.Connect); ; {
		c, err := p.dial(f.ctx, f.Backend.Addr, f.Begin)
		if sockets.DialClass(err) != sockets.Shortage || !p.now().Before(until) {
			return c, err
		}
		select {
		case <-time.After(shortageWait):
		case <-f.ctx.Done():
			return nil, err
		}
	}
}

var (
	errFull = errors.New("backend: no descriptor is free")
	errLate = errors.New("backend: the connection came up too late")
	errLeft = errors.New("backend: the client has gone")
	// errForbidden says that a backend drains or has gone by news that whoever asked for the fetch had not heard.
	errForbidden = errors.New("backend: nothing new may go there")
)

// take finds an idle connection that is still good, or opens one within the descriptor budget.
func (p *Pools) take(f *fetch) (*conn, error) {
	l := f.pool
	for {
		now := p.now()
		p.mu.Lock()
		c := p.rested(l, now)
		if c == nil {
			break
		}
		p.mu.Unlock()
		// The backend may have closed it meanwhile: a command written to it would be lost as a reset. And what has
		// come on it since its last answer is no answer to the next command.
		if now.Sub(c.since) < p.idleTime() && c.quiet() {
			return c, nil
		}
		p.retire(c)
	}
	var spare *conn
	if p.open >= p.limits.Conns { // the longest idle of another backend makes room
		if spare = p.oldest(); spare == nil {
			p.mu.Unlock()
			return nil, errFull
		}
	}
	p.open++
	p.mu.Unlock()
	if spare != nil {
		p.retire(spare)
	}
	n, err := p.connect(f)
	if err != nil {
		p.closed()
		return nil, err
	}
	c := &conn{TCPConn: n.(*net.TCPConn), pool: l, r: resp.NewReader(n, readBuffer)}
	if err = c.resetOnClose(); err == nil {
		c.raw, err = c.SyscallConn()
	}
	if err != nil {
		p.drop(c)
		return nil, err
	}
	return c, nil
}

// rested takes the last used connection of a pool that has rested; the lock is held.
func (p *Pools) rested(l *pool, now time.Time) *conn {
	for _, c := range slices.Backward(l.idle) {
		if now.Sub(c.since) >= rest {
			return p.unrest(c)
		}
	}
	return nil
}

// unrest takes an idle connection out of its pool; the lock is held.
func (p *Pools) unrest(c *conn) *conn {
	l := c.pool
	at := slices.Index(l.idle, c)
	l.idle = slices.Delete(l.idle, at, at+1)
	p.idle.Remove(c.place)
	p.tidy(l)
	return c
}

// oldest takes the connection that has been idle longest out of its pool; the lock is held.
func (p *Pools) oldest() *conn {
	if e := p.idle.Front(); e != nil {
		return p.unrest(e.Value.(*conn))
	}
	return nil
}

// put gives a connection back to its pool, if that still has a backend.
func (p *Pools) put(c *conn) {
	c.SetDeadline(time.Time{}) // of the fetch that is over
	c.since = p.now()
	p.mu.Lock()
	kept := !c.pool.gone
	if kept {
		c.pool.idle = append(c.pool.idle, c)
		c.place = p.idle.PushBack(c)
	}
	p.mu.Unlock()
	if !kept {
		p.retire(c)
	}
}

// drop closes a connection with a reset and gives its descriptor back.
func (p *Pools) drop(c *conn) {
	c.Close()
	p.closed()
}

// retire closes a connection that is at rest, as everything written on it was answered, and gives its descriptor back.
func (p *Pools) retire(c *conn) {
	c.SetLinger(-1)
	p.drop(c)
}

// resetOnClose has a close of the connection, or the end of this process, discard what the kernel has not delivered yet, and reset
// the connection. Otherwise the kernel goes on sending a command after its attempt was given up: behind a partition or a server
// that is stuck it would run late, for a client that has its answer or has gone, or as a repeat that nobody remembers.
func (c *conn) resetOnClose() error { return c.SetLinger(0) }

func (p *Pools) closed() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// quiet tells that nothing has come on an idle connection, its end included.
func (c *conn) quiet() bool {
	ok := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ok = errors.Is(err, syscall.EAGAIN)
		return true
	})
	return err == nil && ok
}
