package config

import (
	"errors"
	"strings"
	"time"

	"github.com/BurntSushi/toml"
)

// Limits is the limits file: the front for limit commands, the registry, and the forwarder.
type Limits struct {
	Listen   string // of a planner's limits front; empty: the front is off
	Registry Registry
	Forward  Forward
}

// Registry says where planners are registered.
type Registry struct {
	Servers []string // none: planners are not registered
	Path    string
	Session time.Duration
}

// Forward is what a forwarder is told.
type Forward struct {
	Listen   string
	Gateways int // how many there are, as a customer's set is counted round
	Sockets  int
	MemoryMB int
}

// The defaults, where the limits file leaves a key out.
const (
	defaultPath      = "/dewhitch/planners"
	defaultSessionMS = 4000
	leastSessionMS   = 100
)

// LoadLimits reads and checks the limits file.
func LoadLimits(path string) (*Limits, error) {
	var f struct {
		Listen   string
		Registry struct {
			Servers   []string
			Path      string
			SessionMS int `toml:"session_ms"`
		}
		Forward struct {
			Listen            string
			Gateways, Sockets int
			MemoryMB          int `toml:"memory_mb"`
		}
	}
	if _, err := toml.DecodeFile(path, &f); err != nil {
		var wrong toml.ParseError
		if errors.As(err, &wrong) && wrong.LastKey != "" {
			return nil, fault(path, "%s: %s", wrong.LastKey, wrong.Message)
		}
		return nil, fault(path, "%v", err)
	}
	l := &Limits{Listen: f.Listen, Registry: Registry{f.Registry.Servers, f.Registry.Path,
		time.Duration(or(f.Registry.SessionMS, defaultSessionMS)) * time.Millisecond},
		Forward: Forward{f.Forward.Listen, f.Forward.Gateways, or(f.Forward.Sockets, defaultSockets),
			or(f.Forward.MemoryMB, defaultMemoryMB)}}
	if l.Registry.Path == "" {
		l.Registry.Path = defaultPath
	}
	if l.Listen != "" {
		if err := address("listen", l.Listen); err != nil {
			return nil, err
		}
	}
	for _, s := range l.Registry.Servers {
		if err := address("registry.servers", s); err != nil {
			return nil, err
		}
	}
	switch {
	case !strings.HasPrefix(l.Registry.Path, "/") || strings.HasSuffix(l.Registry.Path, "/"):
		return nil, fault("registry.path", "%q is not a path such as %s", l.Registry.Path, defaultPath)
	case l.Registry.Session < leastSessionMS*time.Millisecond:
		return nil, fault("registry.session_ms", "%d; it needs %d at least", f.Registry.SessionMS, leastSessionMS)
	}
	return l, nil
}

// CheckForward checks what only a forwarder needs.
func (l *Limits) CheckForward() error {
	if err := address("forward.listen", l.Forward.Listen); err != nil {
		return err
	}
	switch {
	case len(l.Registry.Servers) == 0:
		return fault("registry.servers", "missing; a forwarder finds the planners there")
	case l.Forward.Gateways < 1:
		return fault("forward.gateways", "%d; it needs 1 at least", l.Forward.Gateways)
	case l.Forward.MemoryMB < leastMemoryMB:
		return fault("forward.memory_mb", "%d; it needs %d at least", l.Forward.MemoryMB, leastMemoryMB)
	case l.Forward.Sockets < leastSockets:
		return fault("forward.sockets", "%d; it needs %d at least", l.Forward.Sockets, leastSockets)
	}
	return nil
}
