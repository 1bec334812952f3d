package fleet

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"dewhitch/internal/golden"
)

var (
	goldenCount  = AttemptCounts{Attempts: 101, Served: 11, ConnectFailed: 12, TimedOut: 13, Failed: 14, Rejected: 15, LatencyMicros: 16, AnsweredLate: 7}
	goldenServer = ServerReport{AttemptCounts: AttemptCounts{Attempts: 201, Served: 21, ConnectFailed: 22, TimedOut: 23, Failed: 24, Rejected: 25, LatencyMicros: 26, AnsweredLate: 8},
		Zone: "hall-c", Queue: 31, InFlight: 32}
	goldenReport = Report{Zones: map[string]AttemptCounts{"hall-b": goldenCount}, Servers: map[uint32]ServerReport{41: goldenServer}, Requests: 42}
	goldenStatus = Status{Zone: "hall-a", Region: "north", Epoch: Epoch{1001, 1002}, Fresh: true, Leader: "g1", Identity: 51, Generation: 52,
		Promised: 53, Term: 54, Report: &goldenReport, Voters: []uint64{61, 62}, OutgoingVoters: []uint64{63}, GrantSeq: 55, Withdrawn: map[string]uint64{"s-00000001": 64}}
	goldenPlan = Plan{Epoch: Epoch{2001, 2002}, Sections: map[string]cbor.RawMessage{"zones": {0x82, 1, 2}}}
	goldenMark = OperatorMark{By: "alice", Reason: "night", At: 1700000000123}
)

// TestGoldenMessages fixes the encoding of each kind of message between members, which members of another version
// must be able to decode.
func TestGoldenMessages(t *testing.T) {
	for name, e := range map[string]envelope{
		"status": {Status: &goldenStatus},
		"grant":  {Grant: &grant{Seq: 71, Epoch: Epoch{72, 73}, Payload: []byte{7, 4}}},
		"plan":   {Plan: &goldenPlan},
		"raft":   {Raft: &raftMessage{Generation: 81, To: 82, Message: []byte{8, 3}}},
		"ask":    {Command: &command{ID: "g2/1/1", Name: "freeze", Args: []byte{9, 1}}},
		"told":   {CommandResult: &commandResult{ID: "g2/1/2", Error: "no", Epoch: Epoch{92, 93}}},
		"found":  {Generation: &generationMessage{Generation: 94, Promise: true, Plan: &goldenPlan}},
		"later":  {LaterIncarnation: &incarnation{StartedAt: 95, Number: 96}},
		// Messages whose optional fields are all omitted.
		"status-least": {Status: &Status{}},
		"grant-least":  {Grant: &grant{}},
		"told-least":   {CommandResult: &commandResult{}},
		"found-least":  {Generation: &generationMessage{}},
	} {
		e.Version, e.Fleet, e.From, e.StartedAt, e.Incarnation, e.Seq = wireVersion, "north-fleet", "g2", 1700000000000000001, 1<<63+5, 6
		v := reflect.ValueOf(e)
		for i := range v.NumField() {
			if f := v.Field(i); f.Kind() != reflect.Pointer {
				golden.Filled(t, f.Interface())
			} else if !f.IsNil() && !strings.HasSuffix(name, "-least") {
				golden.Filled(t, f.Interface())
			}
		}
		file := "message-" + name + ".cbor"
		golden.Compare(t, file, encode(e))
		if got, err := decode("north-fleet", golden.Read(t, file)); err != nil || !reflect.DeepEqual(*got, e) {
			t.Errorf("%s: decoded as %+v, error %v", name, got, err)
		}
	}
}

// goldenCBOR compares the encoding of a value that has every field set with its golden file, and checks that the
// file decodes to an equal value.
func goldenCBOR[T any](t *testing.T, file string, v T, read func([]byte, any) error) {
	t.Helper()
	golden.Filled(t, v)
	golden.Compare(t, file, encode(v))
	var got T
	if err := read(golden.Read(t, file), &got); err != nil || !reflect.DeepEqual(got, v) {
		t.Errorf("%s: decoded as %+v, error %v", file, got, err)
	}
}

