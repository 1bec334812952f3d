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

// listenPollInterval is how often Start tries whether the process listens.
const listenPollInterval = 5 * time.Millisecond

// Process is a gateway process that a run starts, ends and starts again: its folder and files, and its incarnations, one at a time.
// Write and Forget are for one goroutine; the other methods may be called from any.
type Process struct {
	Name      string
	Dir       string
	Listen    string // address for clients
	Path      string // of the program
	Args      []string
	Env       []string     // added to the environment of this process
	OnLogLine func(string) // called for each line of the log; may be nil

	written map[string]bool // files that Write wrote

	mu        sync.Mutex
	program   *Program
	endedLogs []string // of earlier incarnations
	killCount int
}

// Write writes files, by name, into the process's folder.
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

// Spawn starts an incarnation and does not wait until it listens.
func (p *Process) Spawn() (*Program, error) {
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(append(os.Environ(), "NODE_CONFIG="+p.File("config.json")), p.Env...)
	program, err := Start(cmd, p.OnLogLine)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.program = program
	return program, nil
}

// Start starts an incarnation and waits until it listens; the error has its log.
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
	return fmt.Errorf("%s does not listen: %s", p.Name, program.Log())
}

// Program returns the latest incarnation; nil before the first.
func (p *Process) Program() *Program {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.program
}

// Kill kills the incarnation (SIGKILL), if there is one.
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

// Terminate ends the incarnation by SIGTERM, as a planned restart does, and waits for its end as Gone does.
func (p *Process) Terminate(timeout time.Duration) error {
	p.Program().Cmd.Process.Signal(syscall.SIGTERM)
	return p.AwaitExit(timeout)
}

// AwaitExit waits until the incarnation has ended by itself. The error is of its exit, or wraps ErrStillRunning; it has the log.
func (p *Process) AwaitExit(timeout time.Duration) error {
	program := p.Program()
	if err := program.Wait(timeout); err != nil {
		return fmt.Errorf("%s, at SIGTERM: %w\n%s", p.Name, err, program.Log())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endedLogs = append(p.endedLogs, program.Log())
	return nil
}

// RemoveState removes from the folder what the incarnations have stored, all but the files that Write wrote.
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

// Kills returns how often it was killed.
func (p *Process) Kills() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killCount
}

// FindInLogs returns the first line in the logs of ended incarnations that has one of the texts; false: there is none.
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
