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
func TestDepartingClientSendsItsRequest(t *testing.T) {
	received := make(chan string, 1)
	l, err := standin.Listen("", func(c net.Conn) {
		line, _ := bufio.NewReader(c).ReadString('\n')
		received <- line
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	cluster := &cluster{checker: newRuleChecker(classesOf("safe"), nil)}
	c, err := standin.Dial(l.Addr(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	r := &clientRequest{id: "r", class: classesOf("safe")[0], departAfter: 1}
	end, reusable, answered := newLoadGenerator(cluster).attempt(r, &gateway{}, c, time.Now().Add(-time.Second/2))
	if end != clientDeparted || reusable || !answered {
		t.Errorf("its end is %s; reusable %v, answered %v", outcomeNames[end], reusable, answered)
	}
	c.Close()
	if line := <-received; !strings.HasPrefix(line, "*") {
		t.Errorf("received %q", line)
	}
	if counts, _ := cluster.checker.violations(); len(counts) > 0 || cluster.checker.departedClients() != (DepartedClients{Waiting: 1}) {
		t.Errorf("%v, %+v", counts, cluster.checker.departedClients())
	}
}
