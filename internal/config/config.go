// Package config reads and checks all configuration and sets its defaults: the environment, the node's JSON, and the limits,
// operations and fleet files. Every error names the faulty key. Unknown keys are ignored, except in the operations and fleet
// files.
package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"reflect"
	"strconv"
	"time"

	dw "dewhitch"
	"dewhitch/internal/config/settings"
)

// Node is the configuration of one gateway. Addresses have the form host:port.
type Node struct {
	Name        string          // name of the gateway's node
	Listen      string          // address of the clients' listener
	Discovery   string          // address of the discovery service
	Counter     string          // address of the shared counter; required if Settings.Counter is true
	Admin       string          // address of the listener for operators' calls; empty if there is none
	InheritedFD int             // descriptor of the clients' listening socket, inherited from the parent; 0 if there is none
	TempDir     string          // $TMPDIR, shared with the process that replaces this one
	Seed        uint64          // seed of the random numbers of the decision module and of discovery
	Cores       float64         // number of CPU cores that the process may use; default 1
	MemoryMB    int             // memory that the process may use, in MiB; default 192, at least 32
	Sockets     int             // number of sockets that the process may open; default 1024, at least 64
	KnownList   json.RawMessage // last known endpoint list, in discovery's format; may be nil
	Settings    dw.Settings     // settings of the decision module
	Names       settings.Names  // names that the settings refer to by index
}

// Defaults and minimum values of the limits.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 32
	minSockets      = 64

	minInheritedFD = 3 // first descriptor after the standard streams
)

