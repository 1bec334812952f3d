package agent

import (
	"sync/atomic"
	"testing"
	"time"

	"dewhitch/internal/fleet"
)

// blockingStore is a store whose writes block while the disk is stuck.
type blockingStore struct {
	store
	diskToken       chan struct{} // holds one token while the disk works, and none while it is stuck
	entriesReceived atomic.Bool   // true once entries of the log were written, that is, the voter takes part in the log
}

func (s *blockingStore) Save(p fleet.StorageUpdate) error {
	<-s.diskToken
	defer func() { s.diskToken <- struct{}{} }()
	if len(p.Entries) > 0 {
		s.entriesReceived.Store(true)
	}
	return s.store.Save(p)
}

// maxAdoptionDelay is the longest time until all members follow a committed plan.
const maxAdoptionDelay = time.Second

// Guards against a voter that stops following plans while its disk is stuck. A voter with a stuck disk must follow a
// committed plan and answer calls like any member; only its messages that depend on stored log entries wait for the disk.
// The fault is described in docs/incidents/2026-12-03-voter-waits-for-its-disk.md.
func TestVoterWithStuckDiskAdoptsPlan(t *testing.T) {
	defer waitForGoroutines(t)
	diskToken := make(chan struct{}, 1)
	diskToken <- struct{}{}
	var stuckVoter *Agent
	blockedStore := &blockingStore{diskToken: diskToken}
	members, stop := startConfiguredMembers(t, 3, true, nil, func(a *Agent) {
		if a.options.Gossip.Name == "g2" { // not the voter that starts the log
			blockedStore.store, stuckVoter = a.storage.store, a
			a.storage.store = blockedStore
		}
	})
	defer stop()
	waitUntilFresh(t, members)
	eventually(t, "the voter's first write of log entries", blockedStore.entriesReceived.Load)
	<-diskToken // from here on the disk is stuck
	released := false
	release := func() {
		if !released {
			released = true
			diskToken <- struct{}{}
		}
	}
	defer release()
	epoch, err := members[0].Submit(t.Context(), "freeze", fleet.EncodeNote("me", "so"))
	if err != nil {
		t.Fatal(err)
	}
	committedAt := time.Now()
	adopted := make(chan fleet.Epoch, 1)
	go func() {
		for end := committedAt.Add(maxAdoptionDelay); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			s, err := stuckVoter.Status()
			if err == nil && !s.Epoch.Less(epoch) {
				adopted <- s.Epoch
				return
			}
		}
		adopted <- fleet.Epoch{}
	}()
	select {
	case at := <-adopted:
		if at.Less(epoch) {
			t.Errorf("the voter with the stuck disk follows epoch %v %v after epoch %v was committed", at, time.Since(committedAt), epoch)
		}
	case <-time.After(2 * maxAdoptionDelay):
		t.Errorf("the voter with the stuck disk does not answer %v after epoch %v was committed", time.Since(committedAt), epoch)
		release()
		<-adopted
	}
}
