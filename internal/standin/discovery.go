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

// heartbeatInterval is the longest time between two lines of a watch. Without a change, the watch sends an empty line, by which its
// client knows that the connection still works.
const heartbeatInterval = time.Second

// Discovery is a stand-in for the discovery agent. It answers polls with the endpoint list and streams changes of the list to
// watches. Its methods may be called from any goroutine.
type Discovery struct {
	*Listener
	mu              sync.Mutex
	changed         *sync.Cond // signals a change of revision, or that a heartbeat is due
	revision        int
	members         string // endpoint list as a JSON array
	completeUpdates bool   // true if updates to watches are marked as the complete list
}

// NewDiscovery starts a discovery agent whose endpoint list, a JSON array, has the given revision.
func NewDiscovery(members string, revision int) (*Discovery, error) {
	d := &Discovery{revision: revision, members: members}
	d.changed = sync.NewCond(&d.mu)
	l, err := Listen("", d.serve)
	d.Listener = l
	return d, err
}

// Member returns the list entry of a backend in zone a that has started too long ago to be in slow start.
func Member(id, addr, phase string) string {
	return MemberIn("a", id, addr, phase, 0)
}

// MemberIn returns the list entry of a backend in the given zone. upSince is its start in ms of Unix time, or 0 if it has started
// too long ago to be in slow start.
func MemberIn(zone, id, addr, phase string, upSince int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"std-3c","cell":0,"phase":%q,"size":1,"up_since_ms":%d}`,
		id, addr, zone, phase, upSince)
}

// Members returns an endpoint list with the given entries.
func Members(members ...string) string { return "[" + strings.Join(members, ",") + "]" }

// SetCompleteUpdates sets whether updates to watches are marked as the complete list (true) or as only the changed members (false).
func (d *Discovery) SetCompleteUpdates(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.completeUpdates = on
}

// Set replaces the list and increments its revision.
func (d *Discovery) Set(members string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision++
	d.members = members
	d.changed.Broadcast()
}

// encode returns the list as it is sent. d.mu is held.
func (d *Discovery) encode(complete bool) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":%s}`, d.revision, complete, d.members)
}

// serve answers the polls of one connection, or its watch, which is the connection's last request.
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

// watch streams one line for each change after the revision in the client's request, and heartbeats, until the connection fails.
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
