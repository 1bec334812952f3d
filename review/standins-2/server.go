//go:build review2

package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// arrival is a command that a server received.
type arrival struct {
	server int
	id     string
	args   string
	at     time.Time // when its last byte had come
}

// servers are booking servers that answer each command with a short reference to the booking, whatever the length of its body.
type servers struct {
	listeners []*standin.Listener
	service   func(id string) time.Duration                 // time until the answer
	onCommand func(server int, args []string, at time.Time) // called for each command; may be nil
	value     func(id string) string                        // value of the answer; nil for a short reference
	resets    func(id string) bool                          // whether the connection is reset then, once for each command

	mu       sync.Mutex
	arrivals []arrival
	attempts map[string]int // by id
}

// openServers starts n servers.
func (s *scene) openServers(n int, service func(id string) time.Duration) (*servers, error) {
	all := &servers{service: service, attempts: map[string]int{}}
	for i := range n {
		l, err := standin.Listen("", func(c net.Conn) { all.serve(i, c) })
		if err != nil {
			return nil, err
		}
		all.listeners = append(all.listeners, l)
		s.later(l.Close)
	}
	return all, nil
}

// serve answers the commands of a connection in their order.
func (all *servers) serve(number int, conn net.Conn) {
	for r := bufio.NewReader(conn); ; {
		args, err := standin.ReadCommand(r)
		if err != nil {
			return
		}
		if len(args) < 4 || args[0] != "SVC.QUERY" && args[0] != "SVC.SUBMIT" {
			fmt.Fprint(conn, "-SYNTAX\r\n")
			continue
		}
		at := time.Now()
		if all.onCommand != nil {
			all.onCommand(number, args, at)
		}
		all.mu.Lock()
		all.arrivals = append(all.arrivals, arrival{number, args[2], args[3], at})
		all.attempts[args[2]]++
		reset := all.resets != nil && all.resets(args[2]) && all.attempts[args[2]] == 1
		all.mu.Unlock()
		time.Sleep(all.service(args[2]))
		if reset {
			conn.(*net.TCPConn).SetLinger(0)
			return
		}
		value := "ok-" + args[2]
		if all.value != nil {
			value = all.value(args[2])
		}
		load := "queue=0,inflight=1,qps=5"
		if _, err := fmt.Fprintf(conn, "*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(value), value, len(load), load); err != nil {
			return
		}
	}
}

// seen returns the commands that came so far, in the order of their arrival.
func (all *servers) seen() []arrival {
	all.mu.Lock()
	defer all.mu.Unlock()
	return append([]arrival(nil), all.arrivals...)
}
