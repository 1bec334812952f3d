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

// Guards against a request that gets the answer to another one. A backend may send a second answer some milliseconds after the
// first; a connection that is reused before that would deliver it to the next request.
func TestSecondAnswerComesLate(t *testing.T) {
	listener, err := standin.Listen("", func(c net.Conn) {
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			args, err := standin.ReadCommand(r)
			if err != nil {
				return
			}
			if n > 0 { // the second answer to the first command arrives only now
				fmt.Fprint(c, "*3\r\n$3\r\nold\r\n$-1\r\n$-1\r\n")
			}
			fmt.Fprintf(c, "*3\r\n$1\r\n%s\r\n$-1\r\n$-1\r\n", args[2])
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	b := &testBed{Pools: New(Names{Plans: []string{"basic"}}, Limits{MaxConns: 8, BackendIdleTimeout: time.Minute, ConnectTimeout: testTimeout}, noRecorder{}),
		t: t, backend: core.Backend{ID: 1, Addr: listener.Addr()}}
	var mu sync.Mutex
	now := time.Unix(1000, 0)
	b.now = func() time.Time {
		mu.Lock()
		defer mu.Unlock()
		return now
	}
	for range 5 {
		id, ended := b.start(time.Time{})
		if result := <-ended; result.Outcome != dw.OutcomeOK || string(result.Value) != string(id) {
			t.Errorf("request %s got value %q and outcome %d, expected its own value", id, result.Value, result.Outcome)
		}
		mu.Lock()
		now = now.Add(19 * time.Millisecond / 5) // the attempts start within 19 ms, which is less than minIdleTime
		mu.Unlock()
	}
	b.expectNoLeaks()
}
