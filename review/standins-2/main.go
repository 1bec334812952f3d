//go:build review2

// Command standins-2 runs the cases of the second review. Each case starts the project's own programs as processes of their own, plays
// clients, servers and the platform around them, and checks one rule by what these can see.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"
)

// timeLimit ends a case that hangs. The scripts may take 120 s.
const timeLimit = 110 * time.Second

// verdict is the result of a case: the breaks of its rule.
type verdict struct{ breaks []string }

func (v *verdict) add(format string, args ...any) {
	v.breaks = append(v.breaks, fmt.Sprintf(format, args...))
}

// cases are the cases by name. A case returns an error if it couldn't run.
var cases = map[string]func(*scene) (verdict, error){}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

// run runs a case and returns the exit code: 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
func run(name, folder string) int {
	s, err := newScene(folder, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	type result struct {
		verdict verdict
		err     error
	}
	done := make(chan result, 1)
	go func() {
		v, err := cases[name](s)
		done <- result{v, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-stopped():
		r.err = errors.New("told to end")
	case <-time.After(timeLimit):
		r.err = fmt.Errorf("the case did not end within %v", timeLimit)
	}
	s.close()
	if r.err == nil {
		r.err = s.endedEarly
	}
	switch {
	case r.err != nil:
		s.note("could not run: %v", r.err)
		fmt.Fprintln(os.Stderr, "could not run:", r.err)
		return 2
	case len(r.verdict.breaks) > 0:
		s.note("BROKEN:\n  %s", strings.Join(r.verdict.breaks, "\n  "))
		fmt.Printf("broken: %s\n", strings.Join(r.verdict.breaks, "\n  "))
		return 1
	}
	s.note("held")
	fmt.Println("held")
	return 0
}

// stopped returns a channel that receives the signals at which a case ends, so that no process is left behind.
func stopped() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	return c
}
