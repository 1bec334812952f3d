package warmstart_test

import (
	"math"
	"testing"

	"pgregory.net/rapid"

	"dewhitch/internal/warmstart"
)

func TestTrustDecays(t *testing.T) {
	for _, age := range []float64{-1e-9, 60.1, math.NaN(), math.Inf(1), math.Inf(-1)} {
		if warmstart.Trust(age) != 0 || warmstart.IsQuotaValid(age, math.Inf(1)) {
			t.Errorf("believed at an age of %v", age)
		}
	}
	if warmstart.Trust(0) != 1 || !warmstart.IsQuotaValid(2, 2) || warmstart.IsQuotaValid(2.01, 2) {
		t.Error("the edges")
	}
	rapid.Check(t, func(t *rapid.T) {
		mean, exported := rapid.Float64Range(1e-3, 10).Draw(t, "mean"), rapid.Float64Range(1e-3, 100).Draw(t, "was")
		a := rapid.Float64Range(0, 60).Draw(t, "a")
		b := rapid.Float64Range(a, 60).Draw(t, "b")
		newer, older := warmstart.InitialLatency(exported, mean, warmstart.Trust(a)), warmstart.InitialLatency(exported, mean, warmstart.Trust(b))
		if older > newer || older < mean || newer > max(exported, mean)*(1+1e-12) {
			t.Fatalf("%v, later %v", newer, older)
		}
	})
}
