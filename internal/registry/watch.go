package registry

import (
	"context"
	"encoding/json"
	"errors"
	"path"

	"github.com/go-zookeeper/zk"
	"go.uber.org/zap"
)

// errNoFolder is returned if no process has registered yet. The folder for the nodes was created, and the next attempt can watch
// it.
var errNoFolder = errors.New("the registry's folder did not exist and was created")

// WatchPlanners calls onChange with the planners' addresses by gateway number, initially and after every change, until the
// context ends. It does not call onChange while the registry can't be read. It returns nil.
func (r *Registry) WatchPlanners(ctx context.Context, onChange func(map[int]string)) error {
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
		onChange(planners)
	})
}

// WatchNodes calls onChange with the data of all nodes by name, initially and after every change, until the context ends. It does
// not call onChange while the registry can't be read. It returns nil.
func (r *Registry) WatchNodes(ctx context.Context, onChange func(map[string][]byte)) error {
	for ctx.Err() == nil {
		nodes, event, err := r.readNodes()
		if err != nil {
			r.reportFailure("the registry could not be read", err)
			waitForRetry(ctx)
			continue
		}
		r.reportSuccess()
		onChange(nodes)
		waitForEvent(ctx, event)
	}
	return nil
}

// readNodes returns the data of all nodes by name, and a channel that receives an event when the set of nodes changes. The data
// of an existing node never changes: a process whose address changes creates a new node.
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
			continue // removed after its name was read; an event follows
		}
		if err != nil {
			return nil, nil, err
		}
		nodes[name] = data
	}
	return nodes, event, nil
}
