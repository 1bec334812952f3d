package hostile

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"

	"dewhitch/internal/resp"
	"dewhitch/internal/standin"
)

// Server is a backend that answers as the id of a request tells it: an id that begins with "v" and a number gets a value of so many
// bytes, one that begins with "h" gets no answer, and one that begins with "e" gets an array with as many and as long items as a
// gateway reads. Any other id is its own value.
type Server struct{ *standin.Listener }

// NewServer starts a server at a free port of a loopback address.
func NewServer() (*Server, error) {
	l, err := standin.Listen("", serve)
	return &Server{l}, err
}

// filler is what long values consist of.
var filler = bytes.Repeat([]byte("x"), resp.MaxBulk)

// serve answers the commands of one connection.
func serve(conn net.Conn) {
	for r := bufio.NewReader(conn); ; {
		command, err := standin.ReadCommand(r)
		if err != nil || len(command) < 3 {
			return
		}
		if command[2][0] == 'h' {
			_, _ = r.Peek(1) // until the gateway closes the connection
			return
		}
		if writeAnswer(conn, command[2]) != nil {
			return
		}
	}
}

// writeAnswer writes the answer to a request.
func writeAnswer(conn net.Conn, id string) error {
	prefix, _, _ := strings.Cut(id, "-")
	switch n, err := strconv.Atoi(prefix[1:]); {
	case id[0] == 'e':
		return writeExcess(conn)
	case id[0] == 'v' && err == nil:
		return writeValue(conn, n)
	}
	_, err := fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(id), id)
	return err
}

// writeValue writes an answer with a value of n bytes.
func writeValue(conn net.Conn, n int) error {
	head := fmt.Appendf(nil, "*3\r\n$%d\r\n", n)
	if n <= bodyBytes/16 {
		_, err := conn.Write(append(append(head, filler[:n]...), "\r\n$-1\r\n$-1\r\n"...))
		return err
	}
	if _, err := conn.Write(head); err != nil {
		return err
	}
	for n > 0 {
		written, err := conn.Write(filler[:min(n, len(filler))])
		if err != nil {
			return err
		}
		n -= written
	}
	_, err := io.WriteString(conn, "\r\n$-1\r\n$-1\r\n")
	return err
}

// writeExcess writes an array with as many and as long items as a gateway could read.
func writeExcess(conn net.Conn) error {
	if _, err := conn.Write(resp.AppendArray(nil, resp.MaxArgs)); err != nil {
		return err
	}
	item := resp.AppendBulk(nil, filler)
	for range resp.MaxArgs {
		if _, err := conn.Write(item); err != nil {
			return err
		}
	}
	return nil
}
