package dynaddr

import "testing"

// Each move notifies once whoever asked before it, and nobody who asked after.
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
		t.Error("a move notifies who asked after it")
	default:
	}
	a.Move("two") // to the same address: what is there may be another process
	<-second
}
