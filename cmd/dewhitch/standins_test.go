package main_test

import (
	"bufio"
	"fmt"
	"net"
	"testing"

	"dewhitch/internal/standin"
	"dewhitch/internal/standin/zookeeper"
)

// manualBackends is a listener for all backends. The test, or serveAll, answers on each connection.
type manualBackends struct {
	*standin.Listener
	conns chan net.Conn // connections that the program has opened, in their order
}

// closeAtCleanup fails the test if err is set, and otherwise closes standIn at the end of the test.
func closeAtCleanup[T interface{ Close() }](t testing.TB, standIn T, err error) T {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(standIn.Close)
	return standIn
}

// newManualBackends starts a listener for backends. It answers nothing unless the test does, or calls serveAll.
func newManualBackends(t testing.TB) *manualBackends {
	b := &manualBackends{conns: make(chan net.Conn, 1024)}
	listener, err := standin.Listen("", func(conn net.Conn) {
		b.conns <- conn
		<-t.Context().Done() // the receiver of the connection closes it
	})
	b.Listener = closeAtCleanup(t, listener, err)
	return b
}

// serveAll answers every command on all connections, with its body, or with its id if it has no body.
func (b *manualBackends) serveAll() {
	for conn := range b.conns {
		go func() {
			for r := bufio.NewReader(conn); ; {
				command, err := standin.ReadCommand(r)
				if err != nil {
					return
				}
				value := command[2]
				if len(command) > 4 {
					value = command[4]
				}
				fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n", len(value), value)
			}
		}()
	}
}

func newCounter(t testing.TB) *standin.Counter {
	c, err := standin.NewCounter()
	return closeAtCleanup(t, c, err)
}

func newDiscovery(t testing.TB, members string, revision int) *standin.Discovery {
	d, err := standin.NewDiscovery(members, revision)
	return closeAtCleanup(t, d, err)
}

func newZookeeper(t testing.TB) *zookeeper.Server {
	z, err := zookeeper.New()
	return closeAtCleanup(t, z, err)
}
