package backend

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	dw "dewhitch"
	"dewhitch/internal/core"
	"dewhitch/internal/standin"
)

// A backend may give a second answer some milliseconds after the first. A connection that is used again by then would give
// it to the next request, which it was not made for.
func TestSecondAnswerComesLate(t *testing.T) {
	l, err := standin.Listen("", func(c net.Conn) {
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			words, err := standin.ReadCommand(r)
			if err != nil {
				return
			}
			if n > 0 { // the second answer to the first command was late until now
				fmt.Fprint(c, "*3\r\n$3\r\nold\r\n$-1\r\n$-1\r\n")
			}
			fmt.Fprintf(c, "*3\r\n$1\r\n%s\r\n$-1\r\n$-1\r\n", words[2])
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	b := &testBed{Pools: New(Names{Plans: []string{"basic"}}, Limits{MaxConns: 8, BackendIdleTimeout: time.Minute, ConnectTimeout: testTimeout}, noRecorder{}),
		t: t, backend: core.Backend{ID: 1, Addr: l.Addr()}}
	var mu sync.Mutex
	now := time.Unix(1000, 0)
	b.now = func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	for range 5 {
		id, end := b.start(time.Time{})
		if e := <-end; e.Outcome != dw.OutcomeOK || string(e.Value) != string(id) {
			t.Errorf("%s was given %q, outcome %d", id, e.Value, e.Outcome)
		}
		mu.Lock()
		now = now.Add(19 * time.Millisecond / 5) // all five within 19 ms
		mu.Unlock()
	}
	b.expectNothingLeft()
}
