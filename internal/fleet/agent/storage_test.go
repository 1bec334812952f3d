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
	diskToken       chan struct{} // holds one while the disk works
	entriesReceived atomic.Bool   // entries of the log came: it votes
}

func (s *blockingStore) Save(p fleet.StorageUpdate) error {
	<-s.diskToken
	defer func() { s.diskToken <- struct{}{} }()
	if len(p.Entries) > 0 {
		s.entriesReceived.Store(true)
	}
	return s.store.Save(p)
}

// maxAdoptionDelay is how soon all members must act on a committed plan.
const maxAdoptionDelay = time.Second

// A voter whose disk is stuck acts on a committed plan and answers calls as any member does; only its
// messages of the log wait for the disk. The fault that this guards against:
// docs/incidents/2026-12-03-voter-waits-for-its-disk.md.
func TestVoterWithStuckDiskAdoptsPlan(t *testing.T) {
	defer waitForGoroutines(t)
	diskToken := make(chan struct{}, 1)
	diskToken <- struct{}{}
	var slowVoter *Agent
	store := &blockingStore{diskToken: diskToken}
	members, stop := startConfiguredMembers(t, 3, true, nil, func(a *Agent) {
		if a.options.Gossip.Name == "g2" { // not the one that starts the log
			store.store, slowVoter = a.storage.store, a
			a.storage.store = store
		}
	})
	defer stop()
	waitUntilFresh(t, members)
	eventually(t, "the voter's part in the log", store.entriesReceived.Load)
	<-diskToken // stuck from here on
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
			s, err := slowVoter.Status()
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
			t.Errorf("the voter with the slow disk acts on %v %v after %v was committed", at, time.Since(committedAt), epoch)
		}
	case <-time.After(2 * maxAdoptionDelay):
		t.Errorf("the voter with the slow disk answers nothing %v after %v was committed", time.Since(committedAt), epoch)
		release()
		<-adopted
	}
}
