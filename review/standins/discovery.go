package main

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// member is a server in the list of discovery.
type member struct {
	id, addr, phase string
	upSinceMS       int64
}

// discovery stands in for the agent at NODE_DISCOVERY: the whole list, and a watch that holds one JSON object a line and an empty
// line every 2 s.
type discovery struct {
	rec     *record
	l       net.Listener
	name    string
	mu      sync.Mutex
	rev     int64
	members []member
	changed chan struct{} // closed at the next change
	delay   time.Duration // from a call to its answer
	conns   map[net.Conn]bool
	told    map[string]time.Time // when a member's last change was written to a watch or an answer, by id
}

func newDiscovery(rec *record, name string, members []member) (*discovery, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &discovery{rec: rec, l: l, name: name, rev: 41, members: members, changed: make(chan struct{}), conns: map[net.Conn]bool{},
		told: map[string]time.Time{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			d.mu.Lock()
			d.conns[c] = true
			d.mu.Unlock()
			go d.serve(c)
		}
	}()
	return d, nil
}

func (d *discovery) addr() string { return d.l.Addr().String() }

// setDelay sets how long each call waits for its answer.
func (d *discovery) setDelay(delay time.Duration) {
	d.mu.Lock()
	d.delay = delay
	d.mu.Unlock()
}

// setPhase changes the phase of a server and tells the watches.
func (d *discovery) setPhase(id, phase string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for i := range d.members {
		if d.members[i].id == id {
			d.members[i].phase = phase
		}
	}
	d.rev++
	d.rec.note("discovery %s: %s is %s from revision %d on", d.name, id, phase, d.rev)
	close(d.changed)
	d.changed = make(chan struct{})
}

// resetConns resets the open connections.
func (d *discovery) resetConns() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		c.(*net.TCPConn).SetLinger(0)
		c.Close()
		delete(d.conns, c)
	}
}

// leave does what an old address does after SIGHUP: it accepts nothing more, and closes open connections after 1.5 s.
func (d *discovery) leave() {
	d.l.Close()
	time.AfterFunc(1500*time.Millisecond, d.resetConns)
}

func (d *discovery) close() {
	d.l.Close()
	d.resetConns()
}

func memberJSON(m member) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":"hall-a","flavor":"std-3c","cell":1,"phase":%q,"size":1.0,"up_since_ms":%d}`,
		m.id, m.addr, m.phase, m.upSinceMS)
}

// list returns the whole list as JSON. Removed servers are only told among changes.
func (d *discovery) list() string {
	var all []string
	for _, m := range d.members {
		if m.phase != "removed" {
			all = append(all, memberJSON(m))
		}
	}
	return fmt.Sprintf(`{"revision":%d,"complete":true,"members":[%s]}`, d.rev, strings.Join(all, ","))
}

func (d *discovery) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	for {
		target, err := readHTTPRequest(r)
		if err != nil {
			return
		}
		d.mu.Lock()
		delay := d.delay
		d.mu.Unlock()
		d.rec.note("discovery %s: call %s", d.name, target)
		time.Sleep(delay)
		if !strings.Contains(target, "follow=1") {
			d.mu.Lock()
			body := d.list()
			d.mu.Unlock()
			if _, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body); err != nil {
				d.rec.note("discovery %s: the caller had gone before the answer", d.name)
				return
			}
			d.rec.note("discovery %s: answered with the whole list", d.name)
			continue
		}
		since := int64(-1)
		if _, v, ok := strings.Cut(target, "since="); ok {
			since, _ = strconv.ParseInt(v, 10, 64)
		}
		d.watch(c, since)
		return
	}
}

// watch tells the changes after a revision. For simplicity each message is the whole list, which the protocol allows for the first one;
// later ones are changes: all members with their present phase.
func (d *discovery) watch(c net.Conn, since int64) {
	if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	first := true
	for {
		d.mu.Lock()
		rev, changed := d.rev, d.changed
		line := ""
		if rev > since {
			if first {
				line = d.list()
			} else {
				var all []string
				for _, m := range d.members {
					all = append(all, memberJSON(m))
				}
				line = fmt.Sprintf(`{"revision":%d,"complete":false,"members":[%s]}`, rev, strings.Join(all, ","))
			}
			since = rev
		}
		d.mu.Unlock()
		line += "\n"
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(line), line); err != nil {
			return
		}
		if len(line) > 1 {
			d.rec.note("discovery %s: revision %d written to a watch", d.name, rev)
		}
		first = false
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
		}
	}
}

// readHTTPRequest reads a request without a body and returns its target.
func readHTTPRequest(r *bufio.Reader) (string, error) {
	line, err := r.ReadString('\n')
	if err != nil {
		return "", err
	}
	fields := strings.Fields(line)
	if len(fields) < 2 {
		return "", fmt.Errorf("not a request line: %q", line)
	}
	for {
		header, err := r.ReadString('\n')
		if err != nil {
			return "", err
		}
		if strings.TrimSpace(header) == "" {
			return fields[1], nil
		}
	}
}
