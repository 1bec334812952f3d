// Package hostile has clients and a server that try to make a gateway use up its memory, its connections or its time. client.go holds
// the clients by kind, usual.go the clients that are owed answers meanwhile, and server.go the server that they share.
package hostile

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dewhitch/internal/resp"
	"dewhitch/internal/standin"
)

// Deployment names what the commands of the clients contain.
type Deployment struct {
	Addr        string // clients' address of the gateway, host:port
	QueryClass  string // class of SVC.QUERY
	SubmitClass string // class of SVC.SUBMIT, with an idempotency key
	Plan        string
}

// arguments returns the names and values of a command of a class.
func (d Deployment) arguments(class string, deadline time.Duration) string {
	return fmt.Sprintf("c=%s,t=%s,d=%d,spread=1,first=0", class, d.Plan, deadline.Milliseconds())
}

// query returns an encoded query. The id tells a Server what to answer.
func (d Deployment) query(customer uint64, id string) []byte {
	return standin.AppendCommand(nil, "SVC.QUERY", customerID(customer), id, d.arguments(d.QueryClass, hostileDeadline))
}

// submission returns an encoded submission with a body.
func (d Deployment) submission(customer uint64, id, body string) []byte {
	return standin.AppendCommand(nil, "SVC.SUBMIT", customerID(customer), id, d.arguments(d.SubmitClass, hostileDeadline)+",k="+id, body)
}

// customerID returns an identifier that the platform allows.
func customerID(n uint64) string { return fmt.Sprintf("%016x", n%(1<<33)) }

// Sizes and times of the clients.
const (
	hostileDeadline   = 10 * time.Second       // time that a client gives the gateway in its commands
	bodyBytes         = resp.MaxBulk           // body of a large submission
	largeValueBytes   = 1 << 20                // value that is longer than the gateway keeps in memory
	mediumValueBytes  = 60 << 10               // value that the gateway keeps in memory
	slowPieceBytes    = 400                    // what a slow client reads or writes at once
	slowPieceInterval = 20 * time.Millisecond  // time between two pieces
	smallReceive      = 4 << 10                // receive buffer of a client that reads slowly
	pipelined         = 100                    // small commands that a client writes at once
	pipelinedLarge    = 12                     // commands with large bodies that a client writes at once
	pipelinedValues   = 6                      // commands for values that the gateway keeps in memory
	stayTime          = 4 * time.Second        // time for which a client holds a connection on which it does nothing more
	reconnectInterval = 30 * time.Millisecond  // time before a client that was cut off comes again
	connectTimeout    = 500 * time.Millisecond // maximum time to establish a connection
)

// Kind is a kind of hostile client.
type Kind struct {
	Name      string
	Multitude bool // whether hundreds of these clients come at once; otherwise a single one does
	// OccupiesServers tells that the clients' requests, which are valid, take all connections to servers or make the servers look broken.
	// Others may then be refused.
	OccupiesServers bool
	run             func(context.Context, *connection) error
}

// Kinds lists all kinds of hostile clients.
var Kinds = []Kind{
	{"slow writers", true, false, writeSlowly},
	{"half a large command", true, false, stopWithinLargeCommand},
	{"many short fields", true, false, sendManyFields},
	{"slow readers of large values", true, false, readLargeValuesSlowly},
	{"unread answers", true, false, leaveAnswersUnread},
	{"bodies in a pipeline", true, false, pipelineBodies},
	{"bodies that servers hold", true, true, holdBodies},
	{"excessive answers", true, true, askForExcessiveAnswers},
	{"unknown class, again and again", true, false, repeatUnknownClass},
	{"no command", true, false, sendNothing},
	{"half a command and gone", true, false, sendHalfAndLeave},
	{"unreadable", true, false, sendNoise},
	{"new customers at full speed", false, false, sendNewCustomers},
	{"unsound at full speed", false, false, sendUnsoundAtFullSpeed},
	{"small requests at full speed", false, false, sendSmallAtFullSpeed},
}

