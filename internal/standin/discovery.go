package standin

import (
	"bufio"
	"fmt"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Discovery stands in for the agent that has the list of backends.
type Discovery struct {
	*Listener
	mu       sync.Mutex
	changed  *sync.Cond
	revision int
	members  string
	whole    bool // a watch is told all of the list at each change
}

// NewDiscovery makes one whose list, a JSON array, has the given revision.
func NewDiscovery(members string, revision int) (*Discovery, error) {
	d := &Discovery{revision: revision, members: members}
	d.changed = sync.NewCond(&d.mu)
	l, err := Listen("", d.serve)
	d.Listener = l
	return d, err
}

// Member is one backend of a list.
func Member(id, addr, phase string) string {
	return MemberIn("a", id, addr, phase, 0)
}

// MemberIn is one backend of a list, with its zone and when it began, in Unix time in milliseconds; 0: long ago.
func MemberIn(zone, id, addr, phase string, upSince int64) string {
	return fmt.Sprintf(`{"id":%q,"host_port":%q,"locality":%q,"flavor":"std-3c","cell":0,"phase":%q,"size":1,"up_since_ms":%d}`,
		id, addr, zone, phase, upSince)
}

// Members is a list.
func Members(members ...string) string { return "[" + strings.Join(members, ",") + "]" }

// Whole has watches told all of the list at each change, from now on, or what changed alone.
func (d *Discovery) Whole(on bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.whole = on
}

// Set replaces the list.
func (d *Discovery) Set(members string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.revision, d.members = d.revision+1, members
	d.changed.Broadcast()
}

func (d *Discovery) text(complete bool) string {
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":%s}`, d.revision, complete, d.members)
}

func (d *Discovery) serve(conn net.Conn) {
	for r := bufio.NewReader(conn); ; {
		u, err := readRequest(r)
		if err != nil {
			return
		}
		d.mu.Lock()
		if u.Query().Get("follow") == "" {
			text := d.text(true)
			d.mu.Unlock()
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(text), text)
			continue
		}
		fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
		for since, _ := strconv.Atoi(u.Query().Get("since")); ; since = d.revision {
			beat := time.AfterFunc(time.Second, d.changed.Broadcast)
			if since == d.revision {
				d.changed.Wait()
			}
			beat.Stop()
			text := "\n" // nothing has changed
			if since != d.revision {
				text = d.text(d.whole) + "\n"
			}
			if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text); err != nil {
				d.mu.Unlock()
				return
			}
		}
	}
}
