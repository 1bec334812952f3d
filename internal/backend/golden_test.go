package backend

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/golden"
	"dewhitch/internal/resp"
)

// Guards against changes of the commands that are sent to servers. Servers parse the arguments of a command and each name in its
// list of names and values. The clock is fixed.
func TestGoldenCommands(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := New(Names{Plans: []string{"wide", "slim"}}, Limits{}, noRecorder{})
		var b []byte
		for _, c := range []struct {
			remaining time.Duration
			request   *core.Request
		}{
			{1500 * time.Millisecond, &core.Request{ClassName: "order", Plan: 1, Customer: 0x1b4d65521, Units: 2.5, Spread: 3, FirstGateway: 4, Repeat: true,
				Message: core.Message{Name: "name-1", Key: "key-1", Body: []byte("body\r\n1")}}},
			{20*time.Millisecond + 1, &core.Request{ClassName: "quote", IdempotentQuery: true, Customer: 7, Units: 1, Spread: 1, Message: core.Message{Name: "name-2"}}},
			{-time.Second, &core.Request{ClassName: "charge", Customer: 0xfedcba9876543210, Units: 1e6, Spread: 5, FirstGateway: 6,
				Message: core.Message{Name: "name-3", Body: []byte{}}}},
		} {
			b = append(b, p.command(&attempt{Attempt: core.Attempt{Deadline: time.Now().Add(c.remaining), Request: c.request}})...)
		}
		golden.Compare(t, "commands.txt", b)
	})
}

// Guards against changes in how servers' answers are decoded. An answer is an array of the value, usage figures and the load
// report, or a failure whose last word is a load report. Each line of the golden file is one answer, in which the text \r\n
// stands for a line end.
func TestGoldenAnswers(t *testing.T) {
	full := dw.Load{Has: dw.HasInflight | dw.HasQueue | dw.HasUtil | dw.HasLatency | dw.HasRate | dw.HasErrors,
		Inflight: 1.5, Queue: 2.5, Util: 0.5, LatencyMS: 3.25, Rate: 4.5, Errors: 0.25}
	want := []struct {
		result   core.AttemptResult
		reusable bool
	}{
		{core.AttemptResult{Outcome: dw.OutcomeOK, Value: []byte("value-1"), Load: full}, true},
		{core.AttemptResult{Outcome: dw.OutcomeOK, Value: []byte("value-2"), Load: dw.Load{Has: dw.HasQueue, Queue: 7}}, true},
		{core.AttemptResult{Outcome: dw.OutcomeRejected}, true},
		{core.AttemptResult{Outcome: dw.OutcomeRejected, Load: full}, true},
		{core.AttemptResult{Outcome: dw.OutcomeError}, true},
		{core.AttemptResult{Outcome: dw.OutcomeError, Load: dw.Load{Has: dw.HasInflight, Inflight: 9}}, true},
		{core.AttemptResult{Outcome: dw.OutcomeError}, false}, // unknown error word
		{core.AttemptResult{Outcome: dw.OutcomeError}, false}, // null value
		{core.AttemptResult{Outcome: dw.OutcomeError}, false}, // array of the wrong length
		{core.AttemptResult{Outcome: dw.OutcomeError}, false}, // neither an array nor a failure
	}
	lines := strings.Split(strings.TrimSpace(string(golden.Read(t, "answers.txt"))), "\n")
	if len(lines) != len(want) {
		t.Fatalf("the golden file has %d answers, expected %d", len(lines), len(want))
	}
	for i, line := range lines {
		v, err := resp.NewReader(bytes.NewReader([]byte(strings.ReplaceAll(line, `\r\n`, "\r\n"))), 0).ReadValue()
		if err != nil {
			t.Fatal(line, err)
		}
		if result, reusable := decodeAnswer(v, true); reusable != want[i].reusable || !reflect.DeepEqual(result, want[i].result) {
			t.Errorf("%s\n     got %+v, reusable %v\nexpected %+v, reusable %v", line, result, reusable, want[i].result, want[i].reusable)
		}
	}
}
