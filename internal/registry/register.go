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

// errOldIncarnation is returned after the node of an earlier incarnation of this process was removed. The next attempt creates a
// new node.
var errOldIncarnation = errors.New("the node of an earlier incarnation was removed")

// Planner is the data of a planner's node, encoded as JSON.
type Planner struct {
	Address string `json:"address"` // planner's address as host:port
	Gateway int    `json:"gateway"` // number of the planner's gateway
}

// RegisterPlanner maintains a node for p until the context ends. It returns an error only if p can't be encoded.
func (r *Registry) RegisterPlanner(ctx context.Context, p Planner) error {
	data, err := json.Marshal(p)
	if err != nil {
		return err
	}
	return r.MaintainNode(ctx, "gateway-"+strconv.Itoa(p.Gateway), data)
}

// MaintainNode maintains a node with the given data until the context ends, and returns nil. It creates the node again whenever
// the node was removed, for example because the session expired. It logs failures and retries after retryInterval.
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

// ensureNode creates the node unless this session owns it already, and returns a channel that receives the next event of the
// node.
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
		return nil, fmt.Errorf("node %s belongs to another process: %.200s", name, existing)
	}
	// The node disappears with the session of the earlier incarnation that created it; this process would then be unregistered.
	if err := r.conn.Delete(name, stat.Version); err != nil && !errors.Is(err, zk.ErrNoNode) {
		return nil, err
	}
	return nil, errOldIncarnation
}
