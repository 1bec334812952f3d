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

// longMessage is a message that names so many servers, of which those at every fourth place have the phase.
func longMessage(revision, servers int, complete bool, phase string, between string) string {
	var members []string
	for i := range servers {
		at := "up"
		if i%4 == 0 {
			at = phase
		}
		if complete || i%4 == 0 {
			members = append(members, standin.Member(fmt.Sprintf("s-%08x", uint32(i+1)*2654435761), "127.0.0.1:1", at))
		}
	}
	return fmt.Sprintf("{%[1]s\"revision\":%[2]d,%[1]s\"complete\":%[3]v,%[1]s\"members\":[%[1]s%[4]s]}", between, revision, complete,
		strings.Join(members, ","+between))
}

// A change reaches the planner whatever the number of servers and its form: the complete list or a delta,
// in the watch or in answer to a poll, on a line or indented, in one piece or in small ones.
func TestLongListsAreRead(t *testing.T) {
	inPieces := func(text string) []string {
		var all []string
		for size := 1; len(text) > 0; size = size*2%40_961 + 1 {
			n := min(size, len(text))
			all, text = append(all, text[:n]), text[n:]
		}
		return all
	}
	for _, servers := range []int{200, 1_860, 1_880, 3_200, 12_800} {
		for form, between := range map[string]string{"on a line": "", "indented": "\n                "} {
			first := complete(longMessage(41, servers, true, "up", between))
			all, some := longMessage(42, servers, true, "draining", between), longMessage(42, servers, false, "draining", between)
			for how, answers := range map[string][]answerFunc{
				"all in the watch":             {first, watch(silent, all+"\n")},
				"all in the watch, in pieces":  {first, watch(silent, append(inPieces(all), "\n")...)},
				"what changed":                 {first, watch(silent, some+"\n")},
				"what changed, in pieces":      {first, watch(silent, append(inPieces(some), "\n")...)},
				"the watch ends, then all":     {first, watch(ends), watch(silent, "\n", all+"\n")},
				"the watch ends within all":    {first, watch(closes, all[:len(all)/2]), watch(silent, all+"\n")},
				"unreadable, then all again":   {first, watch(silent, "nonsense\n"), complete(all)},
				"again of no length, by a cut": {first, watch(silent, "nonsense\n"), unbounded(all, closes)},
			} {
				t.Run(fmt.Sprintf("%d/%s/%s", servers, form, how), func(t *testing.T) {
					t.Parallel()
					b := newBed(t, answers...)
					b.watchTimeout, b.pollTimeout = testTimeout, testTimeout
					b.expectUpdates(t, "41 up", "42 draining")
				})
			}
		}
	}
}

