package config

import (
	"errors"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Limits is the content of the limits file: the settings of the front for limit commands, of the registry of planners, and of the
// forwarder.
type Limits struct {
	Listen   string   // host:port of a planner's front for limit commands; no such front if empty
	Registry Registry // registry of the planners
	Forward  Forward  // settings of a forwarder
}

// Registry configures the ZooKeeper registry of planners, or of the members of a fleet.
type Registry struct {
	Servers []string      // ZooKeeper servers, as host:port; nothing is registered if empty
	Path    string        // parent of the ephemeral nodes; default /dewhitch/planners, or /dewhitch/members/FLEET
	Session time.Duration // timeout of the ZooKeeper session; default 4 s, at least 100 ms
}

// Forward configures a forwarder.
type Forward struct {
	Listen   string // host:port of the clients' listener
	Gateways int    // number of gateways of the deployment; the numbers of a customer's gateways are modulo this
	Sockets  int    // number of sockets that the process may open; default 1024, at least 64
	MemoryMB int    // memory that the process may use, in MiB; default 192, at least 32
}

// Defaults and minimum values of the keys of a registry. The session timeout is in milliseconds.
const (
	defaultPlannersPath = "/dewhitch/planners"
	defaultMembersPath  = "/dewhitch/members"
	defaultSessionMS    = 4000
	minSessionMS        = 100
)

// registryFile mirrors the table of a registry in the limits and fleet files.
type registryFile struct {
	Servers   []string
	Path      string
	SessionMS int `toml:"session_ms"`
}

// parse checks the table, and sets the default of the session timeout. key is the key of the table, which errors name.
func (f registryFile) parse(key string) (Registry, error) {
	r := Registry{f.Servers, f.Path, time.Duration(orDefault(f.SessionMS, defaultSessionMS)) * time.Millisecond}
	for _, s := range r.Servers {
		if err := checkAddress(key+".servers", s); err != nil {
			return r, err
		}
	}
	switch {
	case !strings.HasPrefix(r.Path, "/") || strings.HasSuffix(r.Path, "/"):
		return r, newError(key+".path", "%q is not a path such as %s", r.Path, defaultPlannersPath)
	case r.Session < minSessionMS*time.Millisecond:
		return r, newError(key+".session_ms", "%d; it needs %d at least", f.SessionMS, minSessionMS)
	}
	return r, nil
}

// LoadLimits reads and checks the limits file.
func LoadLimits(path string) (*Limits, error) {
	var f struct {
		Listen   string
		Registry registryFile
		Forward  struct {
			Listen            string
			Gateways, Sockets int
			MemoryMB          int `toml:"memory_mb"`
		}
	}
	if _, err := toml.DecodeFile(path, &f); err != nil {
		var parseErr toml.ParseError
		if errors.As(err, &parseErr) && parseErr.LastKey != "" {
			return nil, newError(path, "%s: %s", parseErr.LastKey, parseErr.Message)
		}
		return nil, newError(path, "%v", err)
	}
	if f.Registry.Path == "" {
		f.Registry.Path = defaultPlannersPath
	}
	l := &Limits{Listen: f.Listen, Forward: Forward{f.Forward.Listen, f.Forward.Gateways, orDefault(f.Forward.Sockets, defaultSockets),
		orDefault(f.Forward.MemoryMB, defaultMemoryMB)}}
	if l.Listen != "" {
		if err := checkAddress("listen", l.Listen); err != nil {
			return nil, err
		}
	}
	var err error
	l.Registry, err = f.Registry.parse("registry")
	if err != nil {
		return nil, err
	}
	return l, nil
}

// CheckForward checks the keys that only a forwarder needs.
func (l *Limits) CheckForward() error {
	if err := checkAddress("forward.listen", l.Forward.Listen); err != nil {
		return err
	}
	switch {
	case len(l.Registry.Servers) == 0:
		return newError("registry.servers", "missing; a forwarder finds the planners there")
	case l.Forward.Gateways < 1:
		return newError("forward.gateways", "%d; it needs 1 at least", l.Forward.Gateways)
	case l.Forward.MemoryMB < minMemoryMB:
		return newError("forward.memory_mb", "%d; it needs %d at least", l.Forward.MemoryMB, minMemoryMB)
	case l.Forward.Sockets < minSockets:
		return newError("forward.sockets", "%d; it needs %d at least", l.Forward.Sockets, minSockets)
	}
	return nil
}