// connection is one connection of a hostile client.
type connection struct {
	*net.TCPConn
	deployment Deployment
	rng        *rand.Rand
	number     uint64 // number of the connection in the process
}

var connectionCount atomic.Uint64

// id returns an id that no other command has. The prefix tells a Server what to answer.
func (c *connection) id(prefix string) string {
	return fmt.Sprintf("%s-%x-%x", prefix, c.number, c.rng.Uint32())
}

// Run runs clients of one kind until the context ends. Each one connects again when it is cut off.
func Run(ctx context.Context, d Deployment, kind Kind, clients int, seed uint64) {
	var running sync.WaitGroup
	for n := range clients {
		running.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(n)))
			for ctx.Err() == nil {
				runConnection(ctx, d, kind, rng)
				pause(ctx, reconnectInterval)
			}
		})
	}
	running.Wait()
}

// runConnection opens a connection and uses it until it fails or the context ends.
func runConnection(ctx context.Context, d Deployment, kind Kind, rng *rand.Rand) {
	dialer := net.Dialer{Timeout: connectTimeout, Control: func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, smallReceive)
		})
	}}
	conn, err := dialer.DialContext(ctx, "tcp", d.Addr)
	if err != nil {
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })()
	_ = kind.run(ctx, &connection{conn.(*net.TCPConn), d, rng, connectionCount.Add(1)})
}

// pause waits for a time or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// stay holds a connection on which the client does nothing more, until the gateway closes it.
func (c *connection) stay() error {
	c.SetReadDeadline(time.Now().Add(stayTime))
	_, err := io.Copy(io.Discard, c)
	return err
}

// writePieces writes b in small pieces with pauses between them.
func (c *connection) writePieces(ctx context.Context, b []byte) error {
	for len(b) > 0 && ctx.Err() == nil {
		n := min(slowPieceBytes, len(b))
		if _, err := c.Write(b[:n]); err != nil {
			return err
		}
		b = b[n:]
		pause(ctx, slowPieceInterval)
	}
	return ctx.Err()
}

// writeSlowly writes a large command in pieces, the first half of it at once.
func writeSlowly(ctx context.Context, c *connection) error {
	command := c.deployment.submission(c.number, c.id("v10"), strings.Repeat("x", bodyBytes))
	half := len(command) / 2
	if _, err := c.Write(command[:half]); err != nil {
		return err
	}
	return c.writePieces(ctx, command[half:])
}

// stopWithinLargeCommand writes a large command but for its end.
func stopWithinLargeCommand(_ context.Context, c *connection) error {
	command := c.deployment.submission(c.number, c.id("v10"), strings.Repeat("x", bodyBytes))
	if _, err := c.Write(command[:len(command)-100]); err != nil {
		return err
	}
	return c.stay()
}

// sendManyFields writes a command whose list of names and values has very many short entries, and whose other fields are long.
func sendManyFields(_ context.Context, c *connection) error {
	fields := c.deployment.arguments(c.deployment.QueryClass, hostileDeadline) + strings.Repeat(",a=1", bodyBytes/4-64)
	for range 4 {
		b := standin.AppendCommand(nil, "SVC.QUERY", customerID(c.number), c.id("v10"), fields)
		b = append(b, standin.AppendCommand(nil, strings.Split(strings.Repeat("x ", resp.MaxArgs-1)+strings.Repeat("y", bodyBytes/2), " ")...)...)
		if _, err := c.Write(b); err != nil {
			return err
		}
	}
	return c.stay()
}

// readLargeValuesSlowly asks for a value that the gateway streams, and reads it slowly.
func readLargeValuesSlowly(ctx context.Context, c *connection) error {
	if _, err := c.Write(c.deployment.query(c.number, c.id(fmt.Sprintf("v%d", largeValueBytes)))); err != nil {
		return err
	}
	for buf := make([]byte, slowPieceBytes); ctx.Err() == nil; pause(ctx, slowPieceInterval) {
		if _, err := c.Read(buf); err != nil {
			return err
		}
	}
	return nil
}

