package standin

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// idleLoadReport is the load report in answers whose Step sets no Report.
const idleLoadReport = "queue=0,inflight=1,qps=1"

// Backends is a set of stand-in backends, each with its own address, that share one script and one record of commands. Its
// methods may be called from any goroutine, except that Close must not run concurrently with Stop or Restart.
type Backends struct {
	Nodes []*Listener // one listener per backend
	// OnCommand is called for each command once its Behaviour is chosen; the function that it returns is called after the answer.
	// It must be set before the first command arrives, and may be nil.
	OnCommand func(*Command) (answered func())

	mu             sync.Mutex // held while the script and OnCommand run
	script         Script
	commands       []Command // received commands in the order of arrival; empty unless recordCommands is true
	recordCommands bool
}

// NewBackends starts n backends that follow the script. If record is set, Commands returns the commands that they receive.
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

// WithLock calls f while neither the script nor OnCommand runs.
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

// Stop stops one backend as a crash of its process can do: open connections are reset and new ones are refused.
func (b *Backends) Stop(node int) {
	b.mu.Lock()
	l := b.Nodes[node]
	b.mu.Unlock()
	l.CloseWithReset()
}

// Restart starts a stopped backend at the same address. It returns an error if listening there fails.
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

// Close stops all backends.
func (b *Backends) Close() {
	for _, l := range b.Nodes {
		l.Close()
	}
}

// serve answers the commands of one connection in the order of their arrival.
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

// arrive calls the script for a command, records the command and calls OnCommand. The caller waits for the delay, answers the
// command and then calls answered.
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

// answer acts on a command as c.Behaviour says. It returns false if the connection has ended or must be closed.
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

// readUntilClosed discards the input until the gateway closes the connection.
func readUntilClosed(r *bufio.Reader) {
	for {
		if _, err := r.ReadByte(); err != nil {
			return
		}
	}
}
