package standin

import (
	"bufio"
	"fmt"
	"io"
	"net/url"
	"strings"
)

// Limits on one command or reply that a stand-in reads. A gateway stays below them.
const (
	maxArgs     = 1024
	maxArgBytes = 1 << 20
)

// ReadCommand reads a command, which is an array of bulk strings, and returns its arguments.
func ReadCommand(r *bufio.Reader) (args []string, err error) {
	n, err := readHeader(r, '*', maxArgs)
	if err != nil {
		return nil, err
	}
	for range n {
		size, err := readHeader(r, '$', maxArgBytes)
		if err != nil {
			return nil, err
		}
		arg, err := readBulk(r, size)
		if err != nil {
			return nil, err
		}
		args = append(args, arg)
	}
	return args, nil
}

// readBulk reads n bytes and the CRLF that follows them.
func readBulk(r *bufio.Reader, n int) (string, error) {
	b := make([]byte, n+2)
	if _, err := io.ReadFull(r, b); err != nil {
		return "", err
	}
	return string(b[:n]), nil
}

// readHeader reads a line that consists of the type byte kind and a number from 0 to limit.
func readHeader(r *bufio.Reader, kind byte, limit int) (n int, err error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return 0, err
	}
	if _, err := fmt.Sscanf(line[1:], "%d\r\n", &n); err != nil || line[0] != kind || n < 0 || n > limit {
		return 0, fmt.Errorf("standin: %q is not a header of type %c with a number from 0 to %d", line, kind, limit)
	}
	return n, nil
}

// AppendCommand appends a command as an array of bulk strings.
func AppendCommand(b []byte, args ...string) []byte {
	b = fmt.Appendf(b, "*%d\r\n", len(args))
	for _, arg := range args {
		b = fmt.Appendf(b, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return b
}

// parsePairs parses a list of name=value pairs, such as c=lookup,t=team.
func parsePairs(list string) map[string]string {
	m := map[string]string{}
	for pair := range strings.SplitSeq(list, ",") {
		name, value, _ := strings.Cut(pair, "=")
		m[name] = value
	}
	return m
}

// readRequest reads an HTTP request without a body and returns its target. It ignores the headers.
func readRequest(r *bufio.Reader) (*url.URL, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	for header := line; header != "\r\n"; {
		if header, err = r.ReadString('\n'); err != nil {
			return nil, err
		}
	}
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return nil, fmt.Errorf("standin: %q is not an HTTP request line", line)
	}
	return url.ParseRequestURI(fields[1])
}
