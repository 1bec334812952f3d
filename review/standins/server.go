package main

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// arrival is a command that has come whole to a server.
type arrival struct {
	at     time.Time
	server string
	id     string
	args   map[string]string
}

// server stands in for a booking server. It begins a command once its last byte has come and answers in the order of the commands.
type server struct {
	rec  *record
	id   string
	l    net.Listener
	work time.Duration

	mu       sync.Mutex
	conns    map[net.Conn]bool
	arrivals []arrival
	// handle, if not nil, answers a command itself; it returns false to end the connection.
	handle func(conn net.Conn, args []string) bool
}

func newServer(rec *record, id string, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{rec: rec, id: id, l: l, work: work, conns: map[net.Conn]bool{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go s.serve(c)
		}
	}()
	return s, nil
}

func (s *server) addr() string { return s.l.Addr().String() }

func (s *server) close() {
	s.l.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.Close()
	}
}

// runs returns the commands that have come whole so far.
func (s *server) runs() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

func (s *server) serve(c net.Conn) {
	defer func() {
		c.Close()
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
	}()
	r := bufio.NewReader(c)
	for {
		args, err := readCommand(r)
		if err != nil {
			return
		}
		if args[0] != "SVC.QUERY" && args[0] != "SVC.SUBMIT" || len(args) < 4 {
			fmt.Fprint(c, "-ERR\r\n")
			continue
		}
		a := arrival{at: time.Now(), server: s.id, id: args[2], args: pairs(args[3])}
		s.rec.note("server %s: runs %s %s", s.id, args[2], args[3])
		s.mu.Lock()
		s.arrivals = append(s.arrivals, a)
		handle := s.handle
		s.mu.Unlock()
		if handle != nil {
			if !handle(c, args) {
				return
			}
			continue
		}
		time.Sleep(s.work)
		if _, err := fmt.Fprint(c, answer("value of "+args[2])); err != nil {
			return
		}
	}
}

// answer returns a server's good answer: the value, no figures on use, and a load report.
func answer(value string) string {
	const load = "queue=0,inflight=1,qps=10"
	return fmt.Sprintf("*3\r\n$%d\r\n%s\r\n$-1\r\n$%d\r\n%s\r\n", len(value), value, len(load), load)
}
