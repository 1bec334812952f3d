package main

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// readCommand reads an array of bulk strings. It returns the time-relevant fact that the last byte has come by returning.
func readCommand(r *bufio.Reader) ([]string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	n, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "*")))
	if err != nil || line[0] != '*' || n < 1 || n > 64 {
		return nil, fmt.Errorf("not a command: %q", line)
	}
	args := make([]string, n)
	for i := range args {
		if args[i], err = readBulk(r); err != nil {
			return nil, err
		}
	}
	return args, nil
}

func readBulk(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	n, err := strconv.Atoi(strings.TrimSpace(strings.TrimPrefix(line, "$")))
	if err != nil || line[0] != '$' || n < 0 {
		return "", fmt.Errorf("not a bulk string: %q", line)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(r, b); err != nil {
		return "", err
	}
	return string(b[:n]), nil
}

func command(args ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(args))
	for _, a := range args {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(a), a)
	}
	return b.String()
}

// pairs parses NAME=VALUE[,NAME=VALUE]...
func pairs(list string) map[string]string {
	m := map[string]string{}
	for _, p := range strings.Split(list, ",") {
		k, v, _ := strings.Cut(p, "=")
		m[k] = v
	}
	return m
}
