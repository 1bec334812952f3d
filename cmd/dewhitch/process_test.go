package main_test

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"dewhitch/internal/standin"
)

// process is a program under test. mu guards its output, which is collected in memory.
type process struct {
	cmd        *exec.Cmd
	configPath string // path of the program's configuration
	mu         sync.Mutex
	output     bytes.Buffer
	exited     chan error // holds the error of Wait once the program has ended
}

// Write implements io.Writer for the program's output.
func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.Write(b)
}

// log returns the program's output so far. It is empty if p is nil.
func (p *process) log() string {
	if p == nil {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.output.String()
}

// wait waits for the program's end and returns its error. It can be called several times.
func (p *process) wait() error {
	select {
	case err := <-p.exited:
		p.exited <- err
		return err
	case <-time.After(waitLimit):
		return fmt.Errorf("the program has not ended after 20 s")
	}
}

// environment is what a gateway needs to run: its addresses and settings, and stand-ins for all services that it connects to.
type environment struct {
	t                      testing.TB
	listenAddr, limitsAddr string
	adminAddr              string   // the operators' address of the program that was started last
	sharedTempDir          string   // $TMPDIR that all programs share, or empty if each has its own
	overrides              []string // JSON objects that are merged into the configuration
	instance               int      // number of the gateway among its peers
	backends               *manualBackends
	counter                *standin.Counter
	discovery              *standin.Discovery
	serverList             []string // entries of the servers that limit has started
	discoveryAddr          string   // address at which programs reach discovery, or empty for its own
	registryAddr           string   // address of a ZooKeeper stand-in, or empty
	operatorAddr           string   // address of the operators' listener, or empty
	extraOperations        string   // text appended to the operators' file
	forwardMemoryMB        int      // memory of a forwarder in MiB, or 0 for its default
	withoutLedger          bool     // the ledger is off, as it is on the platform
	program                string   // path of the program to start, or empty for the one under test
}

// newEnvironment returns an environment with one server, in which no program runs yet. Its stand-ins end with the test.
func newEnvironment(t testing.TB) *environment {
	env := &environment{t: t, listenAddr: standin.OwnAddr(), limitsAddr: standin.OwnAddr(), backends: newManualBackends(t), counter: newCounter(t)}
	env.discovery = newDiscovery(t, env.members("s-00000001=up"), 41)
	return env
}

// members returns an endpoint list of the servers given as id=phase words, all of them at the backends' address.
func (env *environment) members(phases string) string {
	var list []string
	for member := range strings.FieldsSeq(phases) {
		id, phase, _ := strings.Cut(member, "=")
		list = append(list, standin.Member(id, env.backends.Addr(), phase))
	}
	return standin.Members(list...)
}

// config returns the node's configuration, with the overrides merged into it.
func (env *environment) config() []byte {
	text, err := os.ReadFile("testdata/node.json")
	if err != nil {
		env.t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		env.t.Fatal(err)
	}
	for _, overrideJSON := range append([]string{fmt.Sprintf(`{"listen":%q,"admin":%q,"discovery":%q,"counter":%q,"settings":{"MyNumber":%d}}`,
		env.listenAddr, env.adminAddr, env.discovery.Addr(), env.counter.Addr(), env.instance)}, env.overrides...) {
		var override map[string]any
		if err := json.Unmarshal([]byte(overrideJSON), &override); err != nil {
			env.t.Fatal(overrideJSON, err)
		}
		mergeJSON(c, override)
	}
	text, _ = json.Marshal(c)
	return text
}

// mergeJSON merges overrides into target: objects member by member, and other values by replacing them.
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

// command writes the program's files to a new folder and returns a command that runs it with them.
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
	limits := fmt.Sprintf("listen = %q\n[registry]\nservers = [%s]\nsession_ms = 1000\n[forward]\nlisten = %q\ngateways = 3\nmemory_mb = %d\n",
		env.limitsAddr, servers, env.listenAddr, cmp.Or(env.forwardMemoryMB, 192))
	os.WriteFile(filepath.Join(dir, "limits.toml"), []byte(limits), 0o600)
	env.adminAddr = standin.OwnAddr() // each program of an environment has its own
	os.WriteFile(filepath.Join(dir, "config.json"), env.config(), 0o600)
	operations := fmt.Sprintf("[ledger]\nenabled = %v\naudit_ms = 50\nstatement_ms = 300\nsegment_mb = 1\ndir = %q\n"+
		"[operator]\nlisten = %q\n%s", !env.withoutLedger, filepath.Join(dir, "ledger"), env.operatorAddr, env.extraOperations)
	os.WriteFile(filepath.Join(dir, "operations.toml"), []byte(operations), 0o600)
	cmd := exec.Command(cmp.Or(env.program, program), append([]string{"--limits", filepath.Join(dir, "limits.toml"),
		"--operations", filepath.Join(dir, "operations.toml")}, args...)...)
	// As on the platform, each gateway has its own folder for the state that a process passes to the next one.
	cmd.Env = append(os.Environ(), "TMPDIR="+tempDir, "NODE_CONFIG="+filepath.Join(dir, "config.json"),
		"NODE_DISCOVERY="+cmp.Or(env.discoveryAddr, env.discovery.Addr()))
	return cmd
}

// start starts the program and waits until it listens.
func (env *environment) start(args ...string) *process { return env.startCommand(env.command(args...)) }

// startCommand starts the command as start does. The process is killed at the end of the test.
func (env *environment) startCommand(cmd *exec.Cmd) *process {
	p := &process{cmd: cmd, exited: make(chan error, 1)}
	for _, variable := range cmd.Env {
		if path, found := strings.CutPrefix(variable, "NODE_CONFIG="); found {
			p.configPath = path
		}
	}
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := p.cmd.Start(); err != nil {
		env.t.Fatal(err)
	}
	go func() { p.exited <- p.cmd.Wait() }()
	env.t.Cleanup(func() {
		p.cmd.Process.Kill()
		p.wait()
		// The program's ledger must add up at any time, whatever a test does.
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
		p.cmd.Process.Signal(syscall.SIGQUIT) // the runtime then prints where every goroutine is
		env.t.Fatalf("the program does not listen; its end: %v\n%s", p.wait(), p.log())
	}
	return p
}

// runToFailure runs the program, which must end with an error, and returns its output.
func (env *environment) runToFailure(args ...string) string {
	out, err := env.command(args...).CombinedOutput()
	if err == nil {
		env.t.Fatalf("the program ended without an error, expected one: %s", out)
	}
	return string(out)
}
