package shutdown

import (
	"math/rand/v2"
	"testing"
	"time"
)

// The times are in order for every longest deadline, and leave room for a stall before each term of the platform's.
func TestPlanHoldsTheTerms(t *testing.T) {
	const seed = 42
	rng := rand.New(rand.NewPCG(seed, 1))
	signalled := time.Unix(1_800_000_000, 0)
	for range 10_000 {
		longest := 50*time.Millisecond + time.Duration(rng.Int64N(int64(8*time.Second)))
		p := New(signalled, longest)
		kill := signalled.Add(min(longest, 3*time.Second) + 700*time.Millisecond)
		switch {
		case !p.KillAt.Equal(kill):
			t.Fatalf("seed %d, %v: SIGKILL at %v", seed, longest, p.KillAt.Sub(signalled))
		case p.AcceptUntil.Before(signalled.Add(400 * time.Millisecond)):
			t.Fatalf("seed %d, %v: the front still sends connections after %v", seed, longest, p.AcceptUntil.Sub(signalled))
		case p.AcceptUntil.Add(MaxStall).After(signalled.Add(700 * time.Millisecond)):
			t.Fatalf("seed %d, %v: requests that count are read until %v", seed, longest, p.AcceptUntil.Sub(signalled))
		case p.AnswerBy.Add(MaxStall + discardTime).After(p.KillAt), !p.AnswerBy.Before(p.CloseBy):
			t.Fatalf("seed %d, %v: answers by %v, SIGKILL at %v", seed, longest, p.AnswerBy.Sub(signalled), p.KillAt.Sub(signalled))
		case p.CloseBy.Add(MaxStall).After(p.KillAt):
			t.Fatalf("seed %d, %v: closed by %v, SIGKILL at %v", seed, longest, p.CloseBy.Sub(signalled), p.KillAt.Sub(signalled))
		}
	}
}
