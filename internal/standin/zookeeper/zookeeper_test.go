package zookeeper

import (
	"errors"
	"io"
	"log"
	"reflect"
	"testing"
	"time"

	"github.com/go-zookeeper/zk"
)

const testTimeout = 10 * time.Second

func connect(t *testing.T, z *Server) *zk.Conn {
	t.Helper()
	c, _, err := zk.Connect([]string{z.Addr()}, testTimeout, zk.WithLogger(log.New(io.Discard, "", 0)))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Close)
	return c
}

func newServer(t *testing.T) *Server {
	t.Helper()
	z, err := New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(z.Close)
	return z
}

func expectEvent(t *testing.T, events <-chan zk.Event, want zk.EventType) {
	t.Helper()
	select {
	case e := <-events:
		if e.Type != want {
			t.Errorf("event %v, want %v", e.Type, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("no event, want %v", want)
	}
}

// Nodes can be created only once and only under existing parents, and are read back with data, children and owner.
func TestNodes(t *testing.T) {
	z := newServer(t)
	c := connect(t, z)
	acl := zk.WorldACL(zk.PermAll)
	if _, err := c.Create("/a/b", nil, 0, acl); !errors.Is(err, zk.ErrNoNode) {
		t.Errorf("a create without a parent returned %v", err)
	}
	for _, name := range []string{"/a", "/a/c", "/a/b"} {
		if _, err := c.Create(name, []byte("data of "+name), 0, acl); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Create("/a", nil, 0, acl); !errors.Is(err, zk.ErrNodeExists) {
		t.Errorf("a second create of the same node returned %v", err)
	}
	data, stat, err := c.Get("/a")
	if err != nil || string(data) != "data of /a" || stat.NumChildren != 2 || int(stat.DataLength) != len(data) || stat.EphemeralOwner != 0 {
		t.Errorf("/a is read as %q, %+v, %v", data, stat, err)
	}
	if children, _, err := c.Children("/a"); err != nil || !reflect.DeepEqual(children, []string{"b", "c"}) {
		t.Errorf("got children %v of /a, %v", children, err)
	}
	if err := c.Delete("/a/b", -1); err != nil {
		t.Fatal(err)
	}
	if exists, _, err := c.Exists("/a/b"); err != nil || exists {
		t.Errorf("after its deletion, exists of /a/b returned %v, %v", exists, err)
	}
}

// The expiry of a session deletes its ephemeral nodes and notifies each watch once, and the client opens a new session.
func TestExpire(t *testing.T) {
	z := newServer(t)
	watcher := connect(t, z)
	owner := connect(t, z)
	acl := zk.WorldACL(zk.PermAll)
	_, _, children, err := watcher.ChildrenW("/")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := owner.Create("/lease", nil, zk.FlagEphemeral, acl); err != nil {
		t.Fatal(err)
	}
	expectEvent(t, children, zk.EventNodeChildrenChanged)
	session := owner.SessionID()
	if z.Owner("/lease") != session {
		t.Errorf("/lease is owned by session %d, expected %d", z.Owner("/lease"), session)
	}
	_, _, data, err := watcher.GetW("/lease")
	if err != nil {
		t.Fatal(err)
	}
	z.Expire(session)
	expectEvent(t, data, zk.EventNodeDeleted)
	if z.Owner("/lease") != 0 {
		t.Error("the ephemeral node still exists after its session has expired")
	}
	for deadline := time.Now().Add(testTimeout); owner.State() != zk.StateHasSession || owner.SessionID() == session; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the client has no new session within testTimeout")
		}
	}
	if _, err := owner.Create("/lease", nil, zk.FlagEphemeral, acl); err != nil || z.Owner("/lease") != owner.SessionID() {
		t.Errorf("a create by the new session returned %v; the node is owned by session %d", err, z.Owner("/lease"))
	}
}
