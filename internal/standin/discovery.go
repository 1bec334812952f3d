package standin

import (
	"bufio"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatInterval is the longest time after which a watch writes an empty line, so that its client knows that it lives.
const heartbeatInterval = time.Second

// Discovery is a fake of the discovery agent: it answers polls with the endpoint list, and streams changes to watches. Its methods may
// be called from any goroutine.
type Discovery struct {
	*Listener
	mu              sync.Mutex
	changed         *sync.Cond
	revision        int
	members         string // JSON array
	completeUpdates bool   // a watch is sent the list as complete at each change
}

// NewDiscovery starts one whose list, a JSON array, has the given revision.
func NewDiscovery(members string, revision int) (*Discovery, error) {
	d := &Discovery{revision: revision, members: members}
	d.changed = sync.NewCond(&d.mu)
	l, err := Listen("", d.serve)
	d.Listener = l
	return d, err
}

// Member returns a backend of zone a, of an unknown start, for a list.
func Member(id, addr, phase string) string {
	return MemberIn("a", id, addr, phase, 0)
}

// MemberIn returns a backend for a list, with its zone and its start, Unix time in ms; 0: long ago.
func MemberIn(zone, id, addr, phase string, upSince int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"std-3c","cell":0,"phase":%q,"size":1,"up_since_ms":%d}`,
		id, addr, zone, phase, upSince)
}

// Members returns a list.
func Members(members ...string) string { return "[" + strings.Join(members, ",") + "]" }

// SetCompleteUpdates has the updates that watches are sent marked as the complete list (true), or as the changed members alone (false).
func (d *Discovery) SetCompleteUpdates(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.completeUpdates = on
}

// Set replaces the list.
func (d *Discovery) Set(members string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.members = members
	d.changed.Broadcast()
}

// encode returns the list as sent. d.mu is held.
func (d *Discovery) encode(complete bool) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":%s}`, d.revision, complete, d.members)
}

func (d *Discovery) serve(conn net.Conn) {
	for r := bufio.NewReader(conn); ; {
		target, err := readRequest(r)
		if err != nil {
			return
		}
		if target.Query().Get("follow") != "" {
			d.watch(conn, target)
			return
		}
		d.mu.Lock()
		list := d.encode(true)
		d.mu.Unlock()
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
}

// watch streams a line per change after the revision that the client names, and heartbeats, until the connection fails.
func (d *Discovery) watch(conn net.Conn, target *url.URL) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for since, _ := strconv.Atoi(target.Query().Get("since")); ; since = d.revision {
		heartbeat := time.AfterFunc(heartbeatInterval, d.changed.Broadcast)
		if since == d.revision {
			d.changed.Wait()
		}
		heartbeat.Stop()
		line := "\n"
		if since != d.revision {
			line = d.encode(d.completeUpdates) + "\n"
		}
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(line), line); err != nil {
			return
		}
	}
}
