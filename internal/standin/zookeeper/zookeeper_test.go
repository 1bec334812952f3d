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

// testTimeout is the session timeout of the clients, and how long the tests wait for an event.
const testTimeout = 10 * time.Second

// connect opens a client session that ends with the test.
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

// expectEvent fails the test unless the next event, within testTimeout, has the wanted type.
func expectEvent(t *testing.T, events <-chan zk.Event, want zk.EventType) {
	t.Helper()
	select {
	case e := <-events:
		if e.Type != want {
			t.Errorf("got event %v, expected %v", e.Type, want)
		}
	case <-time.After(testTimeout):
		t.Fatalf("got no event within testTimeout, expected %v", want)
	}
}

// TestNodes guards against nodes that are created twice or without a parent, or that are read back with wrong data, children or
// owner.
func TestNodes(t *testing.T) {
	z := newServer(t)
	c := connect(t, z)
	acl := zk.WorldACL(zk.PermAll)
	if _, err := c.Create("/a/b", nil, 0, acl); !errors.Is(err, zk.ErrNoNode) {
		t.Errorf("a create without a parent returned %v, expected ErrNoNode", err)
	}
	for _, name := range []string{"/a", "/a/c", "/a/b"} {
		if _, err := c.Create(name, []byte("data of "+name), 0, acl); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Create("/a", nil, 0, acl); !errors.Is(err, zk.ErrNodeExists) {
		t.Errorf("a second create of the same node returned %v, expected ErrNodeExists", err)
	}
	data, stat, err := c.Get("/a")
	if err != nil || string(data) != "data of /a" || stat.NumChildren != 2 || int(stat.DataLength) != len(data) || stat.EphemeralOwner != 0 {
		t.Errorf("/a is read as %q, %+v, %v; expected its data, 2 children and no owner", data, stat, err)
	}
	if children, _, err := c.Children("/a"); err != nil || !reflect.DeepEqual(children, []string{"b", "c"}) {
		t.Errorf("got children %v of /a, %v, expected b and c", children, err)
	}
	if err := c.Delete("/a/b", -1); err != nil {
		t.Fatal(err)
	}
	if exists, _, err := c.Exists("/a/b"); err != nil || exists {
		t.Errorf("after its deletion, exists of /a/b returned %v, %v, expected false", exists, err)
	}
}

// TestExpire guards against an expired session whose ephemeral nodes remain, whose watches are not notified, or that the client
// can't replace by a new one.
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
			t.Fatal("the client has no new session within testTimeout after the old one expired")
		}
	}
	if _, err := owner.Create("/lease", nil, zk.FlagEphemeral, acl); err != nil || z.Owner("/lease") != owner.SessionID() {
		t.Errorf("a create by the new session returned %v, expected no error and ownership; the node is owned by session %d", err, z.Owner("/lease"))
	}
}
