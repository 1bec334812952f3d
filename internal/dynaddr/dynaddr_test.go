package dynaddr

import "testing"

// TestMove guards against clients that stay connected to a former address. A move must close the channels that were returned
// before it, and no channel that was returned after it.
func TestMove(t *testing.T) {
	a := New("one")
	addr, first := a.Current()
	if addr != "one" {
		t.Fatal(addr)
	}
	a.Move("two")
	<-first
	addr, second := a.Current()
	if addr != "two" {
		t.Fatal(addr)
	}
	select {
	case <-second:
		t.Error("the first move closed a channel that was returned after it")
	default:
	}
	a.Move("two") // the same address: another process may listen there
	<-second
}
