package main_test

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"dewhitch/internal/standin"
	"dewhitch/internal/standin/hostile"
)

// Flags for longer and more specific runs: go test ./cmd/dewhitch -run TestFlood -flood.time 6s -flood.clients 20
var (
	floodTime    = flag.Duration("flood.time", 2*time.Second, "how long each flood of TestFlood lasts")
	floodKind    = flag.String("flood.kind", "", "TestFloods plays only the kinds whose name contains this")
	floodClients = flag.Int("flood.clients", 6, "flooding clients of each process")
)

// Clients beside a flood, as in the operators' reports.
const (
	waitingClients = 40
	shortWait      = 150 * time.Millisecond // time that such a client waits for its answer
	floodMemoryMB  = 64
	floodSockets   = 512
)

// floodEnvironment returns an environment whose gateways have a number of cores.
func floodEnvironment(t testing.TB, cores int) *environment {
	env := newEnvironment(t)
	env.limit(memoryLimits{floodMemoryMB, floodSockets})
	env.operatorAddr = standin.OwnAddr()
	env.overrides = append(env.overrides, fmt.Sprintf(`{"limits": {"cores": %d}}`, cores))
	return env
}

// startFlooded starts a gateway that has a number of cores.
func startFlooded(t testing.TB, cores int) (*environment, *process) {
	env := floodEnvironment(t, cores)
	p := env.start("serve")
	env.awaitReady(p)
	return env, p
}

// pin lets a process run on one core of the machine only, as it does where its platform grants it no more.
func pin(t testing.TB, p *process, core int) {
	var cores unix.CPUSet
	cores.Set(core)
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*", p.cmd.Process.Pid))
	if err != nil || len(threads) == 0 {
		t.Fatalf("the process has no threads: %v", err)
	}
	for _, thread := range threads { // later threads inherit it
		id, _ := strconv.Atoi(filepath.Base(thread))
		if err := unix.SchedSetaffinity(id, &cores); err != nil && !errors.Is(err, unix.ESRCH) {
			t.Fatal(err)
		}
	}
}

// playFlood floods a gateway beside clients with short waits, whose connections are open, and checks what these are owed.
func playFlood(t *testing.T, env *environment, p *process, flood hostile.Flood, clients int, seed uint64) {
	playFloodOf(t, env, p, flood, env.listenAddr, clients, seed)
}

// playFloodOf does what playFlood does, with a flood of another address of the process.
func playFloodOf(t *testing.T, env *environment, p *process, flood hostile.Flood, addr string, clients int, seed uint64) {
	flooded := env.deployment()
	flooded.Addr = addr
	watch := standin.WatchMemory(p.cmd.Process.Pid, env.sharedTempDir)
	defer watch.Close()
	ctx, cancel := context.WithTimeout(t.Context(), hostileStart+*floodTime)
	defer cancel()
	var running sync.WaitGroup
	var read int64
	var floodErr error
	if clients > 0 {
		running.Go(func() {
			time.Sleep(hostileStart)
			read, floodErr = runFlood(ctx, floodSpec{Deployment: flooded, Name: flood.Name, Clients: clients})
		})
	}
	results := hostile.RunWaiting(ctx, env.deployment(), waitingClients, shortWait, seed)
	running.Wait()
	if floodErr != nil {
		t.Fatal("the flood did not run: ", floodErr)
	}
	peak, err := watch.Peak()
	if env.operatorAddr != "" {
		t.Logf("%s", scrape(t, env.operatorAddr, "dewhitch_answers_total"))
	}
	t.Logf("peak %v; %d KiB of answers to the flood; usual clients: %v", peak, read>>10, results)
	if err != nil || len(p.exited) > 0 {
		t.Fatalf("the process ended: %v\n%.2000s", err, p.log())
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("log:\n%s", lastLine(p.log(), "the process runs late"))
		}
	})
	if peak.Total() > floodMemoryMB<<20 {
		t.Errorf("the process used %v; the limit is %d MiB", peak, floodMemoryMB)
	}
	if results.Missing > 0 {
		t.Errorf("%d of %d requests of usual clients had no answer in time", results.Missing, results.Requests())
	}
	if !flood.OccupiesServers && results.Served*2 < results.Requests() { // the least share that the standing test allows
		t.Errorf("%d of %d requests of usual clients were served in time, expected half of them", results.Served, results.Requests())
	}
}

