package registry

import (
	"context"
	"encoding/json"
	"errors"
	"path"

	"github.com/go-zookeeper/zk"
	"go.uber.org/zap"
)

// errNoFolder says that no process had registered yet; the folder of nodes was made, and the next attempt can watch it.
var errNoFolder = errors.New("the registry was empty")

// WatchPlanners calls changed with the planners' addresses by gateway number, at once and at every change, until the context ends.
// While the registry can't be read, the last call stands. It returns nil.
func (r *Registry) WatchPlanners(ctx context.Context, changed func(map[int]string)) error {
	return r.WatchNodes(ctx, func(nodes map[string][]byte) {
		planners := map[int]string{}
		for name, data := range nodes {
			var p Planner
			if err := json.Unmarshal(data, &p); err != nil || p.Address == "" || p.Gateway < 0 {
				r.log.Warn("registry node ignored: not a planner's", zap.String("node", name), zap.ByteString("data", data))
				continue
			}
			planners[p.Gateway] = p.Address
		}
		changed(planners)
	})
}

// WatchNodes calls changed with the data of all nodes by name, at once and at every change, until the context ends. While the
// registry can't be read, the last call stands. It returns nil.
func (r *Registry) WatchNodes(ctx context.Context, changed func(map[string][]byte)) error {
	for ctx.Err() == nil {
		nodes, event, err := r.readNodes()
		if err != nil {
			r.reportFailure("the registry could not be read", err)
			waitForRetry(ctx)
			continue
		}
		r.reportSuccess()
		changed(nodes)
		waitForEvent(ctx, event)
	}
	return nil
}

// readNodes returns the nodes' data, and a watch on their names. The data of a node never changes while it exists: a process
// that moves makes a new one.
func (r *Registry) readNodes() (map[string][]byte, <-chan zk.Event, error) {
	names, _, event, err := r.conn.ChildrenW(r.path)
	if errors.Is(err, zk.ErrNoNode) {
		if err := r.createFolder(); err != nil {
			return nil, nil, err
		}
		return nil, nil, errNoFolder
	}
	if err != nil {
		return nil, nil, err
	}
	nodes := map[string][]byte{}
	for _, name := range names {
		data, _, err := r.conn.Get(path.Join(r.path, name))
		if errors.Is(err, zk.ErrNoNode) {
			continue // it was removed since; the watch fires
		}
		if err != nil {
			return nil, nil, err
		}
		nodes[name] = data
	}
	return nodes, event, nil
}
