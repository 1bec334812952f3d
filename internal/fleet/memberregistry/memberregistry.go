// Package memberregistry has the members of a fleet find one another by ephemeral nodes in a registry: it keeps a node for this one
// and tells of the others'. It owns its session with the registry.
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

// Options say where, and who this member is.
type Options struct {
	Servers []string // none: nothing is kept or found
	Path    string
	Session time.Duration
	Name    string
	Address string // where others reach this member, host:port
	Log     *zap.Logger
}

// node is the data of a member's.
type node struct {
	Address string `json:"address"`
}

// Run keeps this member's node, and tells found where all others may be, until the context ends. What the registry says is a
// hint: a member that is not there any more, as when sessions lapse while the registry is away, is not told to be gone.
func Run(ctx context.Context, o Options, found func(map[string]string)) error {
	if len(o.Servers) == 0 {
		return nil
	}
	r, err := registry.Open(o.Servers, o.Path, o.Session, o.Log)
	if err != nil {
		return fmt.Errorf("configuration: fleet.registry.servers: %w", err)
	}
	defer r.Close()
	data, err := json.Marshal(node{o.Address})
	if err != nil {
		return err
	}
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return r.Keep(ctx, url.PathEscape(o.Name), data) })
	group.Go(func() error {
		return r.Follow(ctx, func(nodes map[string][]byte) {
			at := map[string]string{}
			for escaped, data := range nodes {
				var n node
				name, err := url.PathUnescape(escaped)
				if err == nil {
					err = json.Unmarshal(data, &n)
				}
				if err == nil {
					err = numeric(n.Address)
				}
				if err != nil {
					o.Log.Warn("a node is no member's", zap.String("node", escaped), zap.Error(err))
					continue
				}
				at[name] = n.Address
			}
			found(at)
		})
	})
	return group.Wait()
}

// numeric refuses what would have to be looked up by name.
func numeric(addr string) error {
	host, _, err := net.SplitHostPort(addr)
	if err == nil && net.ParseIP(host) == nil {
		err = fmt.Errorf("%q is no IP address", host)
	}
	return err
}
