package main_test

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"dewhitch/internal/standin/hostile"
)

// Bytes of the answer to PING, and clock ticks of the processor times in /proc.
const (
	pongBytes    = len("+PONG\r\n")
	ticksPerSec  = 100
	aloneTime    = 3 * time.Second
	userTimeAt   = 11 // field of /proc/PID/stat behind the name of the program, from 0
	systemTimeAt = 12
)

// processorTime returns the processor time that a process has used.
func processorTime(b *testing.B, p *process) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		b.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	var user, system int
	fmt.Sscan(fields[userTimeAt], &user)
	fmt.Sscan(fields[systemTimeAt], &system)
	return time.Duration(user+system) * time.Second / ticksPerSec
}

// BenchmarkClientAlone measures the speed and the processor time of clients that have a gateway on one core for themselves: one that
// pipelines PING, and the usual ones.
func BenchmarkClientAlone(b *testing.B) {
	for name, run := range map[string]func(context.Context, hostile.Deployment) int{
		"ping": func(ctx context.Context, d hostile.Deployment) int {
			return int(hostile.RunFlood(ctx, d, hostile.Floods[0], 1)) / pongBytes
		},
		"queries": func(ctx context.Context, d hostile.Deployment) int {
			return hostile.RunUsual(ctx, d, waitingClients, 1).Served
		},
	} {
		b.Run(name, func(b *testing.B) {
			env, p := startFlooded(b, 1)
			pin(b, p, 0)
			before := processorTime(b, p)
			answers := 0
			for b.Loop() {
				ctx, cancel := context.WithTimeout(b.Context(), aloneTime)
				answers += run(ctx, env.deployment())
				cancel()
			}
			used := processorTime(b, p) - before
			b.ReportMetric(float64(answers)/b.Elapsed().Seconds(), "answers/s")
			b.ReportMetric(float64(used.Microseconds())/float64(answers), "cpu-us/answer")
		})
	}
}
