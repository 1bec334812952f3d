package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// addThroughListener adds to a total through a listener and returns the status and body of the answer, or "nothing" if no answer
// comes.
func addThroughListener(t *testing.T, listener *Listener, name string, by float64) string {
	t.Helper()
	c, err := net.Dial("tcp", listener.Addr())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "POST /counters/%s?by=%v&expire_ms=30000 HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n", name, by)
	r := bufio.NewReader(c)
	head, err := r.ReadString('\n')
	if err != nil {
		return "nothing"
	}
	length := 0
	for line := head; line != "\r\n"; {
		if line, err = r.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
		if v, ok := strings.CutPrefix(line, "Content-Length: "); ok {
			fmt.Sscan(v, &length)
		}
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(r, body); err != nil {
		t.Fatal(err)
	}
	return strings.Fields(head)[1] + " " + string(body)
}

// TestCounterFaults guards against faults that a script injects into the counter and that don't act on its listeners and store as
// documented.
func TestCounterFaults(t *testing.T) {
	c, err := NewCounter()
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	first := c.Listener
	second, err := c.AddListener()
	if err != nil {
		t.Fatal(err)
	}
	expect := func(listener *Listener, by float64, want string) {
		t.Helper()
		if got := addThroughListener(t, listener, "7.a", by); got != want {
			t.Errorf("got answer %q, expected %q", got, want)
		}
	}
	expect(first, 5, "200 5")
	expect(second, 1, "200 6") // both listeners use one store
	c.Snapshot()
	c.Split(1)
	expect(first, 10, "200 16")
	expect(second, 100, "200 106") // both partitions hold what was added before the split
	c.Join(JoinSum)
	expect(second, 0, "200 116")
	c.Restore()
	expect(first, 0, "200 6")
	c.Split(1)
	expect(second, 3, "200 9")
	c.Join(JoinFirst)
	expect(second, 0, "200 6")
	c.Split(1)
	expect(second, 3, "200 9")
	c.Join(JoinSecond)
	expect(first, 0, "200 9")
	c.SetMode("full", 1)
	expect(second, 1, "503 ")
	expect(first, 1, "200 10")
	c.SetMode("reset", 1)
	expect(second, 1, "nothing")
	c.SetMode("add")
	start := time.Now()
	c.SetLatency(60*time.Millisecond, 0)
	expect(first, 0, "200 10")
	if elapsed := time.Since(start); elapsed < 60*time.Millisecond {
		t.Errorf("an answer came after %v, expected a latency of at least 60ms", elapsed)
	}
	c.SetLatency(0)
	c.Play(context.Background(), ScheduledFault{time.Millisecond, (*Counter).Forget}, ScheduledFault{2 * time.Millisecond,
		func(c *Counter) { c.SetMode("spoilt") }})
	expect(first, 2, "200 NaN")
	if calls, units := c.Added(); calls != 13 || units["7"] != 5+1+10+100+3+3+1+2 {
		t.Errorf("got %d calls that added %v units by account, expected 13 that added 125 for account 7", calls, units)
	}
}
