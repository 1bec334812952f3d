package main_test

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"dewhitch/internal/standin"
	"dewhitch/internal/standin/hostile"
)

// floodSoakSeeds is the number of runs of TestSoakUnderFloods: go test ./cmd/dewhitch -run TestSoakUnderFloods -soak.floods 50
var floodSoakSeeds = flag.Int("soak.floods", 3, "runs of TestSoakUnderFloods")

// floodConnections is the number of connections of a flood whose customers are no others' in the run.
const floodConnections = 2000

// floodSoakMB is the memory of a gateway under a flood, in MiB.
const floodSoakMB = 64

// TestSoakUnderFloods guards against what TestSoak does, and against a process that passes its memory limit, while clients of one kind
// flood each gateway during the whole run: one, a few or many of them.
func TestSoakUnderFloods(t *testing.T) {
	for seed := range uint64(*floodSoakSeeds) {
		s := newSoakRun(t, *soakFrom+seed)
		rng := rand.New(rand.NewPCG(s.seed, 37))
		s.throttled = false
		s.memoryMB = floodSoakMB
		s.flood = hostile.Floods[rng.IntN(len(hostile.Floods))]
		s.floodClients = []int{1, 6, 40}[rng.IntN(3)]
		t.Run(fmt.Sprintf("%v, %d clients, %s", s, s.floodClients, s.flood.Name), func(t *testing.T) {
			s.t = t
			s.execute()
			s.reportFaults()
		})
	}
}

// hostileSoakSeeds is the number of runs of TestSoakUnderHostileClients: go test ./cmd/dewhitch -run TestSoakUnder -soak.hostile 50
var hostileSoakSeeds = flag.Int("soak.hostile", 2, "runs of TestSoakUnderHostileClients")

const (
	hostileSoakMB      = 32  // memory of a gateway, in MiB
	hostileSoakClients = 150 // hostile clients of each gateway
)

// startHostileClients starts the hostile and the flooding clients of a gateway, which come until the run is done.
func (s *soakRun) startHostileClients(g *gatewayRecord) {
	ctx, cancel := context.WithCancel(s.t.Context())
	s.clients.Go(func() {
		defer cancel()
		<-s.done
	})
	deployment := hostile.Deployment{Addr: g.env.listenAddr, QueryClass: "lookup", SubmitClass: "lookup", Plan: "wide"}
	if s.hostile.Name != "" {
		s.clients.Go(func() { hostile.Run(ctx, deployment, s.hostile, hostileSoakClients, s.seed) })
	}
	if s.floodClients > 0 {
		spec := floodSpec{deployment, s.flood.Name, s.floodClients, uint64(g.instance) * floodConnections}
		s.clients.Go(func() {
			if _, err := runFlood(ctx, spec); err != nil {
				g.addFault("the flood did not run: %v", err)
			}
		})
	}
}

// watchMemory reports a fault if a process passes its memory limit before it ends.
func (s *soakRun) watchMemory(g *gatewayRecord, p *process) {
	watch := standin.WatchMemory(p.cmd.Process.Pid, "")
	s.clients.Go(func() {
		defer watch.Close()
		for len(p.exited) == 0 {
			select {
			case <-s.done:
			case <-time.After(100 * time.Millisecond):
				continue
			}
			break
		}
		if peak, _ := watch.Peak(); peak.Total() > s.memoryMB<<20 {
			g.addFault("a process used %v; the limit is %d KiB", peak, s.memoryMB<<10)
		}
	})
}

// TestSoakUnderHostileClients guards against what TestSoak does, and against a process that passes its memory limit, while hundreds of
// hostile clients of one kind come during the whole run.
func TestSoakUnderHostileClients(t *testing.T) {
	kinds := []string{"slow writers", "half a large command", "many short fields", "no command", "unknown class, again and again",
		"half a command and gone"}
	for seed := range uint64(*hostileSoakSeeds) {
		s := newSoakRun(t, *soakFrom+seed)
		s.throttled = false
		s.memoryMB = hostileSoakMB
		name := kinds[rand.New(rand.NewPCG(s.seed, 31)).IntN(len(kinds))]
		for _, kind := range hostile.Kinds {
			if kind.Name == name {
				s.hostile = kind
			}
		}
		t.Run(fmt.Sprintf("%v, %s", s, name), func(t *testing.T) {
			s.t = t
			s.execute()
			s.reportFaults()
		})
	}
}
