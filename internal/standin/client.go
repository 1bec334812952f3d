package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// Reply is an answer as a client reads it.
type Reply struct {
	Kind  byte   // + - : $ *
	Text  string // of all but arrays
	Null  bool
	Items []Reply
}

// ReadReply reads one answer.
func ReadReply(r *bufio.Reader) (v Reply, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return v, err
	}
	if !strings.HasSuffix(line, "\r\n") || len(line) < 3 {
		return v, fmt.Errorf("standin: %q is no line of an answer", line)
	}
	v.Kind, v.Text = line[0], line[1:len(line)-2]
	switch v.Kind {
	case '+', '-', ':':
		return v, nil
	case '$', '*':
	default:
		return v, fmt.Errorf("standin: %q is no answer", line)
	}
	n, err := strconv.Atoi(v.Text)
	if err != nil || n < -1 || n > maxWord {
		return v, fmt.Errorf("standin: %q has no length", line)
	}
	if v.Null = n < 0; v.Null {
		return v, nil
	}
	if v.Kind == '$' {
		b := make([]byte, n+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return v, err
		}
		v.Text = string(b[:n])
		return v, nil
	}
	for range n {
		item, err := ReadReply(r)
		if err != nil {
			return v, err
		}
		v.Items = append(v.Items, item)
	}
	return v, nil
}

// Client is one client session.
type Client struct {
	net.Conn
	R *bufio.Reader
}

// Dial opens a client session.
func Dial(addr string, patience time.Duration) (*Client, error) {
	c, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return nil, err
	}
	return &Client{c, bufio.NewReader(c)}, nil
}

// Send writes commands, one behind another.
func (c *Client) Send(commands ...[]string) error {
	var b []byte
	for _, words := range commands {
		b = AppendCommand(b, words...)
	}
	_, err := c.Write(b)
	return err
}

// Reply reads the next answer.
func (c *Client) Reply() (Reply, error) { return ReadReply(c.R) }

var hosts atomic.Int32

// OwnAddr is an address that nobody else uses: a program is told where to listen, and a port that was free a moment ago
// may not be. So each address is of a loopback host of its own, by process and number.
func OwnAddr() string {
	const each = 250 // hosts; then they begin again with another port
	pid, n := os.Getpid(), hosts.Add(1)-1
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+pid%64, pid/64%256, 1+n%each, 7379+n/each)
}
