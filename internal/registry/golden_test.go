package registry_test

import (
	"context"
	"maps"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/golden"
	"dewhitch/internal/registry"
	"dewhitch/internal/standin/zookeeper"
)

// TestGoldenNode freezes the name and data of a planner's node as forwarders find it in the registry. It also checks that
// WatchPlanners reads a node that contains the frozen data.
func TestGoldenNode(t *testing.T) {
	server, err := zookeeper.New()
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	open := func(path string) *registry.Registry {
		r, err := registry.Open([]string{server.Addr()}, path, 4*time.Second, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		return r
	}

	p := registry.Planner{Address: "127.0.0.1:7001", Gateway: 17}
	golden.Filled(t, p)
	written, line := open("/written"), ""
	running.Go(func() { _ = written.RegisterPlanner(ctx, p) })
	readCtx, stopReading := context.WithCancel(ctx)
	_ = written.WatchNodes(readCtx, func(all map[string][]byte) {
		for name, data := range all {
			line = name + " " + string(data)
			stopReading()
		}
	})
	golden.Compare(t, "node.txt", []byte(line))

	name, data, _ := strings.Cut(string(golden.Read(t, "node.txt")), " ")
	read := open("/read")
	running.Go(func() { _ = read.MaintainNode(ctx, name, []byte(data)) })
	got := map[int]string{}
	readCtx, stopReading = context.WithCancel(ctx)
	defer stopReading()
	_ = read.WatchPlanners(readCtx, func(planners map[int]string) {
		if len(planners) > 0 {
			got = planners
			stopReading()
		}
	})
	if !maps.Equal(got, map[int]string{p.Gateway: p.Address}) {
		t.Errorf("got planners %v, expected only the planner of the frozen node", got)
	}
}
