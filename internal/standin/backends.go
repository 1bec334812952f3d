package standin

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"time"
)

// Deed is what a backend does with a command.
type Deed int

// The deeds.
const (
	Serve  Deed = iota
	Fail        // -ERR failed: it may have run
	Busy        // turned away
	Reset       // it has run, and the connection breaks
	Stall       // it has run, and nothing is ever said; the connection stays open
	Spoil       // it has run, and the answer can't be read
	Extra       // served, with noise directly behind
	Broken      // it has run, and the connection ends within the value
	Deeds       // how many there are
)

var deedNames = [Deeds]string{"serve", "fail", "busy", "reset", "stall", "spoil", "extra", "broken"}

// String is the deed's name.
func (d Deed) String() string { return deedNames[d] }

// Step is one step of a backend's script.
type Step struct {
	Deed   Deed
	Delay  time.Duration // before it
	Report string        // the load that the answer tells; empty: a little
}

// Command is a command that came to a backend.
type Command struct {
	Name, Customer, ID, Class, Plan, Key, Body string
	Backend                                    int // of those that share a stand-in, by its listener
	At                                         time.Time
	Far                                        string // the connection that it came by, by its other end
	Did                                        Deed
	report                                     string
}

// Script decides what a backend does with a command; it is called for one command at a time, in the order in which
// they come.
type Script func(c *Command) Step

// Always does the same with each command.
func Always(s Step) Script { return func(*Command) Step { return s } }

// Weighted draws the deeds by weight, each with a delay drawn evenly up to its own, from a source of the given seed.
func Weighted(seed uint64, steps map[Deed]struct {
	Weight float64
	Delay  time.Duration
}) Script {
	rng, all := rand.New(rand.NewPCG(seed, 2)), 0.0
	for _, s := range steps {
		all += s.Weight
	}
	return func(*Command) Step {
		at := rng.Float64() * all
		for d := range Deeds { // in their order, so that a seed gives the same steps each time
			s, ok := steps[d]
			if !ok {
				continue
			}
			if at -= s.Weight; at < 0 {
				return Step{Deed: d, Delay: time.Duration(rng.Float64() * float64(s.Delay))}
			}
		}
		return Step{}
	}
}

// Backends stands in for the booking nodes, each at an address of its own, with one script and one record.
type Backends struct {
	Nodes  []*Listener
	Watch  func(*Command) (answered func()) // called as each comes, with what it does; set before any does
	mu     sync.Mutex
	script Script
	seen   []Command
	keep   bool
	ran    map[string]int // by id: how often a command ran
}

// NewBackends makes n backends that do as the script says; with keep, each command is kept for Seen.
func NewBackends(n int, keep bool, script Script) (*Backends, error) {
	b := &Backends{script: script, keep: keep, ran: map[string]int{}}
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

// Locked calls f while no script runs and nothing is watched.
func (b *Backends) Locked(f func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f()
}

// Seen returns what came, in the order in which it came.
func (b *Backends) Seen() []Command {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Command(nil), b.seen...)
}

// Down ends one of them as the death of its machine's process does: what is open is reset, and what comes is refused.
func (b *Backends) Down(node int) {
	b.mu.Lock()
	l := b.Nodes[node]
	b.mu.Unlock()
	l.Die()
}

// Up starts one that is down again, at the same address.
func (b *Backends) Up(node int) error {
	l, err := Listen(b.Nodes[node].Addr(), func(c net.Conn) { b.serve(node, c) })
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.Nodes[node] = l
	return nil
}

// Close ends all of them.
func (b *Backends) Close() {
	for _, l := range b.Nodes {
		l.Close()
	}
}

// Value is what a backend serves a command with: its body, or its id if it has none.
func (c *Command) Value() string {
	if c.Body != "" {
		return c.Body
	}
	return c.ID
}

func (b *Backends) serve(node int, conn net.Conn) {
	for r := bufio.NewReader(conn); ; {
		words, err := ReadCommand(r)
		if err != nil {
			return
		}
		if len(words) < 4 {
			fmt.Fprint(conn, "-SYNTAX\r\n")
			continue
		}
		args := Pairs(words[3])
		c := Command{Name: words[0], Customer: words[1], ID: words[2], Class: args["c"], Plan: args["t"], Key: args["k"],
			Backend: node, At: time.Now(), Far: conn.RemoteAddr().String()}
		if len(words) > 4 {
			c.Body = words[4]
		}
		b.mu.Lock()
		step := b.script(&c)
		if c.Did, c.report = step.Deed, step.Report; b.keep {
			b.seen = append(b.seen, c)
		}
		answered := func() {}
		if b.Watch != nil {
			answered = b.Watch(&c)
		}
		b.mu.Unlock()
		time.Sleep(step.Delay)
		goes := b.answer(conn, r, &c)
		answered()
		if !goes {
			return
		}
	}
}

// answer writes what the deed says; false: the connection is over.
func (b *Backends) answer(conn net.Conn, r *bufio.Reader, c *Command) bool {
	value, report := c.Value(), c.report
	if report == "" {
		report = idle
	}
	good := fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(value), value, len(report), report)
	switch c.Did {
	case Serve:
	case Fail:
		good = "-ERR failed " + report + "\r\n"
	case Busy:
		good = "-BUSY " + report + "\r\n"
	case Reset:
		conn.(*net.TCPConn).SetLinger(0)
		return false
	case Stall: // until the gateway ends the connection
		for {
			if _, err := r.ReadByte(); err != nil {
				return false
			}
		}
	case Spoil:
		good = "*3\r\n$zwölf\r\n" + strings.Repeat("~", 24)
	case Extra:
		good += "+noise\r\n"
	case Broken:
		good = good[:strings.Index(good, "\r\n"+value)+2+len(value)/2]
	}
	_, err := conn.Write([]byte(good))
	return err == nil && c.Did != Broken
}

const idle = "queue=0,inflight=1,qps=1"
