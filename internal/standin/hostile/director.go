package hostile

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"

	"dewhitch/internal/standin"
)

// Director is a discovery agent that writes changes of the list to its watches without a pause. The servers that it changes answer
// nobody; the others stay as they are.
type Director struct {
	*standin.Listener
	usual    []string // members that do not change
	changing int      // number of servers that change
	revision atomic.Int64
}

// NewDirector starts a director whose list has the usual members and a number of servers that change.
func NewDirector(usual []string, changing int) (*Director, error) {
	d := &Director{usual: usual, changing: changing}
	l, err := standin.Listen("", d.serve)
	d.Listener = l
	return d, err
}

// Revision returns the revision of the change that was written last.
func (d *Director) Revision() int64 { return d.revision.Load() }

// list returns the list or a change of it, with a revision of its own. The phase is that of the servers that change.
func (d *Director) list(complete bool, members []string, phase string) string {
	members = append([]string(nil), members...)
	for i := range d.changing {
		members = append(members, standin.Member(fmt.Sprintf("s-%08x", 1000+i), "127.0.0.1:1", phase))
	}
	return fmt.Sprintf(`{"revision":%d,"complete":%v,"members":%s}`, d.revision.Add(1), complete, standin.Members(members...))
}

// serve answers polls, and writes to a watch without end.
func (d *Director) serve(conn net.Conn) {
	for r := bufio.NewReader(conn); ; {
		watched := false
		for {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			watched = watched || strings.Contains(line, "follow=1")
			if line == "\r\n" {
				break
			}
		}
		if watched {
			d.flood(conn)
			return
		}
		list := d.list(true, d.usual, "draining")
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
	}
}

// flood writes changes until the connection fails.
func (d *Director) flood(conn net.Conn) {
	if _, err := fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	phases := []string{"draining", "removed"}
	for n := 0; ; n++ {
		line := d.list(false, nil, phases[n%len(phases)]) + "\n"
		if _, err := fmt.Fprintf(conn, "%x\r\n%s\r\n", len(line), line); err != nil {
			return
		}
	}
}
