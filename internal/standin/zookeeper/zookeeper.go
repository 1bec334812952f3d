// Package zookeeper implements a stand-in for a ZooKeeper server, with sessions, ephemeral nodes and watches, over ZooKeeper's
// published wire format (jute: big-endian integers, and strings and buffers preceded by their length). It implements the
// operations that the client library uses. Sessions do not expire by time, only by Server.Expire.
package zookeeper

import (
	"encoding/binary"
	"net"
	"path"
	"sync"

	"dewhitch/internal/standin"
)

// Server is a single ZooKeeper server that holds its store in memory. Its methods may be called from any goroutine.
type Server struct {
	*standin.Listener
	mu       sync.Mutex
	zxid     int64              // transaction id of the latest change
	nodes    map[string]*znode  // keyed by path
	sessions map[int64]*session // keyed by session id
}

// znode is a node of the store.
type znode struct {
	data        []byte
	owner       int64 // session id of an ephemeral node's owner; 0 for a persistent node
	createdZxid int64
}

// session is an open session of a client.
type session struct {
	id      int64
	conn    net.Conn       // latest connection of the session
	watches map[watch]bool // a value of true means that the watch is set
}

// watch identifies changes of which a session is notified once.
type watch struct {
	kind watchKind
	path string
}

// watchKind is the kind of change that a watch reports.
type watchKind int

// The kinds of watches.
const (
	watchData     watchKind = iota // the node's creation or deletion
	watchChildren                  // the creation or deletion of a child
)

// New starts a server on a free loopback port. Its store contains only the root node.
func New() (*Server, error) {
	z := &Server{nodes: map[string]*znode{"/": {}}, sessions: map[int64]*session{}}
	l, err := standin.Listen("", z.serve)
	z.Listener = l
	return z, err
}

// Expire expires a session: it deletes the session's ephemeral nodes and closes its connection. The client can't resume the
// session.
func (z *Server) Expire(id int64) {
	z.mu.Lock()
	defer z.mu.Unlock()
	s := z.sessions[id]
	if s == nil {
		return
	}
	delete(z.sessions, id)
	for name, n := range z.nodes {
		if n.owner == id {
			z.remove(name)
		}
	}
	s.conn.Close()
}

// Owner returns the id of the session that owns an ephemeral node, or 0 if the node does not exist or is persistent.
func (z *Server) Owner(name string) int64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	if n := z.nodes[name]; n != nil {
		return n.owner
	}
	return 0
}

// remove deletes a node and notifies the watchers of the node and of its parent's children. z.mu is held.
func (z *Server) remove(name string) {
	delete(z.nodes, name)
	z.zxid++
	z.notify(watch{watchData, name}, eventDeleted)
	z.notify(watch{watchChildren, path.Dir(name)}, eventChildrenChanged)
}

// notify sends a watch event to each session that has set the watch, and removes the watch. z.mu is held.
func (z *Server) notify(w watch, event int32) {
	for _, s := range z.sessions {
		if s.watches[w] {
			delete(s.watches, w)
			writeFrame(s.conn, int32(watchEventXid), int64(-1), int32(0), event, int32(stateSyncConnected), w.path)
		}
	}
}

// serve answers the requests of one connection in the order of their arrival.
func (z *Server) serve(conn net.Conn) {
	s := z.handshake(conn)
	if s == nil {
		return
	}
	for {
		f, err := readFrame(conn)
		if err != nil {
			return
		}
		xid := f.readInt()
		op := f.readInt()
		z.mu.Lock()
		code, body := z.handle(s, op, f)
		writeFrame(conn, append([]any{xid, z.zxid, code}, body...)...)
		z.mu.Unlock()
		if op == opClose {
			z.Expire(s.id)
			return
		}
	}
}

// handshake reads the connect request, and opens or resumes a session. It returns nil if the session has expired or the
// connection failed.
func (z *Server) handshake(conn net.Conn) *session {
	f, err := readFrame(conn)
	if err != nil {
		return nil
	}
	var lastZxid, id int64
	f.readInt() // protocol version
	binary.Read(f, binary.BigEndian, &lastZxid)
	timeout := f.readInt() // session timeout in ms, granted as requested
	binary.Read(f, binary.BigEndian, &id)
	password := make([]byte, 16)
	z.mu.Lock()
	defer z.mu.Unlock()
	s := z.sessions[id]
	if s == nil && id != 0 {
		writeFrame(conn, int32(0), int32(0), int64(0), password) // session id 0 means that the session has expired
		return nil
	}
	if s == nil {
		z.zxid++
		s = &session{id: z.zxid<<8 + 1, watches: map[watch]bool{}}
		z.sessions[s.id] = s
	}
	s.conn = conn
	writeFrame(conn, int32(0), timeout, s.id, password)
	return s
}
