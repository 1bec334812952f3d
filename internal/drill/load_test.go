package drill

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"dewhitch/internal/standin"
)

// TestDepartingClientSendsItsRequest guards against requests that count as lost although the gateway never received them. A client
// whose connection opens slowly may reach its time of departure before its request is written, and must still write the request.
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
	request := &clientRequest{id: "r", class: classesOf("safe")[0], departAfter: 1}
	result, reusable, answered := newLoadGenerator(cluster).attempt(request, &gateway{}, c, time.Now().Add(-time.Second/2))
	if result != clientDeparted || reusable || !answered {
		t.Errorf("outcome %s, reusable %v, answered %v; expected left, false, true", outcomeNames[result], reusable, answered)
	}
	c.Close()
	if line := <-received; !strings.HasPrefix(line, "*") {
		t.Errorf("the gateway received %q, expected a command", line)
	}
	if counts, _ := cluster.checker.violations(); len(counts) > 0 || cluster.checker.departedClients() != (DepartedClients{Waiting: 1}) {
		t.Errorf("violations %v, departed clients %+v; expected none, and one that was waiting", counts, cluster.checker.departedClients())
	}
}
