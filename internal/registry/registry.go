// Package registry makes processes known to one another by ephemeral nodes in ZooKeeper: planners to forwarders, with
// address and gateway's number, and members of a fleet among themselves.
//
// registry.go has the session, register.go keeps a node, watch.go reads the nodes of all.
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

// retryInterval is between two attempts at a call to the registry.
const retryInterval = 200 * time.Millisecond

// Registry is a session with ZooKeeper. The client reconnects by itself; a session that has expired takes its ephemeral
// nodes with it, and MaintainNode makes them again. It is safe for concurrent use.
type Registry struct {
	conn    *zk.Conn
	path    string // of the folder of nodes
	log     *zap.Logger
	failing atomic.Bool // the last call failed, and that was logged
}

// Open starts a session with one of the servers, as host:port; it does not wait for the connection. Nodes outlive the
// connection by session at most. Close ends the session, and with it its nodes.
func Open(servers []string, path string, session time.Duration, log *zap.Logger) (*Registry, error) {
	conn, _, err := zk.Connect(servers, session, zk.WithLogger(zkLogger{log.Sugar()}))
	if err != nil {
		return nil, err
	}
	return &Registry{conn: conn, path: path, log: log}, nil
}

// Close ends the session.
func (r *Registry) Close() { r.conn.Close() }

// zkLogger passes the ZooKeeper client's own lines on.
type zkLogger struct{ log *zap.SugaredLogger }

// Printf implements zk.Logger.
func (l zkLogger) Printf(format string, a ...any) { l.log.Debugf(format, a...) }

// reportFailure logs the first failure after a success.
func (r *Registry) reportFailure(what string, err error) {
	if !r.failing.Swap(true) {
		r.log.Warn(what, zap.Error(err))
	}
}

// reportSuccess logs the first success after a failure.
func (r *Registry) reportSuccess() {
	if r.failing.Swap(false) {
		r.log.Info("the registry is reachable again")
	}
}

// createFolder creates the folder of nodes and those above it, if they don't exist.
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

// waitForEvent returns at an event, or when the context ends.
func waitForEvent(ctx context.Context, event <-chan zk.Event) {
	select {
	case <-ctx.Done():
	case <-event:
	}
}

// waitForRetry returns after retryInterval, or when the context ends.
func waitForRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(retryInterval):
	}
}
