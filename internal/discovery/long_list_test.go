package discovery

import (
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"reflect"
	"strings"
	"testing"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/standin"
)

// longMessageJSON returns a message for a list with the given number of servers. Every fourth server has the given phase;
// a delta contains only these. The separator precedes each key and each member.
func longMessageJSON(revision, servers int, complete bool, phase string, separator string) string {
	var members []string
	for i := range servers {
		memberPhase := "up"
		if i%4 == 0 {
			memberPhase = phase
		}
		if complete || i%4 == 0 {
			members = append(members, standin.Member(fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), "127.0.0.1:1", memberPhase))
		}
	}
	return fmt.Sprintf("{%[1]s\"revision\":%[2]d,%[1]s\"complete\":%[3]v,%[1]s\"members\":[%[1]s%[4]s]}", separator, revision, complete,
		strings.Join(members, ","+separator))
}

// TestLongListsAreRead guards against changes of long lists that don't reach the planner. It reads complete lists and deltas of
// several lengths, from a watch or a poll, on one line or indented, in one piece or in many small ones.
func TestLongListsAreRead(t *testing.T) {
	split := func(text string) []string {
		var pieces []string
		for size := 1; len(text) > 0; size = size*2%40_961 + 1 {
			n := min(size, len(text))
			pieces, text = append(pieces, text[:n]), text[n:]
		}
		return pieces
	}
	for _, servers := range []int{200, 1_860, 1_880, 3_200, 12_800} {
		for layout, separator := range map[string]string{"on a line": "", "indented": "\n                "} {
			first := completeAnswer(longMessageJSON(41, servers, true, "up", separator))
			full, delta := longMessageJSON(42, servers, true, "draining", separator), longMessageJSON(42, servers, false, "draining", separator)
			for name, answers := range map[string][]answerFunc{
				"complete list in the watch":            {first, watchAnswer(stall, full+"\n")},
				"complete list in the watch, in pieces": {first, watchAnswer(stall, append(split(full), "\n")...)},
				"delta":                                 {first, watchAnswer(stall, delta+"\n")},
				"delta, in pieces":                      {first, watchAnswer(stall, append(split(delta), "\n")...)},
				"watch ends, then complete list":        {first, watchAnswer(endChunks), watchAnswer(stall, "\n", full+"\n")},
				"watch ends within complete list":       {first, watchAnswer(closeConn, full[:len(full)/2]), watchAnswer(stall, full+"\n")},
				"unreadable message, then poll":         {first, watchAnswer(stall, "nonsense\n"), completeAnswer(full)},
				"unreadable, then poll without length":  {first, watchAnswer(stall, "nonsense\n"), unboundedAnswer(full, closeConn)},
			} {
				t.Run(fmt.Sprintf("%d/%s/%s", servers, layout, name), func(t *testing.T) {
					t.Parallel()
					b := newTestBed(t, answers...)
					b.watchTimeout, b.pollTimeout = testTimeout, testTimeout
					b.expectUpdates(t, "41 up", "42 draining")
				})
			}
		}
	}
}

// TestUnusableAnswerIsNotRequestedAgain guards against repeating a request whose answer can't be used, as the answer would be the
// same. The next request is of the other kind: a watch, then a poll, then a watch.
func TestUnusableAnswerIsNotRequestedAgain(t *testing.T) {
	tooLong := func(c *net.TCPConn) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n{")
		for space := make([]byte, 64<<10); ; {
			if _, err := c.Write(space); err != nil {
				return false
			}
		}
	}
	const poll, watch = "/api/targets", "/api/targets?follow=1&since=41"
	b := newTestBed(t, completeAnswer(messageJSON(41, true, "up")), tooLong, tooLong,
		watchAnswer(stall, messageJSON(42, false, "draining")+"\n"))
	b.watchTimeout, b.pollTimeout = testTimeout, testTimeout
	b.expectUpdates(t, "41 up", "42 draining")
	b.mu.Lock()
	defer b.mu.Unlock()
	if got := strings.Join(b.requests, " "); got != strings.Join([]string{poll, watch, poll, watch}, " ") {
		t.Errorf("got requests %s, expected a poll, a watch, a poll and a watch", got)
	}
}

// TestCostOfALongListIsLinear guards against quadratic cost for messages that arrive one byte at a time and for unknown ids. With
// quadratic cost, this test would take hours.
func TestCostOfALongListIsLinear(t *testing.T) {
	const servers = 60_000
	text := longMessageJSON(1, servers, true, "up", "")
	m := &messageReader{r: &stepReader{[]byte(text), 1}}
	got, err := m.next()
	if err != nil || string(got) != text {
		t.Fatalf("got %d of %d bytes, error %v", len(got), len(text), err)
	}
	d := NewDecoder(Names{})
	if decoded, err := d.Decode(got); err != nil || len(decoded.Members) != servers {
		t.Fatalf("got %d of %d servers, error %v", len(decoded.Members), servers, err)
	}
}

