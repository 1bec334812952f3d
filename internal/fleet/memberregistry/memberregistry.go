// Package memberregistry lets the members of a fleet find one another by ephemeral nodes in a registry: it
// keeps a node for this member and follows the others'. It owns its session with the registry.
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

// Options configure where, and who this member is.
type Options struct {
	Servers []string      // of the registry, host:port; empty: Run does nothing
	Path    string        // of the folder with the members' nodes
	Session time.Duration // timeout after which the registry deletes a lost member's node
	Name    string        // of this member
	Address string        // under which others reach this member, host:port
	Log     *zap.Logger
}

// memberNode is the data of a member's node; the node's name is the member's, escaped for a path.
type memberNode struct {
	Address string `json:"address"`
}

// Run keeps this member's node and calls found with all members' addresses by name at each change, until the
// context ends. The addresses are hints: a missing member need not be dead, as all sessions expire at
// once while the registry is away.
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

// decodeNodes decodes nodes, and logs and skips those that are no member's.
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

// checkNumericAddress rejects an address that would need a name lookup.
func checkNumericAddress(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err == nil && net.ParseIP(host) == nil {
		err = fmt.Errorf("%q is no IP address", host)
	}
	return err
}
