// Package memberregistry lets the members of a fleet find one another through ephemeral nodes in a registry. It
// maintains a node for this member, and watches the nodes of all members. It uses a session of its own.
package memberregistry

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/url"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"dewhitch/internal/registry"
)

// Options configures the registry and the node of this member.
type Options struct {
	Servers []string      // host:port of the registry's servers; empty: Run does nothing
	Path    string        // path of the parent of the members' nodes
	Session time.Duration // timeout after which the registry deletes the node of a member that it lost contact with
	Name    string        // name of this member
	Address string        // host:port at which other members reach this one
	Log     *zap.Logger
}

// memberNode is the data of a member's node. The node's name is the name of the member, escaped for a path.
type memberNode struct {
	Address string `json:"address"` // host:port with an IP address
}

// Run maintains this member's node until the context ends, and calls onChange with the addresses of all members by
// name at each change. The addresses are hints: a member without one may be alive, because all sessions expire
// while the registry is unreachable.
func Run(ctx context.Context, o Options, onChange func(map[string]string)) error {
	if len(o.Servers) == 0 {
		return nil
	}
	r, err := registry.Open(o.Servers, o.Path, o.Session, o.Log)
	if err != nil {
		return fmt.Errorf("configuration: fleet.registry.servers: %w", err)
	}
	defer r.Close()
	data, err := json.Marshal(memberNode{o.Address})
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.MaintainNode(ctx, url.PathEscape(o.Name), data) })
	group.Go(func() error {
		return r.WatchNodes(ctx, func(nodes map[string][]byte) { onChange(decodeNodes(nodes, o.Log)) })
	})
	return group.Wait()
}

// decodeNodes returns the addresses in nodes by member name. It logs and skips nodes that can't be decoded.
func decodeNodes(nodes map[string][]byte, log *zap.Logger) map[string]string {
	addressByName := map[string]string{}
	for escaped, data := range nodes {
		name, address, err := decodeNode(escaped, data)
		if err != nil {
			log.Warn("registry node ignored: not a member's", zap.String("node", escaped), zap.Error(err))
			continue
		}
		addressByName[name] = address
	}
	return addressByName
}

// decodeNode returns the name and the address of a member from its node.
func decodeNode(escaped string, data []byte) (name, address string, err error) {
	if name, err = url.PathUnescape(escaped); err != nil {
		return "", "", err
	}
	var n memberNode
	if err := json.Unmarshal(data, &n); err != nil {
		return "", "", err
	}
	return name, n.Address, checkNumericAddress(n.Address)
}

// checkNumericAddress returns an error if an address is not host:port, or if its host would need a name lookup.
func checkNumericAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err == nil && net.ParseIP(host) == nil {
		err = fmt.Errorf("host %q is not an IP address", host)
	}
	return err
}
