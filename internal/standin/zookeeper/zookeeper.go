// Package zookeeper stands in for ZooKeeper: sessions, ephemeral nodes and watches, by its published wire format
// (jute: big-endian integers, and strings and buffers with their length in front). It speaks what the client library
// asks of it, and lets sessions expire when it is told to.
package zookeeper

import (
	"bytes"
	"encoding/binary"
	"io"
	"net"
	"path"
	"sort"
	"sync"

	"dewhitch/internal/standin"
)

// Server is one server that holds all of the store.
type Server struct {
	*standin.Listener
	mu       sync.Mutex
	zxid     int64
	nodes    map[string]*znode
	sessions map[int64]*zsession
}

type znode struct {
	data  []byte
	owner int64 // session of an ephemeral node
	made  int64
}

type zsession struct {
	id      int64
	conn    net.Conn
	watches map[string]bool // "data PATH" or "children PATH"
}

// The operations, errors and events of the protocol that the client uses.
const (
	opCreate, opDelete, opExists, opGetData, opPing, opChildren2, opSetWatches, opClose = 1, 2, 3, 4, 11, 12, 101, -11

	errNoNode, errNodeExists            = -101, -110
	eventCreated, eventDeleted, eventOf = 1, 2, 4 // eventOf: the children have changed
)

// New makes a server with nothing but the root.
func New() (*Server, error) {
	z := &Server{nodes: map[string]*znode{"/": {}}, sessions: map[int64]*zsession{}}
	l, err := standin.Listen("", z.serve)
	z.Listener = l
	return z, err
}

// Expire ends a session as the real one does after its silence: its nodes go, and it can't be resumed.
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

// Owner is the session that holds a node, or 0.
func (z *Server) Owner(name string) int64 {
	z.mu.Lock()
	defer z.mu.Unlock()
	if n := z.nodes[name]; n != nil {
		return n.owner
	}
	return 0
}

func (z *Server) remove(name string) {
	delete(z.nodes, name)
	z.zxid++
	z.notify("data "+name, eventDeleted, name)
	z.notify("children "+path.Dir(name), eventOf, path.Dir(name))
}

func (z *Server) notify(watch string, event int32, name string) {
	for _, s := range z.sessions {
		if s.watches[watch] {
			delete(s.watches, watch)
			send(s.conn, int32(-1), int64(-1), int32(0), event, int32(3), name)
		}
	}
}

// send frames and writes values.
func send(w io.Writer, values ...any) {
	var b bytes.Buffer
	for _, v := range values {
		switch v := v.(type) {
		case string:
			binary.Write(&b, binary.BigEndian, int32(len(v)))
			b.WriteString(v)
		case []byte:
			binary.Write(&b, binary.BigEndian, int32(len(v)))
			b.Write(v)
		default:
			binary.Write(&b, binary.BigEndian, v)
		}
	}
	w.Write(append(binary.BigEndian.AppendUint32(nil, uint32(b.Len())), b.Bytes()...))
}

// frame is a request that is being read.
type frame struct{ *bytes.Reader }

func readFrame(r io.Reader) (frame, error) {
	var size int32
	if err := binary.Read(r, binary.BigEndian, &size); err != nil {
		return frame{}, err
	}
	b := make([]byte, size)
	_, err := io.ReadFull(r, b)
	return frame{bytes.NewReader(b)}, err
}

func (f frame) int() (v int32) { binary.Read(f, binary.BigEndian, &v); return }

func (f frame) text() string {
	b := make([]byte, max(0, f.int()))
	io.ReadFull(f, b)
	return string(b)
}

func (z *Server) serve(conn net.Conn) {
	hello, err := readFrame(conn)
	if err != nil {
		return
	}
	var seen, id int64
	hello.int() // protocol version
	binary.Read(hello, binary.BigEndian, &seen)
	timeout := hello.int()
	binary.Read(hello, binary.BigEndian, &id)
	z.mu.Lock()
	s := z.sessions[id]
	if s == nil && id != 0 { // expired
		z.mu.Unlock()
		send(conn, int32(0), int32(0), int64(0), make([]byte, 16))
		return
	}
	if s == nil {
		z.zxid++
		s = &zsession{id: z.zxid<<8 + 1, watches: map[string]bool{}}
		z.sessions[s.id] = s
	}
	s.conn = conn
	send(conn, int32(0), timeout, s.id, make([]byte, 16))
	z.mu.Unlock()
	for {
		f, err := readFrame(conn)
		if err != nil {
			return
		}
		xid, op := f.int(), f.int()
		z.mu.Lock()
		code, answer := z.do(s, op, f)
		send(conn, append([]any{xid, z.zxid, code}, answer...)...)
		z.mu.Unlock()
		if op == opClose {
			z.Expire(s.id)
			return
		}
	}
}

func (z *Server) do(s *zsession, op int32, f frame) (code int32, answer []any) {
	switch op {
	case opPing, opSetWatches, opClose:
		return 0, nil
	case opCreate:
		name, data := f.text(), f.text()
		for range f.int() { // access lists
			f.int()
			f.text()
			f.text()
		}
		ephemeral := f.int()&1 != 0
		if z.nodes[name] != nil {
			return errNodeExists, nil
		}
		if z.nodes[path.Dir(name)] == nil {
			return errNoNode, nil
		}
		z.zxid++
		n := &znode{data: []byte(data), made: z.zxid}
		if ephemeral {
			n.owner = s.id
		}
		z.nodes[name] = n
		z.notify("data "+name, eventCreated, name)
		z.notify("children "+path.Dir(name), eventOf, path.Dir(name))
		return 0, []any{name}
	}
	name := f.text()
	n := z.nodes[name]
	if n == nil {
		return errNoNode, nil
	}
	children := []string{}
	for child := range z.nodes {
		if child != "/" && path.Dir(child) == name {
			children = append(children, path.Base(child))
		}
	}
	sort.Strings(children)
	stat := []any{n.made, n.made, int64(0), int64(0), int32(0), int32(0), int32(0), n.owner, int32(len(n.data)),
		int32(len(children)), n.made}
	if op == opDelete {
		z.remove(name)
		return 0, nil
	}
	watch, _ := f.ReadByte()
	switch op {
	case opExists:
		s.watches["data "+name] = watch != 0
		return 0, stat
	case opGetData:
		s.watches["data "+name] = watch != 0 || s.watches["data "+name]
		return 0, append([]any{n.data}, stat...)
	case opChildren2:
		s.watches["children "+name] = watch != 0
		answer = []any{int32(len(children))}
		for _, c := range children {
			answer = append(answer, c)
		}
		return 0, append(answer, stat...)
	}
	return -6, nil // unimplemented
}