// A request whose answer can't be used is followed by one of the other kind: a watch, then a poll, then a watch.
func TestUnusableAnswerIsNotRequestedAgain(t *testing.T) {
	tooLong := func(c *net.TCPConn) bool {
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\n{")
		for space := make([]byte, 64<<10); ; {
			if _, err := c.Write(space); err != nil {
				return false
			}
		}
	}
	const all, since = "/api/targets", "/api/targets?follow=1&since=41"
	b := newBed(t, complete(message(41, true, "up")), tooLong, tooLong, watch(silent, message(42, false, "draining")+"\n"))
	b.watchTimeout, b.pollTimeout = testTimeout, testTimeout
	b.expectUpdates(t, "41 up", "42 draining")
	b.mu.Lock()
	defer b.mu.Unlock()
	if got := strings.Join(b.requests, " "); got != strings.Join([]string{all, since, all, since}, " ") {
		t.Errorf("requests %s", got)
	}
}

// A message that comes a byte at a time, and ids that were never seen, cost no more than their number: done in any other way,
// these would take hours.
func TestCostOfALongListIsLinear(t *testing.T) {
	const servers = 60_000
	text := longMessage(1, servers, true, "up", "")
	m := &messageReader{r: &steps{[]byte(text), 1}}
	got, err := m.next()
	if err != nil || string(got) != text {
		t.Fatalf("%d bytes of %d, %v", len(got), len(text), err)
	}
	d := NewDecoder(Names{})
	if l, err := d.Decode(got); err != nil || len(l.Members) != servers {
		t.Fatalf("%d of %d servers, %v", len(l.Members), servers, err)
	}
}

// The planner's list, by the changes that a view gives, is always what the messages say, in random orders of them; and the
// decoder knows of no others.
func TestViewMatchesMessages(t *testing.T) {
	const seed, worlds, messages, ids = 42, 300, 60, 12
	for world := range worlds {
		rng := rand.New(rand.NewPCG(seed, uint64(world)))
		d := NewDecoder(Names{})
		v := newView(d)
		truth, planner := map[dw.ServerID]ListedServer{}, map[dw.ServerID]ListedServer{}
		for n := range messages {
			m := randomMessage(rng, d, int64(n+1), ids)
			var l core.EndpointUpdate
			if older := rng.IntN(6) == 0; older {
				l = v.applyRestrictions(m, int64(n))
				m.Complete = false
				m.Members = notReady(m.Members)
			} else {
				l = v.apply(m)
			}
			applyMessage(truth, m)
			applyUpdate(planner, l)
			if !maps.Equal(truth, planner) {
				t.Fatalf("seed %d, world %d, message %d: the planner holds %v, and the messages say %v", seed, world, n, planner, truth)
			}
			if m.Complete && len(d.ids) != len(truth) {
				t.Fatalf("seed %d, world %d, message %d: %d ids for %d servers", seed, world, n, len(d.ids), len(truth))
			}
		}
	}
}

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

func notReady(all []ListedServer) (out []ListedServer) {
	for _, s := range all {
		if s.Entry.State != dw.Ready {
			out = append(out, s)
		}
	}
	return out
}

// applyMessage takes a message into a list as its sender means it.
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

// applyUpdate takes a listing into a list as the planner does.
func applyUpdate(list map[dw.ServerID]ListedServer, l core.EndpointUpdate) {
	if l.List.Kind != dw.ListDelta {
		clear(list)
	}
	for i, e := range l.List.Servers {
		if delete(list, e.ID); e.State != dw.Removed {
			list[e.ID] = ListedServer{ServerName: fmt.Sprintf("s-%08x", uint32(e.ID)), Addr: l.Addrs[i], Entry: e}
		}
	}
}

// What the decoder takes for a list is JSON, and says the same to the standard library; nothing makes it fail otherwise than by
// an error.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(message(41, true, "up")))
	f.Add([]byte(indented(42, "draining")))
	f.Add([]byte(`{"members":[{"id":"x","host_port":"a","phase":"up","size":1e400}],"complete":tru}`))
	f.Add([]byte(`{"revision":1,"members":[{"id":"s-1\u00e9","phase":"removed","more":[{}]},]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		d := NewDecoder(Names{Zones: []string{"hall-a"}, Kinds: []string{"std-3c"}})
		m, err := d.Decode(text)
		if err != nil {
			return
		}
		var same struct {
			Revision int64
			Complete bool
			Members  []struct {
				ID       string
				HostPort string `json:"host_port"`
			}
		}
		if !json.Valid(text) {
			t.Fatalf("%q is no JSON, and was taken for %+v", text, m)
		}
		if json.Unmarshal(text, &same) != nil || !unambiguous(text) {
			return // the library is stricter in ranges, and laxer in the case of keys, and takes the last of two
		}
		var ids, want []string
		for _, s := range m.Members {
			ids = append(ids, s.ServerName)
		}
		for _, s := range same.Members {
			want = append(want, s.ID)
		}
		if m.Revision != same.Revision || m.Complete != same.Complete || !reflect.DeepEqual(ids, want) {
			t.Errorf("%q: %+v, and by the library %+v", text, m, same)
		}
	})
}

// unambiguous tells whether no key stands twice or in another case, as far as letters tell.
func unambiguous(text []byte) bool {
	s := string(text)
	return s == strings.ToLower(s) && strings.Count(s, `"revision"`) <= 1 && strings.Count(s, `"complete"`) <= 1 &&
		strings.Count(s, `"members"`) <= 1 && strings.Count(s, `"id"`) == strings.Count(s, `"phase"`) && !strings.Contains(s, `\`)
}
