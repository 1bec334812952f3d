package recorder

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/golden"
	"dewhitch/internal/ledger"
)

// TestAlarmForm compares the lines of the alarm file with a golden file: an alarm with all fields, one without optional fields,
// and those made of mismatches. Operators' tools read the file; the program itself does not.
func TestAlarmForm(t *testing.T) {
	at := time.Date(2026, 3, 1, 6, 1, 2, 3000, time.UTC)
	path := filepath.Join(t.TempDir(), "alarms")
	booking := ledger.Key{Customer: 0xaa, Plan: 1, Class: 0}
	l := ledger.New(ledger.Limits{}, false)
	rec := New(l, ledger.Names{Plans: []string{"basic", "fleet"}, Classes: []string{"booking"}}, nil,
		Options{AlarmFile: path, Log: zap.NewNop()})
	l.Post(ledger.Posting{Event: ledger.FrontTaken, Key: booking, Ref: 77, Units: 2500000, At: at.UnixNano(), Wait: 5})
	l.Post(ledger.Posting{Event: ledger.FrontServed, Key: booking, Ref: 77, At: at.Add(time.Second).UnixNano()})
	full := alarm{At: at, State: "raised", Check: "taken <= served", Customer: "00000000000000bb", Plan: "basic", Class: "lookup",
		Journals: []string{"front", "planner"}, Figures: []int64{-3, 4}, LastPostings: []string{"one", "two"}}
	alarms := []alarm{full, {At: at, State: "cleared", Check: "sum of taken", Customer: "all"},
		rec.newAlarm(ledger.Mismatch{Key: booking, Check: "fetches ordered = begun", Journals: [2]ledger.Journal{ledger.JournalPlanner, ledger.JournalAttempts},
			Left: 8, Right: 9}),
		rec.newAlarm(ledger.Mismatch{AllRows: true, Check: "sum of served", Journals: [2]ledger.Journal{ledger.JournalFront, ledger.JournalFront}, Left: 1, Right: 2}),
		rec.newAlarm(ledger.Mismatch{Key: ledger.Account(0xcc), Check: ledger.CheckTally}),
	}
	for i := range alarms {
		alarms[i].At = at // alarms made of mismatches have the current time
		rec.appendToAlarmFile(alarms[i])
	}
	lines, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	golden.Compare(t, "alarms.jsonl", lines)
	var got []alarm
	for line := range bytes.Lines(golden.Read(t, "alarms.jsonl")) {
		var a alarm
		if err := json.Unmarshal(line, &a); err != nil {
			t.Fatal(err)
		}
		got = append(got, a)
	}
	if !reflect.DeepEqual(got, alarms) {
		t.Errorf("the golden file is parsed as different alarms: %+v", got)
	}
}
