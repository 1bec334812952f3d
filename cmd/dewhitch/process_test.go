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
	cmd    *exec.Cmd
	config string // where its configuration is
	mu     sync.Mutex
	out    bytes.Buffer
	over   chan error
}

func (p *process) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.Write(b)
}

func (p *process) log() string {
	if p == nil {
		return ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

func (p *process) wait() error {
	select {
	case err := <-p.over:
		p.over <- err
		return err
	case <-time.After(patience):
		return fmt.Errorf("the program goes on")
	}
}

// environment is one gateway's surroundings: stand-ins for everything that it speaks to.
type environment struct {
	t              *testing.T
	listen, limits string
	admin          string // the operators' address of the program started last
	scratch        string // $TMPDIR that its programs share; empty: one each
	override       []string
	self           int
	backends       *handBackends
	counter        *standin.Counter
	discovery      *standin.Discovery
	registry       string // address of a ZooKeeper stand-in, or empty
	operator       string // address of the operators' listener, or empty
	operations     string // more of the operators' file
}

func newEnvironment(t *testing.T) *environment {
	w := &environment{t: t, listen: standin.OwnAddr(), limits: standin.OwnAddr(), backends: newHandBackends(t), counter: newCounter(t)}
	w.discovery = newDiscovery(t, w.members("s-00000001=up"), 41)
	return w
}

func (w *environment) members(text string) string {
	var list []string
	for m := range strings.FieldsSeq(text) {
		id, phase, _ := strings.Cut(m, "=")
		list = append(list, standin.Member(id, w.backends.Addr(), phase))
	}
	return standin.Members(list...)
}

// config is the node's configuration, with the overrides laid over it.
func (w *environment) config() []byte {
	text, err := os.ReadFile("testdata/node.json")
	if err != nil {
		w.t.Fatal(err)
	}
	var c map[string]any
	if err := json.Unmarshal(text, &c); err != nil {
		w.t.Fatal(err)
	}
	for _, o := range append([]string{fmt.Sprintf(`{"listen":%q,"admin":%q,"discovery":%q,"counter":%q,"settings":{"MyNumber":%d}}`,
		w.listen, w.admin, w.discovery.Addr(), w.counter.Addr(), w.self)}, w.override...) {
		var over map[string]any
		if err := json.Unmarshal([]byte(o), &over); err != nil {
			w.t.Fatal(o, err)
		}
		lay(c, over)
	}
	text, _ = json.Marshal(c)
	return text
}

func lay(to, over map[string]any) {
	for k, v := range over {
		a, ok1 := to[k].(map[string]any)
		if b, ok2 := v.(map[string]any); ok1 && ok2 {
			lay(a, b)
		} else {
			to[k] = v
		}
	}
}

func (w *environment) command(args ...string) *exec.Cmd {
	dir := w.t.TempDir()
	scratch := dir
	if w.scratch != "" {
		scratch = w.scratch
	}
	servers := ""
	if w.registry != "" {
		servers = strconv.Quote(w.registry)
	}
	limits := fmt.Sprintf("listen = %q\n[registry]\nservers = [%s]\nsession_ms = 1000\n[forward]\nlisten = %q\ngateways = 3\n",
		w.limits, servers, w.listen)
	os.WriteFile(filepath.Join(dir, "limits.toml"), []byte(limits), 0o600)
	w.admin = standin.OwnAddr() // each program of a world has one of its own
	os.WriteFile(filepath.Join(dir, "config.json"), w.config(), 0o600)
	operations := fmt.Sprintf("[ledger]\nenabled = true\naudit_ms = 50\nstatement_ms = 300\nsegment_mb = 1\ndir = %q\n"+
		"[operator]\nlisten = %q\n%s", filepath.Join(dir, "ledger"), w.operator, w.operations)
	os.WriteFile(filepath.Join(dir, "operations.toml"), []byte(operations), 0o600)
	cmd := exec.Command(program, append([]string{"--limits", filepath.Join(dir, "limits.toml"),
		"--operations", filepath.Join(dir, "operations.toml")}, args...)...)
	// As on the platform, each gateway has a folder of its own for what one process hands to the next.
	cmd.Env = append(os.Environ(), "TMPDIR="+scratch, "NODE_CONFIG="+filepath.Join(dir, "config.json"),
		"NODE_DISCOVERY="+w.discovery.Addr())
	return cmd
}

// start starts the program and waits until it listens.
func (w *environment) start(args ...string) *process { return w.startCommand(w.command(args...)) }

func (w *environment) startCommand(cmd *exec.Cmd) *process {
	p := &process{cmd: cmd, over: make(chan error, 1)}
	p.config = strings.TrimPrefix(p.cmd.Env[len(p.cmd.Env)-2], "NODE_CONFIG=")
	p.cmd.Stdout, p.cmd.Stderr = p, p
	if err := p.cmd.Start(); err != nil {
		w.t.Fatal(err)
	}
	go func() { p.over <- p.cmd.Wait() }()
	w.t.Cleanup(func() {
		p.cmd.Process.Kill()
		p.wait()
		// Whatever a test does, the program's ledger must add up all the while.
		if log := p.log(); strings.Contains(log, "the books do not add up") || strings.Contains(log, "could not be kept") {
			w.t.Errorf("the ledger raised an alarm\n%s", log)
		}
	})
	if !eventually(func() bool {
		c, err := net.Dial("tcp", w.listen)
		if err == nil {
			c.Close()
		}
		return err == nil || len(p.over) > 0
	}) || len(p.over) > 0 {
		w.t.Fatalf("the program does not listen\n%s", p.log())
	}
	return p
}

// run runs the program to an end that must be a failure, and returns what it says.
func (w *environment) run(args ...string) string {
	out, err := w.command(args...).CombinedOutput()
	if err == nil {
		w.t.Fatalf("it ended well: %s", out)
	}
	return string(out)
}
