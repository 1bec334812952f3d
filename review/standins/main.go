package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld   = 0
	ruleBroken = 1
	couldNot   = 2
)

// longest is how long a case may run.
const longest = 110 * time.Second

// verdict is what a case finds: each break of the rule, in words.
type verdict struct{ breaks []string }

func (v *verdict) add(format string, args ...any) {
	v.breaks = append(v.breaks, fmt.Sprintf(format, args...))
}

// scene is what a case runs in.
type scene struct {
	rec     *record
	d       *deployment
	trouble bool // whether the disruption is played
}

// cases are the scripts by name.
var cases = map[string]func(*scene) (verdict, error){}

func main() { os.Exit(run()) }

// run plays the case named by the first argument and writes record.txt into the folder named by the second. The third is the
// repository's root.
func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: cases NAME FOLDER ROOT")
		return couldNot
	}
	rec, err := newRecord(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	defer rec.close()
	d, err := newDeployment(rec, os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return couldNot
	}
	end := sync.OnceFunc(d.close)
	defer end()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() { // whatever happens, no process of the case stays
		select {
		case <-stopped:
		case <-time.After(longest):
		}
		rec.note("could not run: stopped, or longer than %v", longest)
		end()
		rec.close()
		os.Exit(couldNot)
	}()
	s := &scene{rec: rec, d: d, trouble: os.Getenv("TROUBLE") != "0"}
	rec.note("case %s, trouble %v", os.Args[1], s.trouble)
	v, err := cases[os.Args[1]](s)
	if err != nil {
		rec.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return couldNot
	}
	for _, b := range v.breaks {
		rec.note("BROKEN: %s", b)
		fmt.Println("BROKEN:", b)
	}
	if len(v.breaks) > 0 {
		return ruleBroken
	}
	rec.note("held")
	fmt.Println("held")
	return ruleHeld
}
