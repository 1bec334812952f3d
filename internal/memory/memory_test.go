package memory

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"
)

// TestWorstCaseIsBelowTheLimit guards against a division of the memory whose parts add up to more than the process may use, and
// against one that leaves a part too little for one command or answer of the largest size.
func TestWorstCaseIsBelowTheLimit(t *testing.T) {
	const mebibyte, largest = 1 << 20, 70 << 10
	for _, megabytes := range []int64{32, 48, 64, 96, 128, 192, 1024} {
		for _, sockets := range []int{64, 256, 384, 512, 1024, 4096} {
			t.Run(fmt.Sprint(megabytes, " MB and ", sockets, " descriptors"), func(t *testing.T) {
				free := sockets - 29
				p := NewPlan(Machine{Bytes: megabytes * mebibyte, Sockets: sockets, Sessions: free * 6 / 10, Connections: free * 4 / 10})
				if p.WorstCase() > megabytes*mebibyte {
					t.Errorf("the worst case is %d KiB, the limit %d KiB: %+v", p.WorstCase()>>10, megabytes<<10, p)
				}
				if p.Requests <= 0 || p.Commands < largest || p.Answers < largest || p.Customers < 1000 {
					t.Errorf("too little of something: %+v", p)
				}
				if p.Sessions < min(free*6/10, 250) || p.Connections < min(free*4/10, 100) {
					t.Errorf("too few connections: %+v", p)
				}
			})
		}
	}
}

// newTestAccount returns an account with 100 bytes for commands.
func newTestAccount() *Account { return NewAccount(Plan{Commands: 100}) }

// TestAcquisitionsWaitInOrder checks that an acquisition waits until bytes are released, that a later and smaller one does not overtake
// it, and that one that gives up lets the next one pass.
func TestAcquisitionsWaitInOrder(t *testing.T) {
	a := newTestAccount()
	var shortages atomic.Int64
	a.OnShortage(Commands, func() { shortages.Add(1) })
	if !a.TryAcquire(Commands, 80) || a.TryAcquire(Commands, 30) {
		t.Fatal("80 of 100 bytes must be available, and then not 30 more")
	}
	givenUp := make(chan error, 1)
	ctx, cancel := context.WithCancel(t.Context())
	go func() { givenUp <- a.Acquire(ctx, Commands, 60) }()
	awaitWaiting(t, a, 1)
	if a.TryAcquire(Commands, 10) {
		t.Error("a small acquisition overtook one that waits")
	}
	acquired := make(chan error, 1)
	go func() { acquired <- a.Acquire(t.Context(), Commands, 10) }()
	awaitWaiting(t, a, 2)
	cancel()
	if err := <-givenUp; !errors.Is(err, context.Canceled) {
		t.Errorf("got error %v of the acquisition that gave up", err)
	}
	if err := <-acquired; err != nil {
		t.Error(err)
	}
	hold := NewHold(a, Commands, 80)
	hold.Release()
	hold.Release()
	if used, _ := a.Used(Commands); used != 10 || shortages.Load() != 2 {
		t.Errorf("got %d bytes in use and %d shortages, expected 10 and 2", used, shortages.Load())
	}
}

// awaitWaiting waits until n acquisitions wait.
func awaitWaiting(t *testing.T, a *Account, n int) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); a.Waiting(Commands) != n; time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d acquisitions wait, expected %d", a.Waiting(Commands), n)
		}
	}
}

// Guards against holders that together take all bytes of a use, so that one that comes later gets none.
func TestSharesLeaveSomeForOthers(t *testing.T) {
	a := NewAccount(Plan{Requests: 1000})
	held := make([]int64, 40)
	for range 1000 {
		for i := range held {
			if a.TryAcquireShare(Requests, 1, held[i], 2) {
				held[i]++
			}
		}
	}
	if used, _ := a.Used(Requests); used < 900 {
		t.Errorf("%d of 1000 bytes are in use by 40 holders that want all", used)
	}
	if !a.TryAcquireShare(Requests, 8, 0, 2) {
		t.Error("a holder that comes later gets nothing")
	}
	for i := range held {
		if held[i] < held[0]-1 || held[i] > held[0]+1 {
			t.Errorf("holders have %v", held)
			break
		}
	}
}
