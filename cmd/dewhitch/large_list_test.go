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

// The largest fleet that operators run.
const maxServers = 3200

// The places of the two groups of servers: those that drain are at one address, all others at another.
const (
	stayingGroup = iota
	drainingGroup
	groupCount
)

// largeFleet is a gateway before many servers.
type largeFleet struct {
	*environment
	servers     *standin.Backends
	serverCount int
}

// newLargeFleet makes n servers, a quarter of which can be set to drain.
func newLargeFleet(t *testing.T, serverCount int) *largeFleet {
	servers, err := standin.NewBackends(groupCount, true, standin.Always(standin.Step{}))
	f := &largeFleet{environment: newEnvironment(t), servers: closeAtCleanup(t, servers, err), serverCount: serverCount}
	f.discovery = newDiscovery(t, f.list("up"), 41)
	return f
}

func (f *largeFleet) group(i int) int {
	if i%4 == 0 {
		return drainingGroup
	}
	return stayingGroup
}

// list is the list of all servers, indented as operators may, with the phase of those that can drain.
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

// readFigure reads one of the operators' figures.
func readFigure(t *testing.T, env *environment, name string) int64 {
	t.Helper()
	line, _, _ := strings.Cut(adminCall(t, env.adminAddr, "telemetry"), "\n")
	figures := map[string]any{}
	if err := json.Unmarshal([]byte(line), &figures); err != nil {
		t.Fatalf("%v: %s", err, line)
	}
	value, _ := figures[name].(float64)
	return int64(value)
}

// runClients has clients ask one request after another until the test is over.
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

// commandsSentTo counts the commands that came to a group of servers.
func (f *largeFleet) commandsSentTo(group int) (n int) {
	for _, c := range f.servers.Commands() {
		if c.Backend == group {
			n++
		}
	}
	return n
}

// Servers start to drain, and the watch gets that as a full list, which is over 256 KiB: it is applied, and the servers
// that drain get nothing more.
func TestFullListOfALargeFleetIsApplied(t *testing.T) {
	f := newLargeFleet(t, maxServers)
	f.discovery.SetCompleteUpdates(true)
	p := f.start("serve")
	defer f.runClients(4)()
	if !eventually(func() bool { return f.commandsSentTo(drainingGroup) > 0 }) {
		t.Fatalf("no request reached a server\n%s", p.log())
	}
	f.discovery.Set(f.list("draining"))
	if !eventually(func() bool { return readFigure(t, f.environment, "list_version_applied") == 42 }) {
		t.Fatalf("version %d is in force, 42 was sent\n%s", readFigure(t, f.environment, "list_version_applied"), p.log())
	}
	before, others := f.commandsSentTo(drainingGroup), f.commandsSentTo(stayingGroup)
	if !eventually(func() bool { return f.commandsSentTo(stayingGroup) > others+200 }) {
		t.Fatalf("nothing is served any more\n%s", p.log())
	}
	if after := f.commandsSentTo(drainingGroup); after != before {
		t.Errorf("%d requests went to servers that drain", after-before)
	}
}
