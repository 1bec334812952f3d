package registry

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"path"
	"strconv"

	"github.com/go-zookeeper/zk"
	"go.uber.org/zap"
)

// errOldIncarnation says that the node that an earlier incarnation of this process left was removed; the next attempt makes
// a new one.
var errOldIncarnation = errors.New("the node of an earlier incarnation was removed")

// Planner is the data of a planner's node.
type Planner struct {
	Address string `json:"address"` // as host:port
	Gateway int    `json:"gateway"` // the gateway's number
}

// RegisterPlanner keeps a node for p until the context ends. It fails only if p can't be encoded.
func (r *Registry) RegisterPlanner(ctx context.Context, p Planner) error {
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return r.MaintainNode(ctx, "gateway-"+strconv.Itoa(p.Gateway), data)
}

// MaintainNode keeps a node with data until the context ends, and returns nil. The node is made again whenever it was removed, as
// after the expiry of the session; failures are logged and repeated.
func (r *Registry) MaintainNode(ctx context.Context, node string, data []byte) error {
	for ctx.Err() == nil {
		removed, err := r.ensureNode(path.Join(r.path, node), data)
		if err != nil {
			r.reportFailure("this process is not registered", err)
			waitForRetry(ctx)
			continue
		}
		r.reportSuccess()
		waitForEvent(ctx, removed)
	}
	return nil
}

// ensureNode makes the node if it is not this session's already, and returns a watch on it.
func (r *Registry) ensureNode(name string, data []byte) (<-chan zk.Event, error) {
	if err := r.createFolder(); err != nil {
		return nil, err
	}
	_, err := r.conn.Create(name, data, zk.FlagEphemeral, zk.WorldACL(zk.PermAll))
	if err == nil {
		r.log.Info("registered", zap.String("node", name), zap.ByteString("data", data))
	} else if !errors.Is(err, zk.ErrNodeExists) {
		return nil, err
	}
	existing, stat, removed, err := r.conn.GetW(name)
	if err != nil {
		return nil, err
	}
	if stat.EphemeralOwner == r.conn.SessionID() {
		return removed, nil
	}
	if string(existing) != string(data) {
		return nil, fmt.Errorf("%s is held by another process: %.200s", name, existing)
	}
	// The node would go with the session of the earlier incarnation that made it, and this process be unknown.
	if err := r.conn.Delete(name, stat.Version); err != nil && !errors.Is(err, zk.ErrNoNode) {
		return nil, err
	}
	return nil, errOldIncarnation
}
