package shutdown

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestPlanHoldsTheTerms guards against a plan that stops accepting too early, or accepts, answers or closes too late, so that
// requests are lost at SIGKILL. For every longest deadline, each time leaves time for a stall before the platform's own limit.
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
			t.Fatalf("seed %d, longest deadline %v: wrong time of SIGKILL %v after SIGTERM", seed, longest, p.KillAt.Sub(signalled))
		case p.AcceptUntil.Before(signalled.Add(400 * time.Millisecond)):
			t.Fatalf("seed %d, longest deadline %v: connections are accepted for %v only, while the front still opens some", seed, longest, p.AcceptUntil.Sub(signalled))
		case p.AcceptUntil.Add(MaxStall).After(signalled.Add(700 * time.Millisecond)):
			t.Fatalf("seed %d, longest deadline %v: requests are read for %v, and after a stall for over 700 ms", seed, longest, p.AcceptUntil.Sub(signalled))
		case p.AnswerBy.Add(MaxStall + discardTime).After(p.KillAt), !p.AnswerBy.Before(p.CloseBy):
			t.Fatalf("seed %d, longest deadline %v: answers by %v, SIGKILL at %v after SIGTERM", seed, longest, p.AnswerBy.Sub(signalled), p.KillAt.Sub(signalled))
		case p.CloseBy.Add(MaxStall).After(p.KillAt):
			t.Fatalf("seed %d, longest deadline %v: closed by %v, SIGKILL at %v after SIGTERM", seed, longest, p.CloseBy.Sub(signalled), p.KillAt.Sub(signalled))
		}
	}
}
