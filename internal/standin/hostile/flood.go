package hostile

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dewhitch/internal/standin"
)

// Flood is a kind of clients that make a process work as fast as it can. All read their answers, unless the name says otherwise.
type Flood struct {
	Name string
	// OccupiesServers tells that the requests take what the servers allow. Others may then be refused.
	OccupiesServers bool
	run             func(context.Context, *connection, *atomic.Int64) error
}

// Floods lists all kinds of floods. The first one is that of the operators' report.
var Floods = []Flood{
	{"ping", false, repeatedly("PING")},
	{"ping, answers unread", false, unread("PING")},
	{"unknown command", false, repeatedly("NOTHING", "x")},
	{"empty line", false, repeatedText("\r\n")},
	{"long unknown command", false, repeatedly("NOTHING", strings.Repeat("x", bodyBytes-100))},
	{"unknown class", false, flood(func(c *connection, _ uint64) []byte {
		return standin.AppendCommand(nil, "SVC.QUERY", customerID(c.number), "v10", c.deployment.arguments("novel", hostileDeadline))
	})},
	{"queries of one customer", false, flood(func(c *connection, n uint64) []byte {
		return c.deployment.query(c.number, c.floodID("v10", n))
	})},
	{"queries of new customers", false, flood(func(c *connection, n uint64) []byte {
		return c.deployment.query(c.number<<20+n, c.floodID("v10", n))
	})},
	{"queries with 1 ms left", false, queriesWithin(time.Millisecond)},
	{"queries with 10 ms left", false, queriesWithin(10 * time.Millisecond)},
	{"new connections", false, reconnect(nil)},
	{"new connections with a ping", false, reconnect(standin.AppendCommand(nil, "PING"))},
	{"new connections with an unknown command", false, reconnect(standin.AppendCommand(nil, "NOTHING"))},
}

// LimitsFloods lists kinds of floods of the front for limits.
var LimitsFloods = []Flood{
	{"queries of a limit", false, flood(func(c *connection, _ uint64) []byte {
		return standin.AppendCommand(nil, "LIMIT.GET", customerID(c.number), c.deployment.arguments(c.deployment.QueryClass, hostileDeadline))
	})},
	{"limits of new customers", false, flood(func(c *connection, n uint64) []byte {
		return standin.AppendCommand(nil, "LIMIT.GET", customerID(c.number<<20+n), c.deployment.arguments(c.deployment.QueryClass, hostileDeadline))
	})},
	{"long echoes", false, repeatedly("ECHO", strings.Repeat("x", bodyBytes-100))},
	{"lists of commands", false, repeatedly("COMMAND")},
}

// OperatorFlood returns the kind of floods of an operators' listener: requests for its metrics.
func OperatorFlood() Flood {
	return Flood{"metrics", false, repeatedText("GET /metrics HTTP/1.1\r\nHost: gateway\r\n\r\n")}
}

// AdminFlood returns the kind of floods of an operators' address: a call on each new connection.
func AdminFlood() Flood { return Flood{"calls", false, reconnect([]byte("telemetry\n"))} }

// ValueFlood returns the kind of floods of clients that ask for large values and read them at full speed.
func ValueFlood() Flood {
	return Flood{"large values", true, flood(func(c *connection, n uint64) []byte {
		return c.deployment.query(c.number, c.floodID(fmt.Sprintf("v%d", largeValueBytes), n))
	})}
}

// FloodNamed returns the kind of floods with a name. It returns false if there is none.
func FloodNamed(name string) (f Flood, found bool) {
	for _, f := range slices.Concat(Floods, LimitsFloods, []Flood{OperatorFlood(), AdminFlood(), ValueFlood()}) {
		if f.Name == name {
			return f, true
		}
	}
	return Flood{}, false
}

// NumberConnectionsFrom sets the number of the next connection. Processes whose clients must have different customers and ids begin with
// different numbers.
func NumberConnectionsFrom(first uint64) { connectionCount.Store(first) }

