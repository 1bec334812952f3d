package standin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// idleLoadReport is the load report of a step that names none.
const idleLoadReport = "queue=0,inflight=1,qps=1"

// Backends is a set of fake backends, each with an address of its own, with one script and one record of commands. Its methods may be
// called from any goroutine, except that Close may not run beside Up or Down.
type Backends struct {
	Nodes     []*Listener
	OnCommand func(*Command) (answered func()) // called for each command once its Deed is known, and answered after it; set before any comes

	mu             sync.Mutex // held while script and Watch run
	script         Script
	commands       []Command
	recordCommands bool
}

// NewBackends starts n backends that follow the script; with record, each command is recorded for Seen.
func NewBackends(n int, record bool, script Script) (*Backends, error) {
	b := &Backends{script: script, recordCommands: record}
	for i := range n {
		l, err := Listen("", func(c net.Conn) { b.serve(i, c) })
		if err != nil {
			b.Close()
			return nil, err
		}
		b.Nodes = append(b.Nodes, l)
	}
	return b, nil
}

// Script replaces the script.
func (b *Backends) Script(s Script) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.script = s
}

// WithLock calls f while neither the script nor Watch runs.
func (b *Backends) WithLock(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// Commands returns the recorded commands in the order of their arrival.
func (b *Backends) Commands() []Command {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Command(nil), b.commands...)
}

// Stop stops one backend as the death of its process does: open connections are reset, new ones are refused.
func (b *Backends) Stop(node int) {
	b.mu.Lock()
	l := b.Nodes[node]
	b.mu.Unlock()
	l.Die()
}

// Restart starts a stopped backend at the same address. The error is of listening there.
func (b *Backends) Restart(node int) error {
	l, err := Listen(b.Nodes[node].Addr(), func(c net.Conn) { b.serve(node, c) })
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Nodes[node] = l
	return nil
}

// Close stops all of them.
func (b *Backends) Close() {
	for _, l := range b.Nodes {
		l.Close()
	}
}

// serve answers the commands of one connection in their order.
func (b *Backends) serve(node int, conn net.Conn) {
	for r := bufio.NewReader(conn); ; {
		args, err := ReadCommand(r)
		if err != nil {
			return
		}
		c, ok := newCommand(args)
		if !ok {
			fmt.Fprint(conn, "-SYNTAX\r\n")
			continue
		}
		c.Backend = node
		c.At = time.Now()
		c.RemoteAddr = conn.RemoteAddr().String()
		delay, answered := b.arrive(&c)
		time.Sleep(delay)
		open := b.answer(conn, r, &c)
		answered()
		if !open {
			return
		}
	}
}

// arrive asks the script what to do with a command, and records it. The caller calls answered once the command is answered.
func (b *Backends) arrive(c *Command) (delay time.Duration, answered func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	step := b.script(c)
	c.Behaviour = step.Behaviour
	c.loadReport = step.Report
	if b.recordCommands {
		b.commands = append(b.commands, *c)
	}
	if b.OnCommand == nil {
		return step.Delay, func() {}
	}
	return step.Delay, b.OnCommand(c)
}

// answer does what c.Did says; false: the connection is over.
func (b *Backends) answer(conn net.Conn, r *bufio.Reader, c *Command) bool {
	value := c.value()
	report := c.loadReport
	if report == "" {
		report = idleLoadReport
	}
	reply := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(value), value, len(report), report)
	switch c.Behaviour {
	case Serve:
	case Fail:
		reply = "-ERR failed " + report + "\r\n"
	case Busy:
		reply = "-BUSY " + report + "\r\n"
	case Reset:
		conn.(*net.TCPConn).SetLinger(0)
		return false
	case Stall:
		readUntilClosed(r)
		return false
	case Corrupt:
		reply = "*3\r\n$zwölf\r\n" + strings.Repeat("~", 24)
	case TrailingBytes:
		reply += "+noise\r\n"
	case Truncate:
		reply = reply[:strings.Index(reply, "\r\n"+value)+2+len(value)/2]
	}
	_, err := conn.Write([]byte(reply))
	return err == nil && c.Behaviour != Truncate
}

// readUntilClosed discards what comes until the gateway ends the connection.
func readUntilClosed(r *bufio.Reader) {
	for {
		if _, err := r.ReadByte(); err != nil {
			return
		}
	}
}