// TestViewMatchesMessages guards against a planner whose list differs from the director's. It applies random sequences of
// messages to a view and checks that the list built from the view's updates always equals the list that the messages describe,
// and that the decoder keeps no ids of other servers.
func TestViewMatchesMessages(t *testing.T) {
	const seed, runs, messages, ids = 42, 300, 60, 12
	for run := range runs {
		rng := rand.New(rand.NewPCG(seed, uint64(run)))
		d := NewDecoder(Names{})
		v := newView(d)
		expected, received := map[dw.ServerID]ListedServer{}, map[dw.ServerID]ListedServer{}
		for n := range messages {
			m := randomMessage(rng, d, int64(n+1), ids)
			var update core.EndpointUpdate
			if stale := rng.IntN(6) == 0; stale {
				update = v.applyRestrictions(m, int64(n))
				m.Complete = false
				m.Members = notReady(m.Members)
			} else {
				update = v.apply(m)
			}
			applyMessage(expected, m)
			applyUpdate(received, update)
			if !maps.Equal(expected, received) {
				t.Fatalf("seed %d, run %d, message %d: the planner holds %v, expected %v", seed, run, n, received, expected)
			}
			if m.Complete && len(d.ids) != len(expected) {
				t.Fatalf("seed %d, run %d, message %d: the decoder holds %d ids for %d servers", seed, run, n, len(d.ids), len(expected))
			}
		}
	}
}

// randomMessage returns a random message about up to the given number of servers.
func randomMessage(rng *rand.Rand, d *Decoder, revision int64, ids int) Message {
	m := Message{Revision: revision, Complete: rng.IntN(3) == 0}
	phases := []string{"up", "up", "draining", "removed"}
	if m.Complete {
		phases = phases[:3]
	}
	var members []string
	for id := range ids {
		if rng.IntN(3) > 0 {
			members = append(members, standin.Member(fmt.Sprintf("s-%08x", id), fmt.Sprintf("127.0.0.1:%d", 1+rng.IntN(2)),
				phases[rng.IntN(len(phases))]))
		}
	}
	text := fmt.Sprintf(`{"revision":%d,"complete":%v,"members":%s}`, revision, m.Complete, standin.Members(members...))
	m, err := d.Decode([]byte(text))
	if err != nil {
		panic(err)
	}
	return m
}

// notReady returns the servers that are not ready.
func notReady(servers []ListedServer) (out []ListedServer) {
	for _, s := range servers {
		if s.Entry.State != dw.Ready {
			out = append(out, s)
		}
	}
	return out
}

// applyMessage applies a message to a list as the director specifies it.
func applyMessage(list map[dw.ServerID]ListedServer, m Message) {
	if m.Complete {
		clear(list)
	}
	for _, s := range m.Members {
		if delete(list, s.Entry.ID); s.Entry.State != dw.Removed {
			list[s.Entry.ID] = s
		}
	}
}

// applyUpdate applies an update to a list as the planner does.
func applyUpdate(list map[dw.ServerID]ListedServer, update core.EndpointUpdate) {
	if update.List.Kind != dw.ListDelta {
		clear(list)
	}
	for i, e := range update.List.Servers {
		if delete(list, e.ID); e.State != dw.Removed {
			list[e.ID] = ListedServer{ServerName: fmt.Sprintf("s-%08x", uint32(e.ID)), Addr: update.Addrs[i], Entry: e}
		}
	}
}

// FuzzDecode checks that each text that the decoder accepts is valid JSON with the same content according to the standard
// library, and that the decoder doesn't panic on any text.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(messageJSON(41, true, "up")))
	f.Add([]byte(indentedJSON(42, "draining")))
	f.Add([]byte(`{"members":[{"id":"x","host_port":"a","phase":"up","size":1e400}],"complete":tru}`))
	f.Add([]byte(`{"revision":1,"members":[{"id":"s-1\u00e9","phase":"removed","more":[{}]},]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d := NewDecoder(Names{Zones: []string{"hall-a"}, Kinds: []string{"std-3c"}})
		m, err := d.Decode(text)
		if err != nil {
			return
		}
		var reference struct {
			Revision int64
			Complete bool
			Members  []struct {
				ID       string
				HostPort string `json:"host_port"`
			}
		}
		if !json.Valid(text) {
			t.Fatalf("%q is not valid JSON, but was decoded as %+v", text, m)
		}
		if json.Unmarshal(text, &reference) != nil || !unambiguous(text) {
			return // the library is stricter about ranges, ignores the case of keys and uses the last of duplicate keys
		}
		var ids, want []string
		for _, s := range m.Members {
			ids = append(ids, s.ServerName)
		}
		for _, s := range reference.Members {
			want = append(want, s.ID)
		}
		if m.Revision != reference.Revision || m.Complete != reference.Complete || !reflect.DeepEqual(ids, want) {
			t.Errorf("%q: got %+v, expected %+v as decoded by the standard library", text, m, reference)
		}
	})
}

// unambiguous returns true if the text contains no duplicate keys and no keys in another case. It only counts occurrences, and so
// may also return false for a text without such keys.
func unambiguous(text []byte) bool {
	s := string(text)
	return s == strings.ToLower(s) && strings.Count(s, `"revision"`) <= 1 && strings.Count(s, `"complete"`) <= 1 &&
		strings.Count(s, `"members"`) <= 1 && strings.Count(s, `"id"`) == strings.Count(s, `"phase"`) && !strings.Contains(s, `\`)
}
