// Package backend carries out fetches over pools of connections to the backends.
package backend

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strconv"
	"sync"
	"syscall"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/resp"
)

const (
	idleShare  = 0.8 // of the time after which a backend closes an idle connection: none is used after that
	readBuffer = 4 << 10
)

// Names are the settings' words that stand in a command.
type Names struct {
	Classes []string
	Safe    []bool // by class: safe to repeat
	Plans   []string
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

	mu      sync.Mutex
	idle    map[string][]*conn // by address, the last used at the end
	open    int
	fetches map[key]*fetch
}

type key struct {
	req     dw.RequestID
	attempt int
}

// conn is one connection; it carries one fetch at a time, as an answer would wait behind a slow one before it.
type conn struct {
	net.Conn
	addr  string
	r     *resp.Reader
	since time.Time // idle since
	raw   syscall.RawConn
}

type fetch struct {
	core.Fetch
	done   func(core.FetchEnd)
	ctx    context.Context // ends when the module gives the fetch up
	cancel context.CancelFunc
}

// New makes empty pools.
func New(n Names, l Limits) *Pools {
	return &Pools{names: n, limits: l, idle: map[string][]*conn{}, fetches: map[key]*fetch{}}
}

// Start implements core.Backends.
func (p *Pools) Start(f core.Fetch, done func(core.FetchEnd)) {
	ctx, cancel := context.WithDeadline(context.Background(), f.Until)
	k, x := key{f.Req, f.Attempt}, &fetch{Fetch: f, done: done, ctx: ctx, cancel: cancel}
	p.mu.Lock()
	p.fetches[k] = x
	p.mu.Unlock()
	go func() {
		end := p.run(x)
		cancel()
		p.mu.Lock()
		delete(p.fetches, k)
		p.mu.Unlock()
		done(end)
	}()
}

// Cancel implements core.Backends.
func (p *Pools) Cancel(req dw.RequestID, attempt int) {
	p.mu.Lock()
	f := p.fetches[key{req, attempt}]
	p.mu.Unlock()
	if f != nil {
		f.cancel()
	}
}

// Forget implements core.Backends.
func (p *Pools) Forget(addr string) {
	p.mu.Lock()
	gone := p.idle[addr]
	delete(p.idle, addr)
	p.mu.Unlock()
	for _, c := range gone {
		p.drop(c)
	}
}

// run carries out one fetch and tells how it ended.
func (p *Pools) run(f *fetch) core.FetchEnd {
	c, err := p.take(f.ctx, f.Backend.Addr)
	if err != nil {
		if errors.Is(f.ctx.Err(), context.Canceled) {
			return core.FetchEnd{Outcome: dw.OutcomeNotSent}
		}
		return core.FetchEnd{Outcome: dw.OutcomeConnectFailed}
	}
	// From here on the connection is the fetch's own: when time is up or the fetch is given up, its reads and
	// writes fail, and it is closed, which tells the backend.
	unhook := context.AfterFunc(f.ctx, func() { c.SetDeadline(time.Unix(1, 0)) })
	end, clean := p.exchange(f, c)
	if unhook() && clean {
		p.put(c)
	} else {
		p.drop(c)
	}
	return end
}

// exchange writes the command and reads the answer; clean means that the connection may be used again.
func (p *Pools) exchange(f *fetch, c *conn) (end core.FetchEnd, clean bool) {
	command := p.command(f)
	if n, _ := c.Write(command); n < len(command) {
		// Not written whole, whatever the reason: the backend never begins it.
		if errors.Is(f.ctx.Err(), context.Canceled) {
			return core.FetchEnd{Outcome: dw.OutcomeNotSent}, false
		}
		return core.FetchEnd{Outcome: dw.OutcomeConnectFailed}, false
	}
	v, err := c.r.ReadValue()
	switch {
	case err == nil:
		end = outcome(v)
		return end, c.r.Buffered() == 0
	case errors.Is(f.ctx.Err(), context.Canceled):
		end.Outcome = dw.OutcomeCancelled
	case f.ctx.Err() != nil:
		end.Outcome = dw.OutcomeTimeout
	case errors.Is(err, resp.ErrProtocol):
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
	if p.names.Safe[r.Class] {
		name = "SVC.QUERY"
	}
	if r.Message.Body != nil {
		words++
	}
	args := append(append([]byte("c="), p.names.Classes[r.Class]...), ",t="...)
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

// outcome reads a backend's answer.
func outcome(v resp.Value) (end core.FetchEnd) {
	end.Outcome = dw.OutcomeError // it came whole, so it may have run
	switch {
	case v.Kind == resp.Array && len(v.Items) > 0 && v.Items[0].Kind == resp.Bulk && !v.Items[0].Null:
		end.Outcome, end.Value = dw.OutcomeOK, v.Items[0].Text
		if len(v.Items) > 2 && !v.Items[2].Null {
			end.Load = load(v.Items[2].Text)
		}
	case v.Kind == resp.Failure:
		words := bytes.Fields(v.Text)
		if len(words) == 0 {
			break
		}
		if string(words[0]) == "BUSY" {
			end.Outcome = dw.OutcomeRejected
		}
		if last := words[len(words)-1]; len(words) > 1 {
			end.Load = load(last)
		}
	}
	return end
}

// load reads a load report, such as queue=2,inflight=7,qps=14.5; what is no number is passed over.
func load(text []byte) (l dw.Load) {
	for pair := range bytes.SplitSeq(text, []byte(",")) {
		name, value, _ := bytes.Cut(pair, []byte("="))
		if v, err := strconv.ParseFloat(string(value), 64); err == nil && v-v == 0 {
			l.Set(string(name), v)
		}
	}
	return l
}

var errFull = errors.New("backend: no descriptor is free")

// take finds an idle connection that is still good, or opens one within the descriptor budget.
func (p *Pools) take(ctx context.Context, addr string) (*conn, error) {
	for {
		p.mu.Lock()
		list := p.idle[addr]
		if len(list) == 0 {
			break
		}
		c := list[len(list)-1]
		p.idle[addr] = list[:len(list)-1]
		p.mu.Unlock()
		// The backend may have closed it meanwhile: a command written to it would be lost as a reset.
		if time.Since(c.since) < time.Duration(idleShare*float64(p.limits.Idle)) && c.quiet() {
			return c, nil
		}
		p.drop(c)
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
		p.drop(spare)
	}
	n, err := (&net.Dialer{Timeout: p.limits.Connect, KeepAlive: -1}).DialContext(ctx, "tcp", addr)
	if err != nil {
		p.closed()
		return nil, err
	}
	c := &conn{Conn: n, addr: addr, r: resp.NewReader(n, readBuffer)}
	if c.raw, err = n.(*net.TCPConn).SyscallConn(); err != nil {
		p.drop(c)
		return nil, err
	}
	return c, nil
}

// oldest takes the connection that has been idle longest out of its pool; the lock is held.
func (p *Pools) oldest() (old *conn) {
	for _, list := range p.idle {
		if len(list) > 0 && (old == nil || list[0].since.Before(old.since)) {
			old = list[0]
		}
	}
	if old != nil {
		p.idle[old.addr] = p.idle[old.addr][1:]
	}
	return old
}

// put gives a connection back to its pool.
func (p *Pools) put(c *conn) {
	c.since = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.addr] = append(p.idle[c.addr], c)
}

// drop closes a connection and gives its descriptor back.
func (p *Pools) drop(c *conn) {
	c.Close()
	p.closed()
}

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
