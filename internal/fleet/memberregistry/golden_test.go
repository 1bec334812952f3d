package memberregistry

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

// TestGoldenNode compares the name and data of the node that Run creates with the golden file, and checks that Run
// reads such a node, which the test writes without this package.
func TestGoldenNode(t *testing.T) {
	zk, err := zookeeper.New()
	if err != nil {
		t.Fatal(err)
	}
	defer zk.Close()
	ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
	var running sync.WaitGroup
	defer running.Wait()
	defer stop()
	open := func(path string) *registry.Registry {
		r, err := registry.Open([]string{zk.Addr()}, path, 4*time.Second, zap.NewNop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(r.Close)
		return r
	}
	run := func(path, name, addr string, onChange func(map[string]string)) {
		o := Options{Servers: []string{zk.Addr()}, Path: path, Session: 4 * time.Second, Name: name, Address: addr, Log: zap.NewNop()}
		if err := Run(ctx, o, onChange); err != nil {
			t.Error(err)
		}
	}

	nodes := make(chan string, 1)
	watchCtx, stopWatching := context.WithCancel(ctx)
	running.Go(func() { run("/written", "hall a/g1", "127.0.0.1:7001", func(map[string]string) {}) })
	_ = open("/written").WatchNodes(watchCtx, func(all map[string][]byte) {
		for name, data := range all {
			stopWatching()
			select {
			case nodes <- name + " " + string(data):
			default:
			}
		}
	})
	select {
	case line := <-nodes:
		golden.Compare(t, "node.txt", []byte(line))
	default:
		t.Fatal("Run created no node")
	}

	name, data, _ := strings.Cut(string(golden.Read(t, "node.txt")), " ")
	writer := open("/read")
	running.Go(func() { _ = writer.MaintainNode(ctx, name, []byte(data)) })
	members := make(chan map[string]string, 1)
	running.Go(func() {
		run("/read", "g2", "127.0.0.1:7002", func(addressByName map[string]string) {
			if len(addressByName) == 2 {
				select {
				case members <- addressByName:
				default:
				}
			}
		})
	})
	select {
	case got := <-members:
		if !maps.Equal(got, map[string]string{"hall a/g1": "127.0.0.1:7001", "g2": "127.0.0.1:7002"}) {
			t.Errorf("Run reported the members %v, expected hall a/g1 and g2", got)
		}
	case <-ctx.Done():
		t.Fatal("Run did not report both nodes")
	}
}
