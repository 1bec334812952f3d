package main_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"dewhitch/internal/standin"
)

// maxServers is the size of the largest deployment that operators run.
const maxServers = 3200

// The groups of servers, as indexes of the backends' addresses: all servers that drain share one address, all others another.
const (
	stayingGroup = iota
	drainingGroup
	groupCount
)

// largeFleet is the environment of a gateway with many servers.
type largeFleet struct {
	*environment
	servers     *standin.Backends
	serverCount int
}

// newLargeFleet creates an environment with serverCount servers, a quarter of which can be set to drain.
func newLargeFleet(t *testing.T, serverCount int) *largeFleet {
	servers, err := standin.NewBackends(groupCount, true, standin.Always(standin.Step{}))
	f := &largeFleet{environment: newEnvironment(t), servers: closeAtCleanup(t, servers, err), serverCount: serverCount}
	f.discovery = newDiscovery(t, f.list("up"), 41)
	return f
}

// group returns the group of the server at index i.
func (f *largeFleet) group(i int) int {
	if i%4 == 0 {
		return drainingGroup
	}
	return stayingGroup
}

// list returns the list of all servers, indented as operators may write it. The servers that can drain have the given phase, all
// others are up.
func (f *largeFleet) list(phase string) string {
	members := make([]string, f.serverCount)
	for i := range members {
		memberPhase := "up"
		if f.group(i) == drainingGroup {
			memberPhase = phase
		}
		members[i] = standin.Member(fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), f.servers.Nodes[f.group(i)].Addr(), memberPhase)
	}
	return "[\n    " + strings.Join(members, ",\n    ") + "\n  ]"
}

// readFigure returns a figure of the operators' call telemetry, or 0 if it has none of that name.
func readFigure(t *testing.T, env *environment, name string) int64 {
	t.Helper()
	line, _, _ := strings.Cut(adminCall(t, env.adminAddr, "telemetry"), "\n")
	figures := map[string]any{}
	if err := json.Unmarshal([]byte(line), &figures); err != nil {
		t.Fatalf("decoding the answer to telemetry: %v: %s", err, line)
	}
	value, _ := figures[name].(float64)
	return int64(value)
}

// runClients starts clients that send one request after another until stop is called, which waits for them.
func (f *largeFleet) runClients(clients int) (stop func()) {
	done := make(chan struct{})
	var running sync.WaitGroup
	for i := range clients {
		running.Go(func() {
			c, err := standin.Dial(f.listenAddr, waitLimit)
			if err != nil {
				return
			}
			defer c.Close()
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(2 * time.Millisecond):
				}
				id := fmt.Sprintf("c%dr%d", i, n)
				if c.Send([]string{"SVC.QUERY", fmt.Sprintf("%016x", i+1), id, "c=lookup,t=wide,d=5000,units=1,spread=1,first=0"}) != nil {
					return
				}
				if _, err := c.Reply(); err != nil {
					return
				}
			}
		})
	}
	return func() {
		close(done)
		running.Wait()
	}
}

// commandsSentTo returns the number of commands that a group of servers received.
func (f *largeFleet) commandsSentTo(group int) (n int) {
	for _, c := range f.servers.Commands() {
		if c.Backend == group {
			n++
		}
	}
	return n
}

// TestFullListOfALargeFleetIsApplied guards against a large list that is not applied, so that servers that drain still receive
// requests. The change comes over the watch as a full list, which is longer than 256 KiB.
func TestFullListOfALargeFleetIsApplied(t *testing.T) {
	f := newLargeFleet(t, maxServers)
	f.discovery.SetCompleteUpdates(true)
	p := f.start("serve")
	defer f.runClients(4)()
	if !eventually(func() bool { return f.commandsSentTo(drainingGroup) > 0 }) {
		t.Fatalf("no request reached a server that is to drain\n%s", p.log())
	}
	f.discovery.Set(f.list("draining"))
	if !eventually(func() bool { return readFigure(t, f.environment, "list_version_applied") == 42 }) {
		t.Fatalf("list version %d is applied, expected 42\n%s", readFigure(t, f.environment, "list_version_applied"), p.log())
	}
	before, others := f.commandsSentTo(drainingGroup), f.commandsSentTo(stayingGroup)
	if !eventually(func() bool { return f.commandsSentTo(stayingGroup) > others+200 }) {
		t.Fatalf("the servers that stay up received fewer than 200 further requests\n%s", p.log())
	}
	if after := f.commandsSentTo(drainingGroup); after != before {
		t.Errorf("%d requests were sent to draining servers after the list was applied, expected none", after-before)
	}
}
