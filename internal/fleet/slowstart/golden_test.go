package slowstart

import (
	"reflect"
	"testing"

	"dewhitch/internal/golden"
)

// TestGoldenGrant checks the encoding of a grant in the leader's answer against golden files, and decodes it as a gateway does.
func TestGoldenGrant(t *testing.T) {
	for name, grant := range map[string]Grant{"feed": {Rates: map[uint32]float64{0x0a0b0c0d: 12.375}}, "feed-least": {}} {
		if name == "feed" {
			golden.Filled(t, grant)
		}
		golden.Compare(t, name+".cbor", grant.Encode())
		if got, ok := Read(golden.Read(t, name+".cbor")); !ok || !reflect.DeepEqual(got, grant) {
			t.Errorf("%s: read as %+v, ok %v", name, got, ok)
		}
	}
}
