//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dewhitch/internal/standin"
)

// Limits of the pages.
const (
	leftBound = 150 * time.Millisecond  // an attempt may begin until 0.1 s after its client's close; on sockets 50 ms longer
	killAfter = 3700 * time.Millisecond // from SIGTERM to SIGKILL at least: the longest deadline, counted as 3 s, and 0.7 s
)

// scene holds what a case has started, and its record.
type scene struct {
	trouble    bool // whether the disruption takes place
	started    time.Time
	folder     string
	temp       string
	runLine    string // run line of the deploy file
	endedEarly error  // set if a process ended that was not told to

	mu        sync.Mutex
	record    *os.File
	processes []*process
	closers   []func()
}

// newScene opens the record and a temporary folder, and reads the deploy file of the current directory.
func newScene(folder string, trouble bool) (*scene, error) {
	s := &scene{trouble: trouble, folder: folder, started: time.Now()}
	var err error
	if s.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		return nil, err
	}
	deploy, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return nil, err
	}
	m := regexp.MustCompile(`(?m)^run = "(.*)"$`).FindSubmatch(deploy)
	if m == nil {
		return nil, fmt.Errorf("deploy/balancer.toml has no run line")
	}
	s.runLine = string(m[1])
	if _, err := os.Stat("bin/dewhitch"); err != nil {
		return nil, fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	s.temp, err = os.MkdirTemp("", "review2-")
	s.note("disruption: %v", trouble)
	return s, err
}

// note writes a line with the time since the start to the record.
func (s *scene) note(format string, args ...any) {
	at := time.Now()
	s.noteAt(at, format, args...)
}

func (s *scene) noteAt(at time.Time, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.record, "%9.4f s  %s\n", at.Sub(s.started).Seconds(), fmt.Sprintf(format, args...))
}

// later registers a function that close calls.
func (s *scene) later(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closers = append(s.closers, f)
}

// close ends all processes and stand-ins, and removes the temporary folder.
func (s *scene) close() {
	s.mu.Lock()
	processes, closers := s.processes, s.closers
	s.mu.Unlock()
	for _, p := range processes {
		if !p.expected.Load() && p.Ended() {
			s.endedEarly = fmt.Errorf("%s ended by itself", p.name)
		}
		p.Kill()
		if os.Getenv("LOGS") != "" {
			_ = os.WriteFile(filepath.Join(os.Getenv("LOGS"), p.name+".log"), []byte(p.Log()), 0o644)
		}
	}
	for _, f := range closers {
		f()
	}
	os.RemoveAll(s.temp)
}

// freeAddr returns a free loopback address.
func freeAddr() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// process is a program that a case has started.
type process struct {
	*standin.Program
	name     string
	expected atomic.Bool // whether the case ends the process itself
}

// start starts a shell command in the root of the repository with variables added to the environment.
func (s *scene) start(name, line string, env ...string) (*process, error) {
	cmd := exec.Command("/bin/sh", "-c", line)
	cmd.Env = append(os.Environ(), env...)
	program, err := standin.Start(cmd, nil)
	if err != nil {
		return nil, err
	}
	p := &process{Program: program, name: name}
	s.mu.Lock()
	s.processes = append(s.processes, p)
	s.mu.Unlock()
	s.note("%s started: %s", name, line)
	return p, nil
}

// gateway describes a gateway of a case.
type gateway struct {
	name       string
	config     standin.Config
	known      string // list in discovery's form
	limits     string // path of a limits file; the deploy file's default if empty
	change     func(map[string]any)
	limitsAddr string // listen of the limits file
	tempDir    string
	file       string
	discovery  string // NODE_DISCOVERY
	*process
}

// write writes the gateway's configuration, replaced as a whole.
func (g *gateway) write() error {
	text, err := g.config.JSON()
	if err != nil {
		return err
	}
	var object map[string]any
	if err := json.Unmarshal([]byte(text), &object); err != nil {
		return err
	}
	if g.known != "" {
		object["known"] = json.RawMessage(g.known)
	}
	if g.change != nil {
		g.change(object)
	}
	out, err := json.Marshal(object)
	if err != nil {
		return err
	}
	if err := os.WriteFile(g.file+".new", out, 0o644); err != nil {
		return err
	}
	return os.Rename(g.file+".new", g.file)
}

// startGateway writes the configuration of a gateway, starts it by the deploy file's run line, and waits for its first +PONG.
func (s *scene) startGateway(g *gateway) error {
	g.tempDir = filepath.Join(s.temp, g.name)
	if err := os.MkdirAll(g.tempDir, 0o755); err != nil {
		return err
	}
	g.file = filepath.Join(s.temp, g.name+".json")
	g.discovery = g.config.Discovery
	if err := g.write(); err != nil {
		return err
	}
	line := s.runLine
	if g.limits != "" {
		line += " --limits " + g.limits
	}
	var err error
	g.process, err = s.start(g.name, line, "NODE_NAME="+g.config.Name, "NODE_LISTEN="+g.config.Listen, "NODE_DISCOVERY="+g.discovery,
		"NODE_CONFIG="+g.file, "NODE_ADMIN="+g.config.Admin, "TMPDIR="+g.tempDir)
	if err != nil {
		return err
	}
	return awaitPong(g.config.Listen, 15*time.Second)
}

// awaitPong waits until a gateway answers PING with +PONG.
func awaitPong(addr string, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if answer, err := ask(addr, time.Second, "PING"); err == nil && answer.Kind == '+' && answer.Text == "PONG" {
			return nil
		}
	}
	return fmt.Errorf("%s did not answer PING", addr)
}

// ask sends a command on a new connection and returns the answer.
func ask(addr string, limit time.Duration, args ...string) (standin.Reply, error) {
	c, err := standin.Dial(addr, limit)
	if err != nil {
		return standin.Reply{}, err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(limit))
	if err := c.Send(args); err != nil {
		return standin.Reply{}, err
	}
	return c.Reply()
}

// call makes an operators' call and returns the answer's first line.
func call(addr, line string) (string, error) {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write([]byte(line + "\n")); err != nil {
		return "", err
	}
	b := make([]byte, 4096)
	n, err := c.Read(b)
	first, _, _ := strings.Cut(string(b[:n]), "\n")
	return first, err
}

// classes and plans are those of a small deployment of booking servers.
func classes() []standin.Class {
	return []standin.Class{
		{Name: "space-query", Effect: "safe", Group: "all", Aim: 1500 * time.Millisecond, Deadline: 4 * time.Second, DedupWindow: 5 * time.Second, Points: 1},
		{Name: "booking", Effect: "keyed", Group: "all", Aim: 2 * time.Second, Deadline: 5 * time.Second, DedupWindow: 3 * time.Second, Points: 5},
	}
}

func plans() []standin.Plan {
	return []standin.Plan{
		{Name: "basic", QuotaRate: 0.85, Depth: 3, OverrunCost: 0.8, Pays: 0.8},
		{Name: "regular", QuotaRate: 2.4, Depth: 9, BeyondEarns: 0.2, Pays: 1.1},
		{Name: "fleet", QuotaRate: 9.2, Depth: 14, CapRate: 20, HardBurst: 34, Tolerance: 3, OverrunCost: 1, Pays: 1.4, Open: 7},
	}
}
