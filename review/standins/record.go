// Package main holds the stand-ins and the scripts of the review's cases: clients, servers, discovery, the counter and the platform,
// as the pages describe them. It uses the standard library only and starts the gateway by the deploy file's run command.
package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes record.txt: one line for each thing that was sent, answered, run or done, with its time since the start.
type record struct {
	mu    sync.Mutex
	start time.Time
	file  *os.File
	w     *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

// note writes one line and returns the time since the start.
func (r *record) note(format string, args ...any) time.Duration {
	at := time.Since(r.start)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%9.4f %s\n", at.Seconds(), fmt.Sprintf(format, args...))
	return at
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.w.Flush()
	r.file.Close()
}
