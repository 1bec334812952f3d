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
	diskToken    chan struct{} // holds one while the disk works
	entriesSaved atomic.Bool   // entries of the log came: it votes
}

func (s *blockingStore) Save(p fleet.StorageUpdate) error {
	<-s.diskToken
	defer func() { s.diskToken <- struct{}{} }()
	if len(p.Entries) > 0 {
		s.entriesSaved.Store(true)
	}
	return s.store.Save(p)
}

// maxAdoptionDelay is how soon all members must act on a committed plan.
const maxAdoptionDelay = time.Second

// A voter whose disk is stuck acts on a committed plan and answers calls as any member does; only its
// messages of the log wait for the disk. The fault that this guards against:
// docs/incidents/2026-12-03-voter-waits-for-its-disk.md.
func TestVoterOnASlowDiskActsInTime(t *testing.T) {
	defer waitForGoroutines(t)
	disk := make(chan struct{}, 1)
	disk <- struct{}{}
	var slow *Agent
	blocking := &blockingStore{diskToken: disk}
	all, stop := startConfigured(t, 3, true, nil, func(a *Agent) {
		if a.options.Gossip.Name == "g2" { // not the one that starts the log
			blocking.store, slow = a.storage.store, a
			a.storage.store = blocking
		}
	})
	defer stop()
	waitUntilFresh(t, all)
	eventually(t, "the voter's part in the log", blocking.entriesSaved.Load)
	<-disk // stuck from here on
	released := false
	release := func() {
		if !released {
			released = true
			disk <- struct{}{}
		}
	}
	defer release()
	epoch, err := all[0].Submit(t.Context(), "freeze", fleet.EncodeNote("me", "so"))
	if err != nil {
		t.Fatal(err)
	}
	committed := time.Now()
	acted := make(chan fleet.Epoch, 1)
	go func() {
		for end := committed.Add(maxAdoptionDelay); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			s, err := slow.Status()
			if err == nil && !s.Epoch.Less(epoch) {
				acted <- s.Epoch
				return
			}
		}
		acted <- fleet.Epoch{}
	}()
	select {
	case at := <-acted:
		if at.Less(epoch) {
			t.Errorf("the voter with the slow disk acts on %v %v after %v was committed", at, time.Since(committed), epoch)
		}
	case <-time.After(2 * maxAdoptionDelay):
		t.Errorf("the voter with the slow disk answers nothing %v after %v was committed", time.Since(committed), epoch)
		release()
		<-acted
	}
}
