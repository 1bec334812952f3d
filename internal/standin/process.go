package standin

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// listenPollInterval is the time between two attempts of Start to connect to the process.
const listenPollInterval = 5 * time.Millisecond

// Process is a gateway process that a run starts, ends and restarts: its folder, its files and its incarnations, of which at most
// one runs at a time. Write and RemoveState must not run concurrently; the other methods may be called from any goroutine.
type Process struct {
	Name      string
	Dir       string
	Listen    string // listen address for clients
	Path      string // path of the program
	Args      []string
	Env       []string     // variables added to the calling process's environment
	OnLogLine func(string) // called for each line of the log; may be nil

	written map[string]bool // names of the files that Write wrote

	mu        sync.Mutex
	program   *Program // latest incarnation; nil before the first
	endedLogs []string // logs of incarnations that have ended
	killCount int
}

// Write writes files, keyed by name, into the process's folder.
func (p *Process) Write(files map[string]string) error {
	if err := os.MkdirAll(p.Dir, 0o750); err != nil {
		return err
	}
	if p.written == nil {
		p.written = map[string]bool{}
	}
	for name, text := range files {
		p.written[name] = true
		if err := os.WriteFile(p.File(name), []byte(text), 0o640); err != nil {
			return err
		}
	}
	return nil
}

// File returns the path of a file in the process's folder.
func (p *Process) File(name string) string { return filepath.Join(p.Dir, name) }

// Spawn starts an incarnation without waiting until it listens.
func (p *Process) Spawn() (*Program, error) {
	cmd := exec.Command(p.Path, p.Args...)
	// As on the platform, the incarnations of a process share a folder for what they pass on, and no other process has it.
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+p.File("config.json"), "TMPDIR="+p.Dir)
	cmd.Env = append(cmd.Env, p.Env...)
	program, err := Start(cmd, p.OnLogLine)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.program = program
	return program, nil
}

// Start starts an incarnation and waits until it listens. The error after the timeout, or after the incarnation's early exit,
// contains its log.
func (p *Process) Start(timeout time.Duration) error {
	program, err := p.Spawn()
	if err != nil {
		return err
	}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(listenPollInterval) {
		if c, err := Dial(p.Listen, time.Second); err == nil {
			c.Close()
			return nil
		}
		if program.Ended() {
			break
		}
	}
	return fmt.Errorf("%s does not listen at %s: %s", p.Name, p.Listen, program.Log())
}

// Program returns the latest incarnation, or nil before the first one.
func (p *Process) Program() *Program {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.program
}

// Kill kills the latest incarnation, if there is one, by SIGKILL.
func (p *Process) Kill() {
	program := p.Program()
	if program == nil {
		return
	}
	program.Kill()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedLogs = append(p.endedLogs, program.Log())
	p.killCount++
}

// Terminate sends SIGTERM to the incarnation, as a planned restart does, and waits for its exit as AwaitExit does.
func (p *Process) Terminate(timeout time.Duration) error {
	p.Program().Cmd.Process.Signal(syscall.SIGTERM)
	return p.AwaitExit(timeout)
}

// AwaitExit waits for the exit of the latest incarnation and sends it no signal. It returns nil after a clean exit. Otherwise, the
// error contains the log and wraps the error of the exit, or ErrStillRunning after the timeout.
func (p *Process) AwaitExit(timeout time.Duration) error {
	program := p.Program()
	if err := program.Wait(timeout); err != nil {
		return fmt.Errorf("%s does not exit cleanly at SIGTERM: %w\n%s", p.Name, err, program.Log())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedLogs = append(p.endedLogs, program.Log())
	return nil
}

// RemoveState removes the files that the incarnations stored in the folder, that is, all except those that Write wrote.
func (p *Process) RemoveState() error {
	entries, err := os.ReadDir(p.Dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if p.written[e.Name()] {
			continue
		}
		if err := os.RemoveAll(p.File(e.Name())); err != nil {
			return err
		}
	}
	return nil
}

// Kills returns how often Kill has killed an incarnation.
func (p *Process) Kills() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killCount
}

// FindInLogs returns the first line in the logs of ended incarnations that contains one of the texts. It returns false if there
// is none.
func (p *Process) FindInLogs(texts ...string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, log := range p.endedLogs {
		for line := range strings.SplitSeq(log, "\n") {
			if containsAny(line, texts) {
				return line, true
			}
		}
	}
	return "", false
}

func containsAny(line string, texts []string) bool {
	for _, text := range texts {
		if strings.Contains(line, text) {
			return true
		}
	}
	return false
}
