package main_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"dewhitch/internal/standin"
	"dewhitch/internal/standin/zookeeper"
)

// manualBackends stands in for all backends: the recordings speak for them, one connection at a time.
type manualBackends struct {
	*standin.Listener
	conns chan net.Conn
}

// closeAtCleanup ends what a test started when that is over.
func closeAtCleanup[T interface{ Close() }](t *testing.T, standIn T, err error) T {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standIn.Close)
	return standIn
}

func newManualBackends(t *testing.T) *manualBackends {
	b := &manualBackends{conns: make(chan net.Conn, 1024)}
	l, err := standin.Listen("", func(c net.Conn) {
		b.conns <- c
		<-t.Context().Done() // whoever took it closes it
	})
	b.Listener = closeAtCleanup(t, l, err)
	return b
}

// serveAll has them answer every command from now on, each with its body, or its own id if it has none.
func (b *manualBackends) serveAll() {
	for c := range b.conns {
		go func() {
			for r := bufio.NewReader(c); ; {
				command, err := standin.ReadCommand(r)
				if err != nil {
					return
				}
				value := command[2]
				if len(command) > 4 {
					value = command[4]
				}
				fmt.Fprintf(c, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
			}
		}()
	}
}

func newCounter(t *testing.T) *standin.Counter {
	c, err := standin.NewCounter()
	return closeAtCleanup(t, c, err)
}

func newDiscovery(t *testing.T, members string, revision int) *standin.Discovery {
	d, err := standin.NewDiscovery(members, revision)
	return closeAtCleanup(t, d, err)
}

func newZookeeper(t *testing.T) *zookeeper.Server {
	z, err := zookeeper.New()
	return closeAtCleanup(t, z, err)
}
