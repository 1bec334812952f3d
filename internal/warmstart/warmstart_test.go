package warmstart_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"dewhitch/internal/warmstart"
)

// TestTrustDecays guards against a state that is trusted though it is too old or from the future, and against an initial latency
// that grows with the state's age or lies outside the range from the mean to the exported latency.
func TestTrustDecays(t *testing.T) {
	for _, age := range []float64{-1e-9, 60.1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		if warmstart.Trust(age) != 0 || warmstart.IsQuotaValid(age, math.Inf(1)) {
			t.Errorf("a state with an age of %v is trusted", age)
		}
	}
	if warmstart.Trust(0) != 1 || !warmstart.IsQuotaValid(2, 2) || warmstart.IsQuotaValid(2.01, 2) {
		t.Error("got a trust other than 1 at age 0, or a quota with a window of 2 s that is not valid until exactly 2 s")
	}
	rapid.Check(t, func(t *rapid.T) {
		mean, exported := rapid.Float64Range(1e-3, 10).Draw(t, "mean"), rapid.Float64Range(1e-3, 100).Draw(t, "was")
		a := rapid.Float64Range(0, 60).Draw(t, "a")
		b := rapid.Float64Range(a, 60).Draw(t, "b")
		newer, older := warmstart.InitialLatency(exported, mean, warmstart.Trust(a)), warmstart.InitialLatency(exported, mean, warmstart.Trust(b))
		if older > newer || older < mean || newer > max(exported, mean)*(1+1e-12) {
			t.Fatalf("got initial latency %v for the newer state and %v for the older one; expected at most as much for the older one, and both between the mean and the exported latency", newer, older)
		}
	})
}
