// Package registry keeps processes known to one another by ephemeral nodes in ZooKeeper: planners to forwarders, with
// address and gateway's number, and members of a fleet among themselves.
package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-zookeeper/zk"
	"go.uber.org/zap"
)

// Planner is the data of a node.
type Planner struct {
	Address string `json:"address"`
	Gateway int    `json:"gateway"`
}

const pause = 200 * time.Millisecond // between two tries at the registry

// Registry is a session with ZooKeeper. The client connects anew by itself; a session that has expired takes its
// ephemeral nodes with it, and Register makes them again.
type Registry struct {
	conn   *zk.Conn
	path   string
	log    *zap.Logger
	ailing atomic.Bool // the last call failed, and that was said
}

// fails says once that the registry can't be used, until it could be.
func (r *Registry) fails(what string, err error) {
	if !r.ailing.Swap(true) {
		r.log.Warn(what, zap.Error(err))
	}
}

func (r *Registry) works() {
	if r.ailing.Swap(false) {
		r.log.Info("the registry answers again")
	}
}

// printer passes the client's own lines on.
type printer struct{ log *zap.SugaredLogger }

func (p printer) Printf(format string, a ...any) { p.log.Debugf(format, a...) }

// Open starts a session; Close ends it, and with it the session's nodes.
func Open(servers []string, path string, session time.Duration, log *zap.Logger) (*Registry, error) {
	conn, _, err := zk.Connect(servers, session, zk.WithLogger(printer{log.Sugar()}))
	if err != nil {
		return nil, err
	}
	return &Registry{conn: conn, path: path, log: log}, nil
}

// Close gives the session back.
func (r *Registry) Close() { r.conn.Close() }

// Register keeps a node for p until the context ends.
func (r *Registry) Register(ctx context.Context, p Planner) error {
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return r.Keep(ctx, "gateway-"+strconv.Itoa(p.Gateway), data)
}

// Keep keeps a node with data until the context ends. It is made anew whenever it has gone, as after the expiry of the
// session.
func (r *Registry) Keep(ctx context.Context, node string, data []byte) error {
	for ctx.Err() == nil {
		gone, err := r.hold(ctx, path.Join(r.path, node), data)
		if err != nil {
			r.fails("this process is not registered", err)
			wait(ctx, nil, pause)
			continue
		}
		r.works()
		wait(ctx, gone, 0)
	}
	return nil
}

// wait returns when the context ends, at an event, or after a time, if one is given.
func wait(ctx context.Context, event <-chan zk.Event, d time.Duration) {
	var after <-chan time.Time
	if d > 0 {
		after = time.After(d)
	}
	select {
	case <-ctx.Done():
	case <-event:
	case <-after:
	}
}

// hold makes the node if it is not this session's already, and returns a watch on it.
func (r *Registry) hold(ctx context.Context, name string, data []byte) (<-chan zk.Event, error) {
	if err := r.parents(); err != nil {
		return nil, err
	}
	_, err := r.conn.Create(name, data, zk.FlagEphemeral, zk.WorldACL(zk.PermAll))
	if err == nil {
		r.log.Info("registered", zap.String("node", name), zap.ByteString("data", data))
	} else if !errors.Is(err, zk.ErrNodeExists) {
		return nil, err
	}
	held, stat, gone, err := r.conn.GetW(name)
	if err != nil {
		return nil, err
	}
	if stat.EphemeralOwner == r.conn.SessionID() {
		return gone, nil
	}
	if string(held) != string(data) {
		return nil, fmt.Errorf("%s is held by another process: %.200s", name, held)
	}
	// An earlier life of this process left it; it would go with that session, and this one be unknown.
	if err := r.conn.Delete(name, stat.Version); err != nil && !errors.Is(err, zk.ErrNoNode) {
		return nil, err
	}
	return nil, errors.New("an earlier life's node was removed")
}

func (r *Registry) parents() error {
	at := ""
	for part := range strings.SplitSeq(strings.Trim(r.path, "/"), "/") {
		at += "/" + part
		_, err := r.conn.Create(at, nil, 0, zk.WorldACL(zk.PermAll))
		if err != nil && !errors.Is(err, zk.ErrNodeExists) {
			return err
		}
	}
	return nil
}

// Watch tells changed of the planners by gateway number, at once and at every change, until the context ends.
// While the registry is away, the planners last told stand.
func (r *Registry) Watch(ctx context.Context, changed func(map[int]string)) error {
	return r.Follow(ctx, func(nodes map[string][]byte) {
		planners := map[int]string{}
		for name, data := range nodes {
			var p Planner
			if err := json.Unmarshal(data, &p); err != nil || p.Address == "" || p.Gateway < 0 {
				r.log.Warn("a node is no planner's", zap.String("node", name), zap.ByteString("data", data))
				continue
			}
			planners[p.Gateway] = p.Address
		}
		changed(planners)
	})
}

// Follow tells changed of the data of all nodes by name, at once and at every change, until the context ends. While the
// registry is away, what was told last stands.
func (r *Registry) Follow(ctx context.Context, changed func(map[string][]byte)) error {
	for ctx.Err() == nil {
		nodes, event, err := r.read()
		if err != nil {
			r.fails("the registry could not be read", err)
			wait(ctx, nil, pause)
			continue
		}
		r.works()
		changed(nodes)
		wait(ctx, event, 0)
	}
	return nil
}

// read returns the nodes' data, and a watch on their names. The data of a node never changes while it lives: a process
// that moves makes a new one.
func (r *Registry) read() (map[string][]byte, <-chan zk.Event, error) {
	names, _, event, err := r.conn.ChildrenW(r.path)
	if errors.Is(err, zk.ErrNoNode) { // nobody has ever come
		if err := r.parents(); err != nil {
			return nil, nil, err
		}
		return nil, nil, errors.New("the registry was empty")
	}
	if err != nil {
		return nil, nil, err
	}
	nodes := map[string][]byte{}
	for _, name := range names {
		data, _, err := r.conn.Get(path.Join(r.path, name))
		if errors.Is(err, zk.ErrNoNode) {
			continue // it has gone; the watch tells so
		}
		if err != nil {
			return nil, nil, err
		}
		nodes[name] = data
	}
	return nodes, event, nil
}
