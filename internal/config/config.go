// Package config is the one place where configuration is read, checked and given defaults: the environment,
// the node's JSON and the limits file. Every message names the key at fault; unknown keys are skipped.
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

// Node is what one gateway is told at its start.
type Node struct {
	Name, Listen, Discovery, Counter string
	Admin                            string // the operators' address; empty: none
	InheritedFD                      int    // the descriptor of the clients' listening socket, handed down; 0: none
	TempDir                          string // $TMPDIR: shared with the process that replaces this one
	Seed                             uint64
	Cores                            float64
	MemoryMB, Sockets                int
	KnownList                        json.RawMessage // the list as last held, in discovery's form; may be nil
	Settings                         dw.Settings
	Names                            settings.Names
}

// The defaults, where the configuration leaves a limit out.
const (
	defaultCores    = 1.0
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minMemoryMB     = 32
	minSockets      = 64

	minInheritedFD = 3 // behind the standard streams
)

// nodeFile mirrors the node's JSON.
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

// Error is a fault of the configuration. Key is where it stands: a key, an environment variable, or a file and its line.
type Error struct {
	Key, Problem string
}

// Error implements error.
func (e *Error) Error() string { return "configuration: " + e.Key + ": " + e.Problem }

// newError makes the error of a key.
func newError(key, format string, args ...any) error {
	return &Error{key, fmt.Sprintf(format, args...)}
}

// LoadNode reads the environment through getenv, and the file that it names.
func LoadNode(getenv func(string) string) (*Node, error) {
	return loadNode(getenv, false)
}

// ReloadNode reads the same anew, all of it. It guards against a change that goes unheard: the environment keeps the
// discovery's address of the start, and the file's, which is newer, must not lose to it.
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
		return nil, err // nothing of a file with a fault is taken
	}
	return n, nil
}

// readEnvironment takes what the environment says, which goes before the file. At a reload the file's discovery address goes
// before the environment's, which is still that of the start.
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
		// Descriptors 0 to 2 are the standard streams; taking one for a listener would end the log.
		if n.InheritedFD, err = strconv.Atoi(fd); err != nil || n.InheritedFD < minInheritedFD {
			return newError("NODE_FD", "%q is not a descriptor above 2", fd)
		}
	}
	if n.TempDir = getenv("TMPDIR"); n.TempDir == "" {
		n.TempDir = os.TempDir()
	}
	return nil
}

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

// orDefault returns v, or the default where it is left out.
func orDefault[T int | float64](v, defaultValue T) T {
	if v == 0 {
		return defaultValue
	}
	return v
}

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

// KeysNeedingRestart names the keys in which m differs from n and which are read at the start only. Of the settings, classes and
// attempts are retuned while the program runs.
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

// LongestDeadline is the longest deadline of a class.
func (n *Node) LongestDeadline() (longest time.Duration) {
	for _, c := range n.Settings.Classes {
		longest = max(longest, time.Duration(c.Deadline))
	}
	return longest
}
