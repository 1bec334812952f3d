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

// TestGoldenNode freezes the name and the data of a gateway's node in the registry, as forwarders find it there, and has
// such a node, written as bytes, read by WatchPlanners.
func TestGoldenNode(t *testing.T) {
	z, err := zookeeper.New()
	if err != nil {
		t.Fatal(err)
	}
	defer z.Close()
	ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	open := func(path string) *registry.Registry {
		r, err := registry.Open([]string{z.Addr()}, path, 4*time.Second, zap.NewNop())
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
	seen, enough := context.WithCancel(ctx)
	_ = written.WatchNodes(seen, func(all map[string][]byte) {
		for name, data := range all {
			line = name + " " + string(data)
			enough()
		}
	})
	golden.Compare(t, "node.txt", []byte(line))

	name, data, _ := strings.Cut(string(golden.Read(t, "node.txt")), " ")
	read := open("/read")
	running.Go(func() { _ = read.MaintainNode(ctx, name, []byte(data)) })
	got := map[int]string{}
	seen, enough = context.WithCancel(ctx)
	defer enough()
	_ = read.WatchPlanners(seen, func(planners map[int]string) {
		if len(planners) > 0 {
			got = planners
			enough()
		}
	})
	if !maps.Equal(got, map[int]string{p.Gateway: p.Address}) {
		t.Errorf("read as %v", got)
	}
}