// scrape returns the lines of the operators' metrics that begin with a name.
func scrape(t *testing.T, addr, name string) (lines string) {
	answer, err := http.Get("http://" + addr + "/metrics")
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	for scanner := bufio.NewScanner(answer.Body); scanner.Scan(); {
		if strings.HasPrefix(scanner.Text(), name) {
			lines += scanner.Text() + "\n"
		}
	}
	return lines
}

// lastLine returns the last line of a log that contains a text.
func lastLine(log, text string) (last string) {
	for line := range strings.Lines(log) {
		if strings.Contains(line, text) {
			last = line
		}
	}
	return last
}

// TestFloodOfPings guards against answers that come late or never while clients pipeline PING at full speed: on one core, on two, and in each
// of several processes that share one.
func TestFloodOfPings(t *testing.T) {
	ping := hostile.Floods[0]
	for _, cores := range []int{1, 2} {
		t.Run(fmt.Sprintf("cores %d", cores), func(t *testing.T) {
			env, p := startFlooded(t, cores)
			if cores == 1 {
				pin(t, p, 0)
			}
			playFlood(t, env, p, ping, *floodClients, uint64(cores))
		})
	}
	t.Run("a hundred clients", func(t *testing.T) {
		env, p := startFlooded(t, 1)
		pin(t, p, 0)
		playFlood(t, env, p, ping, 100, 3)
	})
	t.Run("several processes", func(t *testing.T) {
		for process := range 3 {
			t.Run(fmt.Sprint(process), func(t *testing.T) {
				t.Parallel()
				env, p := startFlooded(t, 1)
				pin(t, p, 1)
				playFlood(t, env, p, ping, *floodClients, uint64(process))
			})
		}
	})
}

// TestFloods guards against what TestFloodOfPings does, for every other kind of input that makes a process work without limit.
func TestFloods(t *testing.T) {
	for seed, flood := range hostile.Floods[1:] {
		if !strings.Contains(flood.Name, *floodKind) {
			continue
		}
		t.Run(flood.Name, func(t *testing.T) {
			env, p := startFlooded(t, 1)
			playFlood(t, env, p, flood, *floodClients, uint64(seed))
		})
	}
}

// TestFloodsOfOtherAddresses guards against clients whose answers wait while others flood the front for limits, the operators' address or
// the operators' listener of the same gateway, or read large values at full speed.
func TestFloodsOfOtherAddresses(t *testing.T) {
	play := func(flood hostile.Flood, addr func(*environment) string) {
		if !strings.Contains(flood.Name, *floodKind) {
			return
		}
		t.Run(flood.Name, func(t *testing.T) {
			env, p := startFlooded(t, 1)
			playFloodOf(t, env, p, flood, addr(env), *floodClients, 1)
		})
	}
	for _, flood := range hostile.LimitsFloods {
		play(flood, func(env *environment) string { return env.limitsAddr })
	}
	play(hostile.OperatorFlood(), func(env *environment) string { return env.operatorAddr })
	play(hostile.AdminFlood(), func(env *environment) string { return env.adminAddr })
	play(hostile.ValueFlood(), func(env *environment) string { return env.listenAddr })
}

// TestFloodOfChanges guards against clients whose answers wait while discovery writes changes without a pause.
func TestFloodOfChanges(t *testing.T) {
	env := floodEnvironment(t, 1)
	director, err := hostile.NewDirector(env.serverList, 200)
	director = closeAtCleanup(t, director, err)
	env.discoveryAddr = director.Addr()
	p := env.start("serve")
	env.awaitReady(p)
	playFlood(t, env, p, hostile.Flood{}, 0, 1)
	t.Logf("%d changes", director.Revision())
}

// TestFloodsOfAForwarder guards against what TestFloods does, at a forwarder.
func TestFloodsOfAForwarder(t *testing.T) {
	for seed, flood := range hostile.Floods[:3] {
		t.Run(flood.Name, func(t *testing.T) {
			registry := newZookeeper(t)
			gateway := floodEnvironment(t, 1)
			gateway.registryAddr = registry.Addr()
			gateway.start("serve")
			env := newEnvironment(t)
			env.registryAddr = registry.Addr()
			env.forwardMemoryMB = floodMemoryMB
			env.withoutLedger = true
			env.sharedTempDir = t.TempDir()
			p := env.start("forward")
			if !eventually(func() bool { return strings.Contains(p.log(), gateway.limitsAddr) }) {
				t.Fatalf("the forwarder finds no gateway\n%s", p.log())
			}
			pin(t, p, 0)
			playFlood(t, env, p, flood, *floodClients, uint64(seed))
		})
	}
}
