package standin

import (
	"bytes"
	"errors"
	"os/exec"
	"sync"
	"time"
)

// Program is a program that was started, with what it has written to its log.
type Program struct {
	Cmd  *exec.Cmd
	mu   sync.Mutex
	out  bytes.Buffer
	over chan struct{}
	err  error
	line func(string) // of each whole line of the log; nil: nobody asks
	part []byte
}

// maxLog bounds what is kept of a program's log.
const maxLog = 8 << 20

// Start starts a command. It is to be ended with Kill, or waited for with Wait.
func Start(cmd *exec.Cmd) (*Program, error) { return Follow(cmd, nil) }

// Follow does the same, and has line told of each line of the log as it comes.
func Follow(cmd *exec.Cmd, line func(string)) (*Program, error) {
	p := &Program{Cmd: cmd, over: make(chan struct{}), line: line}
	cmd.Stdout, cmd.Stderr = p, p
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = cmd.Wait()
		close(p.over)
	}()
	return p, nil
}

// Write takes the program's log.
func (p *Program) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.out.Len() < maxLog {
		p.out.Write(b)
	}
	if p.line != nil {
		p.part = append(p.part, b...)
		for {
			i := bytes.IndexByte(p.part, '\n')
			if i < 0 {
				break
			}
			p.line(string(p.part[:i]))
			p.part = p.part[i+1:]
		}
	}
	return len(b), nil
}

// Log is what the program has written.
func (p *Program) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out.String()
}

// Over says whether the program has ended.
func (p *Program) Over() bool {
	select {
	case <-p.over:
		return true
	default:
		return false
	}
}

// ErrGoesOn says that a program has not ended in time.
var ErrGoesOn = errors.New("standin: the program goes on")

// Wait waits for the end, and returns the program's error.
func (p *Program) Wait(patience time.Duration) error {
	select {
	case <-p.over:
		return p.err
	case <-time.After(patience):
		return ErrGoesOn
	}
}

// Kill ends the program outright and waits for that.
func (p *Program) Kill() {
	p.Cmd.Process.Kill()
	<-p.over
}

// CPU is the processor time that a program used, once it has ended.
func (p *Program) CPU() time.Duration {
	if !p.Over() {
		return 0
	}
	return p.Cmd.ProcessState.UserTime() + p.Cmd.ProcessState.SystemTime()
}
