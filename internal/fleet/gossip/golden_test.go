package gossip

import (
	"encoding/json"
	"net"
	"testing"

	"github.com/hashicorp/memberlist"

	"dewhitch/internal/golden"
)

var goldenMetadata = Metadata{Zone: "hall-a", Region: "north", Number: 3, Version: "1.2.3", Role: "gateway"}

// TestGoldenMetadata compares the encoded metadata of a member with the golden files, and reads it as another member
// does. The library defines packets and streams.
func TestGoldenMetadata(t *testing.T) {
	for name, metadata := range map[string]Metadata{"about": goldenMetadata, "about-least": {}} {
		if name == "about" {
			golden.Filled(t, metadata)
		}
		g := &Gossip{options: Options{Metadata: metadata, StateChanged: func(string, string) {}}, members: map[string]Member{}}
		golden.Compare(t, name+".cbor", (&delegate{g}).NodeMeta(memberlist.MetaMaxSize))
		n := &memberlist.Node{Name: "g3", Addr: net.IPv4(127, 0, 0, 3), Port: 7003, Meta: golden.Read(t, name+".cbor")}
		(&delegate{g}).NotifyJoin(n)
		if got := g.members["g3"]; got != (Member{"g3", "alive", "127.0.0.3:7003", metadata}) {
			t.Errorf("%s: read as %+v", name, got)
		}
		(&delegate{g}).NotifyLeave(n)
		if got := g.members["g3"].State; got != "gone" {
			t.Errorf("state of a dead member is %s, expected gone", got)
		}
		n.State = memberlist.StateLeft
		(&delegate{g}).NotifyLeave(n)
		if got := g.members["g3"].State; got != "left" {
			t.Errorf("state of a member that left is %s, expected left", got)
		}
	}
}

// TestGoldenMember compares a member in the JSON of the operators' page with the golden file.
func TestGoldenMember(t *testing.T) {
	m := Member{Name: "g3", State: "suspect", Address: "127.0.0.3:7003", Metadata: goldenMetadata}
	golden.Filled(t, m)
	text, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "member.json", text)
	var got Member
	if err := json.Unmarshal(golden.Read(t, "member.json"), &got); err != nil || got != m {
		t.Errorf("read as %+v, error %v", got, err)
	}
}
