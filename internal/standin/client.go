package standin

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Client is one client connection to a gateway. One goroutine may send while another one reads replies.
type Client struct {
	net.Conn
	R *bufio.Reader // buffers input of the connection, from which all replies are read
}

// Dial connects a client. The timeout applies only to the connect.
func Dial(addr string, timeout time.Duration) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return &Client{c, bufio.NewReader(c)}, nil
}

// Send sends commands, pipelined, in one write.
func (c *Client) Send(commands ...[]string) error {
	var b []byte
	for _, args := range commands {
		b = AppendCommand(b, args...)
	}
	_, err := c.Write(b)
	return err
}

// Reply reads the next reply.
func (c *Client) Reply() (Reply, error) { return ReadReply(c.R) }

// Reply is a decoded reply of a gateway or a backend.
type Reply struct {
	Kind  byte    // type byte: one of + - : $ *
	Text  string  // content of any reply but an array
	Null  bool    // true for a null bulk string or a null array
	Items []Reply // elements of an array
}

// ReadReply reads one reply. It returns an error if the connection fails or the reply violates the protocol.
func ReadReply(r *bufio.Reader) (reply Reply, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return reply, err
	}
	if !strings.HasSuffix(line, "\r\n") || len(line) < 3 {
		return reply, fmt.Errorf("standin: %q is not a reply line that ends in CRLF", line)
	}
	reply.Kind = line[0]
	reply.Text = line[1 : len(line)-2]
	switch reply.Kind {
	case '+', '-', ':':
		return reply, nil
	case '$', '*':
	default:
		return reply, fmt.Errorf("standin: %q does not begin with a type byte of a reply", line)
	}
	n, err := strconv.Atoi(reply.Text)
	if err != nil || n < -1 || n > maxArgBytes {
		return reply, fmt.Errorf("standin: %q has no valid length of a bulk string or array", line)
	}
	if n < 0 {
		reply.Null = true
		return reply, nil
	}
	if reply.Kind == '$' {
		reply.Text, err = readBulk(r, n)
		return reply, err
	}
	for range n {
		item, err := ReadReply(r)
		if err != nil {
			return reply, err
		}
		reply.Items = append(reply.Items, item)
	}
	return reply, nil
}

// ownHosts is the number of addresses that OwnAddr has returned.
var ownHosts atomic.Int32

// OwnAddr returns a loopback address for a process whose listen address is configured in advance. The host differs by calling
// process and by call, because a port that is free when it is chosen may be in use by the time that the process listens.
func OwnAddr() string {
	const hostsPerPort = 250
	pid := os.Getpid()
	n := ownHosts.Add(1) - 1
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid%64, pid/64%256, 1+n%hostsPerPort, 7379+n/hostsPerPort)
}