// nodeFile mirrors the node's JSON file.
type nodeFile struct {
	Name      string `json:"name"`
	Listen    string `json:"listen"`
	Discovery string `json:"discovery"`
	Seed      string `json:"seed"`
	Counter   string `json:"counter"`
	Admin     string `json:"admin"`
	Limits    struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Error is a fault of the configuration. Key is its place: a key, an environment variable, or a file with the line.
type Error struct {
	Key, Problem string
}

// Error implements error.
func (e *Error) Error() string { return "configuration: " + e.Key + ": " + e.Problem }

// newError returns an Error for a key.
func newError(key, format string, args ...any) error {
	return &Error{key, fmt.Sprintf(format, args...)}
}

// LoadNode reads the environment through getenv, and the file that NODE_CONFIG names. Environment variables take precedence over
// the file. All errors are of type *Error.
func LoadNode(getenv func(string) string) (*Node, error) {
	return loadNode(getenv, false)
}

// ReloadNode reads the environment and the file again, as LoadNode does, but the file's address of discovery takes precedence.
// The environment still has the address of the process's start, which would hide a change in the file.
func ReloadNode(getenv func(string) string) (*Node, error) {
	return loadNode(getenv, true)
}

func loadNode(getenv func(string) string, reload bool) (*Node, error) {
	path := getenv("NODE_CONFIG")
	if path == "" {
		return nil, newError("NODE_CONFIG", "not set")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, newError("NODE_CONFIG", "%v", err)
	}
	return parseNode(text, getenv, reload)
}

func parseNode(text []byte, getenv func(string) string, reload bool) (*Node, error) {
	var f nodeFile
	if err := json.Unmarshal(text, &f); err != nil {
		var typeErr *json.UnmarshalTypeError
		if errors.As(err, &typeErr) && typeErr.Field != "" {
			return nil, newError(typeErr.Field, "a %s does not belong here", typeErr.Value)
		}
		return nil, newError("NODE_CONFIG", "not JSON: %v", err)
	}
	n := &Node{Name: f.Name, Listen: f.Listen, Discovery: f.Discovery, Counter: f.Counter, Admin: f.Admin, Cores: f.Limits.Cores,
		MemoryMB: f.Limits.MemoryMB, Sockets: f.Limits.Sockets, KnownList: f.Known}
	if err := n.readEnvironment(getenv, reload); err != nil {
		return nil, err
	}
	var err error
	if n.Seed, err = strconv.ParseUint(f.Seed, 16, 64); err != nil {
		return nil, newError("seed", "%q is not a number of up to 16 hex digits", f.Seed)
	}
	if len(f.Settings) == 0 {
		return nil, newError("settings", "missing")
	}
	if n.Settings, n.Names, err = settings.Decode(f.Settings); err != nil {
		return nil, newError("settings", "%v", err)
	}
	if err = n.Settings.Check(); err != nil {
		return nil, newError("settings", "%v", err)
	}
	if err := n.check(); err != nil {
		return nil, err // a file with any error is rejected as a whole
	}
	return n, nil
}

// readEnvironment applies the environment, which takes precedence over the file. At a reload the file's address of discovery
// takes precedence, because the environment still has the address of the process's start.
func (n *Node) readEnvironment(getenv func(string) string, reload bool) (err error) {
	for _, v := range []struct {
		to       *string
		variable string
	}{{&n.Name, "NODE_NAME"}, {&n.Listen, "NODE_LISTEN"}, {&n.Discovery, "NODE_DISCOVERY"}, {&n.Admin, "NODE_ADMIN"}} {
		fileWins := reload && v.to == &n.Discovery && *v.to != ""
		if s := getenv(v.variable); s != "" && !fileWins {
			*v.to = s
		}
	}
	if fd := getenv("NODE_FD"); fd != "" {
		// Descriptors 0 to 2 are the standard streams. Using one of them as a listener would break the log.
		if n.InheritedFD, err = strconv.Atoi(fd); err != nil || n.InheritedFD < minInheritedFD {
			return newError("NODE_FD", "%q is not a descriptor above 2", fd)
		}
	}
	if n.TempDir = getenv("TMPDIR"); n.TempDir == "" {
		n.TempDir = os.TempDir()
	}
	return nil
}

// check returns an error for the first invalid value, and sets the defaults of the limits.
func (n *Node) check() error {
	if n.Name == "" {
		return newError("name (NODE_NAME)", "missing")
	}
	for _, v := range []struct{ key, addr string }{{"listen (NODE_LISTEN)", n.Listen},
		{"discovery (NODE_DISCOVERY)", n.Discovery}} {
		if err := checkAddress(v.key, v.addr); err != nil {
			return err
		}
	}
	if n.Admin != "" {
		if err := checkAddress("admin (NODE_ADMIN)", n.Admin); err != nil {
			return err
		}
	}
	if n.Counter != "" || n.Settings.Counter {
		if err := checkAddress("counter", n.Counter); err != nil {
			return err
		}
	}
	n.Cores, n.MemoryMB, n.Sockets = orDefault(n.Cores, defaultCores), orDefault(n.MemoryMB, defaultMemoryMB), orDefault(n.Sockets, defaultSockets)
	switch {
	case n.Cores < 0:
		return newError("limits.cores", "%v is below 0", n.Cores)
	case n.MemoryMB < minMemoryMB:
		return newError("limits.memory_mb", "%d; it needs %d at least", n.MemoryMB, minMemoryMB)
	case n.Sockets < minSockets:
		return newError("limits.sockets", "%d; it needs %d at least", n.Sockets, minSockets)
	}
	return nil
}

// orDefault returns v, or defaultValue if v is 0.
func orDefault[T int | float64](v, defaultValue T) T {
	if v == 0 {
		return defaultValue
	}
	return v
}

// checkAddress returns an error unless addr has the form host:port with a port from 1 to 65535.
func checkAddress(key, addr string) error {
	if addr == "" {
		return newError(key, "missing")
	}
	_, port, err := net.SplitHostPort(addr)
	if err != nil {
		return newError(key, "%q is not host:port", addr)
	}
	if p, err := strconv.ParseUint(port, 10, 16); err != nil || p == 0 {
		return newError(key, "%q has no port from 1 to 65535", addr)
	}
	return nil
}

// KeysNeedingRestart returns the keys that differ between n and other and that are only read at the start of the process. Of the
// settings, Classes and MaxAttempts take effect at a reload.
func (n *Node) KeysNeedingRestart(other *Node) (keys []string) {
	oldSettings, newSettings, oldNames, newNames := n.Settings, other.Settings, n.Names, other.Names
	oldSettings.Classes, oldSettings.MaxAttempts, oldNames.Classes = newSettings.Classes, newSettings.MaxAttempts, newNames.Classes
	for _, v := range []struct {
		key  string
		same bool
	}{{"name", n.Name == other.Name}, {"listen", n.Listen == other.Listen}, {"limits.cores", n.Cores == other.Cores},
		{"limits.memory_mb", n.MemoryMB == other.MemoryMB}, {"limits.sockets", n.Sockets == other.Sockets},
		{"settings", reflect.DeepEqual(oldSettings, newSettings) && reflect.DeepEqual(oldNames, newNames)}} {
		if !v.same {
			keys = append(keys, v.key)
		}
	}
	return keys
}

// LongestDeadline returns the longest deadline of all classes.
func (n *Node) LongestDeadline() (longest time.Duration) {
	for _, c := range n.Settings.Classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	return longest
}
