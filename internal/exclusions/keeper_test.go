package exclusions

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/handover"
)

// fakePlanner knows all servers.
type fakePlanner struct {
	mu       sync.Mutex
	excluded map[dw.ServerID]bool
}

func (p *fakePlanner) set(id dw.ServerID, excluded bool) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.excluded[id] = excluded
	return nil
}

func (p *fakePlanner) Exclude(id dw.ServerID) error { return p.set(id, true) }

func (p *fakePlanner) Include(id dw.ServerID) error { return p.set(id, false) }

func (p *fakePlanner) ReplaceExclusions(ids []dw.ServerID) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.excluded)
	for _, id := range ids {
		p.excluded[id] = true
	}
	return nil
}

// TestConcurrentCallsOfTwoKeepers guards against planners that differ from the record after concurrent calls at two processes.
func TestConcurrentCallsOfTwoKeepers(t *testing.T) {
	const servers, rounds = 4, 25
	path := handover.Path(t.TempDir(), "n0")
	lookup := func(id string) (n dw.ServerID, known bool) {
		_, err := fmt.Sscanf(id, "s-%x", &n)
		return n, err == nil
	}
	ctx, cancel := context.WithCancel(t.Context())
	var running, calling sync.WaitGroup
	var planners []*fakePlanner
	for range 2 {
		p := &fakePlanner{excluded: map[dw.ServerID]bool{}}
		planners = append(planners, p)
		k := New(path, p, lookup, nil, zap.NewNop())
		running.Go(func() { k.Run(ctx) })
		for server := range servers {
			calling.Go(func() {
				for round := range rounds {
					if err := k.set(fmt.Sprintf("s-%08x", server), (round+server)%2 == 0); err != nil {
						t.Error(err)
					}
				}
			})
		}
	}
	calling.Wait()
	time.Sleep(4 * followInterval)
	cancel()
	running.Wait()
	state, err := handover.Load(path)
	if err != nil {
		t.Fatal(err)
	}
	for i, p := range planners {
		var got []string
		for server := range servers {
			if p.excluded[dw.ServerID(server)] {
				got = append(got, fmt.Sprintf("s-%08x", server))
			}
		}
		if !slices.Equal(got, state.Excluded) {
			t.Errorf("planner %d excludes %v, the record has %v", i, got, state.Excluded)
		}
	}
}
