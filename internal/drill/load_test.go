package drill

import (
	"bufio"
	"net"
	"strings"
	"testing"
	"time"

	"dewhitch/internal/standin"
)

// A client whose time to leave is up before its req is written, as its connection was long in coming up, still asks and then
// leaves: it is no req that the gateway lost.
func TestLeaverAsksBeforeItLeaves(t *testing.T) {
	asked := make(chan string, 1)
	l, err := standin.Listen("", func(c net.Conn) {
		line, _ := bufio.NewReader(c).ReadString('\n')
		asked <- line
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(l.Close)
	w := &world{judge: newJudge(classesOf("safe"), nil)}
	c, err := standin.Dial(l.Addr(), 5*time.Second)
	if err != nil {
		t.Fatal(err)
	}
	r := &req{id: "r", class: classesOf("safe")[0], leave: 1}
	end, kept, answered := newLoad(w).once(r, &gateway{}, c, time.Now().Add(-time.Second/2))
	if end != left || kept || !answered {
		t.Errorf("its end is %s; kept %v, answered %v", outcomeNames[end], kept, answered)
	}
	c.Close()
	if line := <-asked; !strings.HasPrefix(line, "*") {
		t.Errorf("asked %q", line)
	}
	if counts, _ := w.judge.broken(); len(counts) > 0 || w.judge.leavers() != (Left{Waiting: 1}) {
		t.Errorf("%v, %+v", counts, w.judge.leavers())
	}
}