// RunFlood runs clients of a kind until the context ends, and returns the number of bytes that they read. Each one connects again as soon
// as it is cut off.
func RunFlood(ctx context.Context, d Deployment, f Flood, clients int) (bytesRead int64) {
	var running sync.WaitGroup
	var total atomic.Int64
	for range clients {
		running.Go(func() {
			for ctx.Err() == nil {
				floodConnection(ctx, d, f, &total)
			}
		})
	}
	running.Wait()
	return total.Load()
}

// floodConnection opens a connection and uses it until it fails or the context ends.
func floodConnection(ctx context.Context, d Deployment, f Flood, bytesRead *atomic.Int64) {
	dialer := net.Dialer{Timeout: connectTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", d.Addr)
	if err != nil {
		pause(ctx, time.Millisecond)
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	_ = f.run(ctx, &connection{conn.(*net.TCPConn), d, nil, connectionCount.Add(1)}, bytesRead)
}

// floodWriteBytes is the least number of bytes that a flooding client writes at once.
const floodWriteBytes = 32 << 10

// floodID returns an id that no other command of the process has.
func (c *connection) floodID(prefix string, n uint64) string {
	return prefix + "-" + customerID(c.number<<24+n)
}

// flood returns the run of clients that write commands as fast as they are read. next returns the command with a number.
func flood(next func(c *connection, n uint64) []byte) func(context.Context, *connection, *atomic.Int64) error {
	return func(ctx context.Context, c *connection, bytesRead *atomic.Int64) error {
		var reader sync.WaitGroup
		reader.Go(func() {
			n, _ := io.Copy(io.Discard, c)
			bytesRead.Add(n)
			c.Close()
		})
		defer reader.Wait()
		defer c.Close()
		n := uint64(0)
		for ctx.Err() == nil {
			var b []byte
			for len(b) < floodWriteBytes {
				n++
				b = append(b, next(c, n)...)
			}
			if _, err := c.Write(b); err != nil {
				return err
			}
		}
		return nil
	}
}

// queriesWithin returns the run of clients whose queries have little time left.
func queriesWithin(d time.Duration) func(context.Context, *connection, *atomic.Int64) error {
	return flood(func(c *connection, n uint64) []byte {
		return standin.AppendCommand(nil, "SVC.QUERY", customerID(c.number), c.floodID("v10", n),
			c.deployment.arguments(c.deployment.QueryClass, d))
	})
}

// repeatedly returns the run of clients that repeat a command.
func repeatedly(args ...string) func(context.Context, *connection, *atomic.Int64) error {
	return repeatedText(string(standin.AppendCommand(nil, args...)))
}

// repeatedText returns the run of clients that repeat a text.
func repeatedText(text string) func(context.Context, *connection, *atomic.Int64) error {
	b := bytes.Repeat([]byte(text), max(1, floodWriteBytes/len(text)))
	return flood(func(*connection, uint64) []byte { return b })
}

// unread returns the run of clients that repeat a command and read nothing.
func unread(args ...string) func(context.Context, *connection, *atomic.Int64) error {
	b := bytes.Repeat(standin.AppendCommand(nil, args...), pipelined)
	return func(ctx context.Context, c *connection, _ *atomic.Int64) error {
		for ctx.Err() == nil {
			if _, err := c.Write(b); err != nil {
				return err
			}
		}
		return nil
	}
}

// reconnect returns the run of clients that open a connection, send a text, wait for the first byte of an answer if there is one, and go.
func reconnect(text []byte) func(context.Context, *connection, *atomic.Int64) error {
	return func(_ context.Context, c *connection, bytesRead *atomic.Int64) error {
		if len(text) == 0 {
			return nil
		}
		if _, err := c.Write(text); err != nil {
			return err
		}
		n, err := c.Read(make([]byte, 1))
		bytesRead.Add(int64(n))
		return err
	}
}
