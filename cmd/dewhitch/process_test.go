package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"dewhitch/internal/standin"
)

// process is a running program.
type process struct {
	cmd        *exec.Cmd
	configPath string // where its configuration is
	mu         sync.Mutex
	output     bytes.Buffer
	exited     chan error
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(b)
}

func (p *process) log() string {
	if p == nil {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

func (p *process) wait() error {
	select {
	case err := <-p.exited:
		p.exited <- err
		return err
	case <-time.After(waitLimit):
		return fmt.Errorf("the program goes on")
	}
}

// environment is one gateway's surroundings: stand-ins for everything that it speaks to.
type environment struct {
	t                      *testing.T
	listenAddr, limitsAddr string
	adminAddr              string // the operators' address of the program started last
	sharedTempDir          string // $TMPDIR that its programs share; empty: one each
	overrides              []string
	instance               int
	backends               *manualBackends
	counter                *standin.Counter
	discovery              *standin.Discovery
	registryAddr           string // address of a ZooKeeper stand-in, or empty
	operatorAddr           string // address of the operators' listener, or empty
	extraOperations        string // more of the operators' file
}

func newEnvironment(t *testing.T) *environment {
	w := &environment{t: t, listenAddr: standin.OwnAddr(), limitsAddr: standin.OwnAddr(), backends: newManualBackends(t), counter: newCounter(t)}
	w.discovery = newDiscovery(t, w.members("s-00000001=up"), 41)
	return w
}

func (env *environment) members(phases string) string {
	var list []string
	for m := range strings.FieldsSeq(phases) {
		id, phase, _ := strings.Cut(m, "=")
		list = append(list, standin.Member(id, env.backends.Addr(), phase))
	}
	return standin.Members(list...)
}

// config is the node's configuration, with the overrides laid over it.
func (env *environment) config() []byte {
	text, err := os.ReadFile("testdata/node.json")
	if err != nil {
		env.t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		env.t.Fatal(err)
	}
	for _, o := range append([]string{fmt.Sprintf(`{"listen":%q,"admin":%q,"discovery":%q,"counter":%q,"settings":{"MyNumber":%d}}`,
		env.listenAddr, env.adminAddr, env.discovery.Addr(), env.counter.Addr(), env.instance)}, env.overrides...) {
		var override map[string]any
		if err := json.Unmarshal([]byte(o), &override); err != nil {
			env.t.Fatal(o, err)
		}
		mergeJSON(c, override)
	}
	text, _ = json.Marshal(c)
	return text
}

func mergeJSON(target, overrides map[string]any) {
	for k, v := range overrides {
		a, ok1 := target[k].(map[string]any)
		if b, ok2 := v.(map[string]any); ok1 && ok2 {
			mergeJSON(a, b)
		} else {
			target[k] = v
		}
	}
}

func (env *environment) command(args ...string) *exec.Cmd {
	dir := env.t.TempDir()
	tempDir := dir
	if env.sharedTempDir != "" {
		tempDir = env.sharedTempDir
	}
	servers := ""
	if env.registryAddr != "" {
		servers = strconv.Quote(env.registryAddr)
	}
	limits := fmt.Sprintf("listen = %q\n[registry]\nservers = [%s]\nsession_ms = 1000\n[forward]\nlisten = %q\ngateways = 3\n",
		env.limitsAddr, servers, env.listenAddr)
	os.WriteFile(filepath.Join(dir, "limits.toml"), []byte(limits), 0o600)
	env.adminAddr = standin.OwnAddr() // each program of a world has one of its own
	os.WriteFile(filepath.Join(dir, "config.json"), env.config(), 0o600)
	operations := fmt.Sprintf("[ledger]\nenabled = true\naudit_ms = 50\nstatement_ms = 300\nsegment_mb = 1\ndir = %q\n"+
		"[operator]\nlisten = %q\n%s", filepath.Join(dir, "ledger"), env.operatorAddr, env.extraOperations)
	os.WriteFile(filepath.Join(dir, "operations.toml"), []byte(operations), 0o600)
	cmd := exec.Command(program, append([]string{"--limits", filepath.Join(dir, "limits.toml"),
		"--operations", filepath.Join(dir, "operations.toml")}, args...)...)
	// As on the platform, each gateway has a folder of its own for what one process hands to the next.
	cmd.Env = append(os.Environ(), "TMPDIR="+tempDir, "NODE_CONFIG="+filepath.Join(dir, "config.json"),
		"NODE_DISCOVERY="+env.discovery.Addr())
	return cmd
}

// start starts the program and waits until it listens.
func (env *environment) start(args ...string) *process { return env.startCommand(env.command(args...)) }

func (env *environment) startCommand(cmd *exec.Cmd) *process {
	p := &process{cmd: cmd, exited: make(chan error, 1)}
	p.configPath = strings.TrimPrefix(p.cmd.Env[len(p.cmd.Env)-2], "NODE_CONFIG=")
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := p.cmd.Start(); err != nil {
		env.t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	env.t.Cleanup(func() {
		p.cmd.Process.Kill()
		p.wait()
		// Whatever a test does, the program's ledger must add up all the while.
		if log := p.log(); strings.Contains(log, "the books do not add up") || strings.Contains(log, "could not be kept") {
			env.t.Errorf("the ledger raised an alarm\n%s", log)
		}
	})
	if !eventually(func() bool {
		c, err := net.Dial("tcp", env.listenAddr)
		if err == nil {
			c.Close()
		}
		return err == nil || len(p.exited) > 0
	}) || len(p.exited) > 0 {
		env.t.Fatalf("the program does not listen\n%s", p.log())
	}
	return p
}

// runToFailure runs the program to an end that must be a failure, and returns what it says.
func (env *environment) runToFailure(args ...string) string {
	out, err := env.command(args...).CombinedOutput()
	if err == nil {
		env.t.Fatalf("it ended well: %s", out)
	}
	return string(out)
}
