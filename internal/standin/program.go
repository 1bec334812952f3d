package standin

import (
	"bytes"
	"errors"
	"os/exec"
	"sync"
	"time"
)

// maxLogBytes is the size of a program's output from which no more of it is kept in memory.
const maxLogBytes = 8 << 20

// Program is a running or ended program and its output. Its methods may be called from any goroutine.
type Program struct {
	Cmd  *exec.Cmd
	done chan struct{} // closed once the program has ended
	err  error         // error of Cmd.Wait; set before done is closed

	mu          sync.Mutex
	log         bytes.Buffer
	onLine      func(string) // called for each complete line of the output; may be nil
	partialLine []byte       // output after the last newline; unused if onLine is nil
}

// ErrStillRunning means that a program has not ended within the timeout of Wait.
var ErrStillRunning = errors.New("standin: the program is still running")

// Start starts a program, which the caller ends by Kill or awaits by Wait. onLine, if not nil, is called for each line of the
// output; it must not call the Program's methods, as it runs under the Program's lock.
func Start(cmd *exec.Cmd, onLine func(string)) (*Program, error) {
	p := &Program{Cmd: cmd, done: make(chan struct{}), onLine: onLine}
	cmd.Stdout = p
	cmd.Stderr = p
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	go func() {
		p.err = cmd.Wait()
		close(p.done)
	}()
	return p, nil
}

// Write receives the program's output. It never fails.
func (p *Program) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.log.Len() < maxLogBytes {
		p.log.Write(b)
	}
	if p.onLine != nil {
		p.partialLine = append(p.partialLine, b...)
		p.passLines()
	}
	return len(b), nil
}

// passLines passes the complete lines of partialLine to onLine. p.mu is held.
func (p *Program) passLines() {
	for {
		i := bytes.IndexByte(p.partialLine, '\n')
		if i < 0 {
			return
		}
		p.onLine(string(p.partialLine[:i]))
		p.partialLine = p.partialLine[i+1:]
	}
}

// Log returns the output so far, up to about maxLogBytes.
func (p *Program) Log() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.log.String()
}

// Ended returns true if the program has ended.
func (p *Program) Ended() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// Wait waits until the program ends, and returns the error of its exit, or ErrStillRunning after the timeout.
func (p *Program) Wait(timeout time.Duration) error {
	select {
	case <-p.done:
		return p.err
	case <-time.After(timeout):
		return ErrStillRunning
	}
}

// Kill kills the program by SIGKILL and waits until it has ended.
func (p *Program) Kill() {
	p.Cmd.Process.Kill()
	<-p.done
}

// CPU returns the processor time that the program used, or 0 while it runs.
func (p *Program) CPU() time.Duration {
	if !p.Ended() {
		return 0
	}
	return p.Cmd.ProcessState.UserTime() + p.Cmd.ProcessState.SystemTime()
}
