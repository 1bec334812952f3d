package zookeeper

import (
	"path"
	"sort"
)

// handle executes one request and returns the error code and the body of the response. z.mu is held.
func (z *Server) handle(s *session, op int32, f requestFrame) (code int32, body []any) {
	switch op {
	case opPing, opSetWatches, opClose: // serve closes the session after it has answered opClose
		return 0, nil
	case opCreate:
		return z.create(s, f)
	}
	name := f.readString()
	n := z.nodes[name]
	if n == nil {
		return errNoNode, nil
	}
	if op == opDelete {
		z.remove(name)
		return 0, nil
	}
	watchFlag, _ := f.ReadByte()
	watched := watchFlag != 0
	data := watch{watchData, name}
	children := z.children(name)
	switch op {
	case opExists:
		s.watches[data] = watched
		return 0, stat(n, len(children))
	case opGetData:
		s.watches[data] = watched || s.watches[data]
		return 0, append([]any{n.data}, stat(n, len(children))...)
	case opChildren2:
		s.watches[watch{watchChildren, name}] = watched
		body = []any{int32(len(children))}
		for _, child := range children {
			body = append(body, child)
		}
		return 0, append(body, stat(n, len(children))...)
	}
	return errUnimplemented, nil
}

// create executes a create request and notifies the watchers of the node and of its parent's children. z.mu is held.
func (z *Server) create(s *session, f requestFrame) (code int32, body []any) {
	name := f.readString()
	data := f.readString()
	for range f.readInt() { // skip the access control list: permissions, scheme and identity of each entry
		f.readInt()
		f.readString()
		f.readString()
	}
	ephemeral := f.readInt()&flagEphemeral != 0
	parent := path.Dir(name)
	if z.nodes[name] != nil {
		return errNodeExists, nil
	}
	if z.nodes[parent] == nil {
		return errNoNode, nil
	}
	z.zxid++
	n := &znode{data: []byte(data), createdZxid: z.zxid}
	if ephemeral {
		n.owner = s.id
	}
	z.nodes[name] = n
	z.notify(watch{watchData, name}, eventCreated)
	z.notify(watch{watchChildren, parent}, eventChildrenChanged)
	return 0, []any{name}
}

// children returns the sorted names of a node's children, without the path. z.mu is held.
func (z *Server) children(name string) []string {
	children := []string{}
	for child := range z.nodes {
		if child != "/" && path.Dir(child) == name {
			children = append(children, path.Base(child))
		}
	}
	sort.Strings(children)
	return children
}

// stat returns the fields of a node's Stat record in wire order. All zxids are that of the node's creation, because data never
// changes and no client reads pzxid.
func stat(n *znode, children int) []any {
	return []any{
		n.createdZxid, n.createdZxid, // czxid, mzxid
		int64(0), int64(0), // ctime, mtime
		int32(0), int32(0), int32(0), // version, cversion, aversion
		n.owner,
		int32(len(n.data)),
		int32(children),
		n.createdZxid, // pzxid
	}
}
