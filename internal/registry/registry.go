// Package registry lets processes find one another through ephemeral nodes in ZooKeeper. Forwarders find the address and gateway
// number of each planner, and the members of a fleet find one another.
//
// registry.go implements the session, register.go maintains a node, and watch.go reads the nodes of all processes.
package registry

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-zookeeper/zk"
	"go.uber.org/zap"
)

// retryInterval is the time between two attempts to read or write the registry.
const retryInterval = 200 * time.Millisecond

// Registry is a session with ZooKeeper. The ZooKeeper client reconnects automatically. When a session expires, its ephemeral
// nodes are removed, and MaintainNode creates them again. It is safe for concurrent use.
type Registry struct {
	conn    *zk.Conn
	path    string // path of the folder that contains the nodes
	log     *zap.Logger
	failing atomic.Bool // true if the last call failed, which was logged
}

// Open starts a session with one of the servers, given as host:port, without waiting for the connection. After the connection is
// lost, the session and its nodes remain for at most sessionTimeout. Close ends the session and removes its nodes.
func Open(servers []string, path string, sessionTimeout time.Duration, log *zap.Logger) (*Registry, error) {
	conn, _, err := zk.Connect(servers, sessionTimeout, zk.WithLogger(zkLogger{log.Sugar()}))
	if err != nil {
		return nil, err
	}
	return &Registry{conn: conn, path: path, log: log}, nil
}

// Close ends the session, which removes its nodes.
func (r *Registry) Close() { r.conn.Close() }

// zkLogger logs the ZooKeeper client's messages at level debug.
type zkLogger struct{ log *zap.SugaredLogger }

// Printf implements zk.Logger.
func (l zkLogger) Printf(format string, a ...any) { l.log.Debugf(format, a...) }

// reportFailure logs the first failure after a success.
func (r *Registry) reportFailure(message string, err error) {
	if !r.failing.Swap(true) {
		r.log.Warn(message, zap.Error(err))
	}
}

// reportSuccess logs the first success after a failure.
func (r *Registry) reportSuccess() {
	if r.failing.Swap(false) {
		r.log.Info("the registry is reachable again")
	}
}

// createFolder creates the folder that contains the nodes, and its parent folders, unless they exist.
func (r *Registry) createFolder() error {
	folder := ""
	for name := range strings.SplitSeq(strings.Trim(r.path, "/"), "/") {
		folder += "/" + name
		_, err := r.conn.Create(folder, nil, 0, zk.WorldACL(zk.PermAll))
		if err != nil && !errors.Is(err, zk.ErrNodeExists) {
			return err
		}
	}
	return nil
}

// waitForEvent returns when an event is received or the context ends.
func waitForEvent(ctx context.Context, event <-chan zk.Event) {
	select {
	case <-ctx.Done():
	case <-event:
	}
}

// waitForRetry returns after retryInterval or when the context ends.
func waitForRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryInterval):
	}
}