// leaveAnswersUnread asks for many values that the gateway keeps in memory, and reads none of them.
func leaveAnswersUnread(ctx context.Context, c *connection) error {
	var b []byte
	for range pipelinedValues {
		b = append(b, c.deployment.query(c.number, c.id(fmt.Sprintf("v%d", mediumValueBytes)))...)
	}
	if _, err := c.Write(b); err != nil {
		return err
	}
	pause(ctx, stayTime)
	return nil
}

// pipelineBodies writes many large submissions at once.
func pipelineBodies(_ context.Context, c *connection) error { return c.submitBodies("v10") }

// holdBodies writes many large submissions at once, which the servers do not answer.
func holdBodies(_ context.Context, c *connection) error { return c.submitBodies("h") }

func (c *connection) submitBodies(idPrefix string) error {
	body := strings.Repeat("x", bodyBytes)
	for range pipelinedLarge {
		if _, err := c.Write(c.deployment.submission(c.number, c.id(idPrefix), body)); err != nil {
			return err
		}
	}
	return c.stay()
}

// askForExcessiveAnswers has the server answer with far more than a value.
func askForExcessiveAnswers(_ context.Context, c *connection) error {
	for range 8 {
		if _, err := c.Write(c.deployment.query(c.number, c.id("e"))); err != nil {
			return err
		}
	}
	return c.stay()
}

// repeatUnknownClass asks for an unknown class again as soon as it is turned away.
func repeatUnknownClass(ctx context.Context, c *connection) error {
	buf := make([]byte, slowPieceBytes)
	command := standin.AppendCommand(nil, "SVC.QUERY", customerID(c.number), c.id("v10"), c.deployment.arguments("novel", hostileDeadline))
	for ctx.Err() == nil {
		if _, err := c.Write(command); err != nil {
			return err
		}
		if _, err := c.Read(buf); err != nil {
			return err
		}
	}
	return nil
}

// sendNothing holds a connection.
func sendNothing(_ context.Context, c *connection) error { return c.stay() }

// sendHalfAndLeave writes half a command and closes the connection with a reset.
func sendHalfAndLeave(_ context.Context, c *connection) error {
	c.SetLinger(0)
	command := c.deployment.submission(c.number, c.id("v10"), strings.Repeat("x", bodyBytes))
	_, err := c.Write(command[:len(command)/2])
	return err
}

// sendNoise writes what is no command, without end.
func sendNoise(ctx context.Context, c *connection) error {
	noise := make([]byte, bodyBytes)
	for i := range noise {
		noise[i] = byte(c.rng.Uint32())
	}
	for ctx.Err() == nil {
		if _, err := c.Write(noise); err != nil {
			return err
		}
	}
	return nil
}

// writeAtFullSpeed writes commands as fast as the gateway reads them, and discards the answers.
func (c *connection) writeAtFullSpeed(ctx context.Context, next func() []byte) error {
	go io.Copy(io.Discard, c)
	for ctx.Err() == nil {
		var b []byte
		for range pipelined {
			b = append(b, next()...)
		}
		if _, err := c.Write(b); err != nil {
			return err
		}
	}
	return nil
}

// sendNewCustomers sends small queries at full speed, each of a customer that never came before.
func sendNewCustomers(ctx context.Context, c *connection) error {
	customer := c.rng.Uint64()
	return c.writeAtFullSpeed(ctx, func() []byte {
		customer++
		return c.deployment.query(customer, c.id("v10"))
	})
}

// sendUnsoundAtFullSpeed sends commands that can be read but not carried out.
func sendUnsoundAtFullSpeed(ctx context.Context, c *connection) error {
	return c.writeAtFullSpeed(ctx, func() []byte {
		return standin.AppendCommand(nil, "SVC.QUERY", customerID(c.rng.Uint64()), c.id("v10"),
			c.deployment.arguments("novel", hostileDeadline))
	})
}

// sendSmallAtFullSpeed sends small queries of one customer at full speed.
func sendSmallAtFullSpeed(ctx context.Context, c *connection) error {
	return c.writeAtFullSpeed(ctx, func() []byte { return c.deployment.query(c.number, c.id("v10")) })
}
