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

// Nodes are created under existing parents alone, once, and read back with data, children and owner.
func TestNodes(t *testing.T) {
	z := newServer(t)
	c := connect(t, z)
	acl := zk.WorldACL(zk.PermAll)
	if _, err := c.Create("/a/b", nil, 0, acl); !errors.Is(err, zk.ErrNoNode) {
		t.Errorf("created without a parent: %v", err)
	}
	for _, name := range []string{"/a", "/a/c", "/a/b"} {
		if _, err := c.Create(name, []byte("data of "+name), 0, acl); err != nil {
			t.Fatal(err)
		}
	}
	if _, err := c.Create("/a", nil, 0, acl); !errors.Is(err, zk.ErrNodeExists) {
		t.Errorf("created twice: %v", err)
	}
	data, stat, err := c.Get("/a")
	if err != nil || string(data) != "data of /a" || stat.NumChildren != 2 || int(stat.DataLength) != len(data) || stat.EphemeralOwner != 0 {
		t.Errorf("%q, %+v, %v", data, stat, err)
	}
	if children, _, err := c.Children("/a"); err != nil || !reflect.DeepEqual(children, []string{"b", "c"}) {
		t.Errorf("children %v, %v", children, err)
	}
	if err := c.Delete("/a/b", -1); err != nil {
		t.Fatal(err)
	}
	if exists, _, err := c.Exists("/a/b"); err != nil || exists {
		t.Errorf("deleted, and exists: %v, %v", exists, err)
	}
}

// The expiry of a session deletes its ephemeral nodes and notifies watches, once each; the client gets a new session.
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
		t.Errorf("owned by %d, not by %d", z.Owner("/lease"), session)
	}
	_, _, data, err := watcher.GetW("/lease")
	if err != nil {
		t.Fatal(err)
	}
	z.Expire(session)
	expectEvent(t, data, zk.EventNodeDeleted)
	if z.Owner("/lease") != 0 {
		t.Error("the ephemeral node outlives its session")
	}
	for deadline := time.Now().Add(testTimeout); owner.State() != zk.StateHasSession || owner.SessionID() == session; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the client gets no new session")
		}
	}
	if _, err := owner.Create("/lease", nil, zk.FlagEphemeral, acl); err != nil || z.Owner("/lease") != owner.SessionID() {
		t.Errorf("created by the new session: %v, owned by %d", err, z.Owner("/lease"))
	}
}
