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

// Process is one process of the program in a run of several: its folder, its files, and its lives.
type Process struct {
	Name, Dir string
	Listen    string // where it takes clients
	Path      string // of the program
	Args      []string
	Env       []string     // beside the tool's own
	Line      func(string) // told of each line of its log; may be nil

	mu    sync.Mutex
	prog  *Program
	logs  []string // of earlier lives
	kills int
	given map[string]bool // the files that it was given
}

// Write writes the process's files into its folder.
func (p *Process) Write(files map[string]string) error {
	if err := os.MkdirAll(p.Dir, 0o750); err != nil {
		return err
	}
	if p.given == nil {
		p.given = map[string]bool{}
	}
	for name, text := range files {
		p.given[name] = true
		if err := os.WriteFile(filepath.Join(p.Dir, name), []byte(text), 0o640); err != nil {
			return err
		}
	}
	return nil
}

// File is the path of one of its files.
func (p *Process) File(name string) string { return filepath.Join(p.Dir, name) }

// Spawn starts it, and does not wait until it listens.
func (p *Process) Spawn() (*Program, error) {
	cmd := exec.Command(p.Path, p.Args...)
	cmd.Env = append(append(os.Environ(), "NODE_CONFIG="+p.File("config.json")), p.Env...)
	prog, err := Follow(cmd, p.Line)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.prog = prog
	return prog, nil
}

// Start starts it and waits until it listens.
func (p *Process) Start(patience time.Duration) error {
	prog, err := p.Spawn()
	if err != nil {
		return err
	}
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if c, err := Dial(p.Listen, time.Second); err == nil {
			c.Close()
			return nil
		}
		if prog.Over() {
			break
		}
	}
	return fmt.Errorf("%s does not listen: %s", p.Name, prog.Log())
}

// Program is its present life, or its last one; nil before the first.
func (p *Process) Program() *Program {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.prog
}

// Kill ends its life outright.
func (p *Process) Kill() {
	prog := p.Program()
	if prog == nil {
		return
	}
	prog.Kill()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logs = append(p.logs, prog.Log())
	p.kills++
}

// End has it end as at a planned restart.
func (p *Process) End(patience time.Duration) error {
	prog := p.Program()
	prog.Cmd.Process.Signal(syscall.SIGTERM)
	return p.Gone(patience)
}

// Gone waits until it has ended of itself, and well.
func (p *Process) Gone(patience time.Duration) error {
	prog := p.Program()
	if err := prog.Wait(patience); err != nil {
		return fmt.Errorf("%s, at SIGTERM: %w\n%s", p.Name, err, prog.Log())
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logs = append(p.logs, prog.Log())
	return nil
}

// Forget empties its folder of what its lives have left, but for the files that it was given.
func (p *Process) Forget() error {
	entries, err := os.ReadDir(p.Dir)
	if err != nil {
		return err
	}
	for _, e := range entries {
		if p.given[e.Name()] {
			continue
		}
		if err := os.RemoveAll(filepath.Join(p.Dir, e.Name())); err != nil {
			return err
		}
	}
	return nil
}

// Kills is how often it was killed.
func (p *Process) Kills() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.kills
}

// Says finds the first line of the logs of its ended lives that holds one of the words.
func (p *Process) Says(words ...string) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, log := range p.logs {
		for line := range strings.SplitSeq(log, "\n") {
			for _, word := range words {
				if strings.Contains(line, word) {
					return line, true
				}
			}
		}
	}
	return "", false
}
