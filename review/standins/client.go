package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"time"
)

// client is a client's connection to a gateway.
type client struct {
	net.Conn
	r *bufio.Reader
}

func dialClient(addr string) (*client, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{c, bufio.NewReaderSize(c, 64<<10)}, nil
}

// reply reads one answer: its first line, and the bytes of a bulk string.
func (c *client) reply() (line, text string, err error) {
	line, err = c.r.ReadString('\n')
	if err != nil {
		return line, "", err
	}
	line = strings.TrimRight(line, "\r\n")
	if line == "" || line[0] != '$' {
		return line, "", nil
	}
	n, err := strconv.Atoi(line[1:])
	if err != nil || n < 0 {
		return line, "", err
	}
	b := make([]byte, n+2)
	if _, err = io.ReadFull(c.r, b); err != nil {
		return line, "", err
	}
	return line, string(b[:n]), nil
}

// do sends one command and waits for its answer.
func (c *client) do(timeout time.Duration, args ...string) (line, text string, err error) {
	c.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(c, command(args...)); err != nil {
		return "", "", err
	}
	return c.reply()
}

// adminCall makes one operators' call and returns the first line of its answer.
func adminCall(addr, call string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := fmt.Fprintf(c, "%s\n", call); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSpace(line), err
}
