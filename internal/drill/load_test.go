package drill

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"dewhitch/internal/standin"
)

// A client whose time to leave is over before its request is written, as its connection took long to open, still sends it and then
// leaves: the gateway has not lost it.
func TestLeaverAsksBeforeItLeaves(t *testing.T) {
	received := make(chan string, 1)
	l, err := standin.Listen("", func(c net.Conn) {
		line, _ := bufio.NewReader(c).ReadString('\n')
		received <- line
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	cl := &cluster{checker: newRuleChecker(classesOf("safe"), nil)}
	c, err := standin.Dial(l.Addr(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	r := &clientRequest{id: "r", class: classesOf("safe")[0], leaveAfter: 1}
	end, reusable, answered := newLoadGenerator(cl).attempt(r, &gateway{}, c, time.Now().Add(-time.Second/2))
	if end != clientGone || reusable || !answered {
		t.Errorf("its end is %s; reusable %v, answered %v", outcomeNames[end], reusable, answered)
	}
	c.Close()
	if line := <-received; !strings.HasPrefix(line, "*") {
		t.Errorf("received %q", line)
	}
	if counts, _ := cl.checker.violations(); len(counts) > 0 || cl.checker.leftResult() != (ClientsLeft{Waiting: 1}) {
		t.Errorf("%v, %+v", counts, cl.checker.leftResult())
	}
}
