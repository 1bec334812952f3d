package dynaddr

import "testing"

// Each move is told once to whoever asked before it, and to nobody who asked after.
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
		t.Error("a move is told to who asked after it")
	default:
	}
	a.Move("two") // to the same address: it is to be asked anew
	<-second
}