// TestGoldenLog fixes the encoding of a log entry, which voters store and send, of the plan, which snapshots and
// members hold, and of this package's sections and operator notes.
func TestGoldenLog(t *testing.T) {
	goldenCBOR(t, "change.cbor", change{Base: Epoch{31, 32}, Set: map[string]cbor.RawMessage{"work": {0x81, 5}}, ID: "g1/a/7"}, cbor.Unmarshal)
	goldenCBOR(t, "change-removes.cbor", change{Base: Epoch{33, 34}, Set: map[string]cbor.RawMessage{"freeze": {cborNull}}, ID: "g1/a/8"}, cbor.Unmarshal)
	goldenCBOR(t, "plan.cbor", goldenPlan, cbor.Unmarshal)
	goldenCBOR(t, "voters.cbor", map[string]uint64{"g3": 1<<63 + 9}, cbor.Unmarshal)
	goldenCBOR(t, "mark.cbor", goldenMark, cbor.Unmarshal)
	goldenCBOR(t, "said.cbor", OperatorNote{By: "bob", Reason: "day"}, decoder.Unmarshal)
	golden.Compare(t, "said.cbor", EncodeNote("bob", "day"))
	var note OperatorNote
	if err := note.decode(golden.Read(t, "said.cbor")); err != nil || note != (OperatorNote{"bob", "day"}) {
		t.Errorf("decoded as %+v, error %v", note, err)
	}
	if got := encode(change{Set: map[string]cbor.RawMessage{"freeze": nil}}); !slices.Contains([]byte(got), cborNull) {
		t.Errorf("the encoding of a removed section contains no null: %x", got)
	}
}

// TestGoldenSections fixes the names of the sections and the commands, and the digest of a plan. It reads each
// section by its name.
func TestGoldenSections(t *testing.T) {
	p := Plan{Epoch: Epoch{11, 12}, Sections: map[string]cbor.RawMessage{"voters": golden.Read(t, "voters.cbor"), "freeze": golden.Read(t, "mark.cbor")}}
	if m, ok := p.Frozen(); !ok || m != goldenMark {
		t.Errorf("got freeze mark %+v, ok %v, expected goldenMark", m, ok)
	}
	if v := p.voters(); !maps.Equal(v, map[string]uint64{"g3": 1<<63 + 9}) {
		t.Errorf("got voters %v, expected g3 only", v)
	}
	if got := p.Digest(); got != goldenDigest {
		t.Errorf("got digest %#x, expected goldenDigest", got)
	}
	if got := slices.Sorted(maps.Keys(FreezeCommands())); !slices.Equal(got, []string{"freeze", "thaw"}) {
		t.Error("commands:", got)
	}
	set, err := FreezeCommands()["freeze"](&Plan{}, golden.Read(t, "said.cbor"), 1700000000123)
	if err != nil || !reflect.DeepEqual(set, map[string]cbor.RawMessage{"freeze": encode(OperatorMark{"bob", "day", 1700000000123})}) {
		t.Errorf("freeze returned sections %v, error %v", set, err)
	}
	set, err = FreezeCommands()["thaw"](&p, golden.Read(t, "said.cbor"), 1)
	if err != nil || !reflect.DeepEqual(set, map[string]cbor.RawMessage{"freeze": nil}) {
		t.Errorf("thaw returned sections %v, error %v", set, err)
	}
}

// TestGoldenNewGeneration fixes the snapshot with which a log starts, as voters store and send it.
func TestGoldenNewGeneration(t *testing.T) {
	s := newGenerationState(21, 22, goldenPlan)
	golden.Compare(t, "plan.cbor", s.Snapshot.GetData())
	var v voter
	if err := v.restoreSnapshot(s.Snapshot); err != nil || !reflect.DeepEqual(v.plan, goldenPlan) || v.applied != 1 {
		t.Errorf("restored plan %+v, error %v", v.plan, err)
	}
	if s.Identity != 21 || s.Generation != 22 || s.Promised != 22 || s.HardState.GetTerm() != 1 || s.HardState.GetCommit() != 1 {
		t.Errorf("got state %+v, expected identity 21, generation 22, and term and commit 1", s)
	}
}

// TestGoldenJSON fixes the JSON of this package's types, which operators see, and the text form of an epoch.
func TestGoldenJSON(t *testing.T) {
	type page struct {
		Epoch  Epoch        `json:"epoch"`
		Mark   OperatorMark `json:"mark"`
		Note   OperatorNote `json:"said"`
		Report Report       `json:"report"`
	}
	v := page{Epoch{1234567890123, 45}, goldenMark, OperatorNote{"bob", "day"}, goldenReport}
	golden.Filled(t, v)
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "shown.json", text)
	var got page
	if err := json.Unmarshal(golden.Read(t, "shown.json"), &got); err != nil || !reflect.DeepEqual(got, v) {
		t.Errorf("decoded as %+v, error %v", got, err)
	}
	if got := v.Epoch.String(); got != "1234567890123.45" {
		t.Error(got)
	}
	for _, bad := range []string{"", "1", "1.", ".1", "a.1", "1.b", "1.2.3"} {
		if err := new(Epoch).UnmarshalText([]byte(bad)); err == nil {
			t.Errorf("%q was accepted as an epoch", bad)
		}
	}
}

const goldenDigest = 0x3182e3d5e93bb1a3 // digest of the plan in TestGoldenSections
