package link

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"testing"
	"time"

	"dewhitch/internal/standin"
)

// openLink opens a link to a listener that serves each connection with serve.
func openLink(t *testing.T, serve func(net.Conn)) (*Net, *Link) {
	s, err := standin.Listen("", serve)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	n := NewNet(1)
	t.Cleanup(n.Close)
	l, err := n.Open("a", "b", standin.OwnAddr(), s.Addr(), false)
	if err != nil {
		t.Fatal(err)
	}
	return n, l
}

// openEchoLink opens a link to a listener that answers each line with itself.
func openEchoLink(t *testing.T) (*Net, *Link) {
	return openLink(t, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			fmt.Fprint(c, line)
		}
	})
}

// echoes sends a line and reports whether it comes back in time.
func echoes(c net.Conn, timeout time.Duration) bool {
	c.SetDeadline(time.Now().Add(timeout))
	fmt.Fprintln(c, "hello")
	_, err := bufio.NewReader(c).ReadString('\n')
	return err == nil
}

func TestSilentDirection(t *testing.T) {
	for _, direction := range [][2]string{{"a", "b"}, {"b", "a"}} {
		t.Run(direction[0]+"-"+direction[1], func(t *testing.T) {
			n, l := openEchoLink(t)
			c, err := net.Dial("tcp", l.Addr())
			if err != nil || !echoes(c, 5*time.Second) {
				t.Fatal("a healthy direction delivers nothing", err)
			}
			n.Set(direction[0], direction[1], func(s *State) { s.Silent = true })
			if echoes(c, 200*time.Millisecond) {
				t.Error("an open connection delivers through a silent direction")
			}
			if c, err := net.DialTimeout("tcp", l.Addr(), 300*time.Millisecond); err == nil {
				t.Error("a new connection comes up through a silent direction", c.LocalAddr())
			} else if e, ok := err.(net.Error); !ok || !e.Timeout() {
				t.Error("it must time out, not be refused:", err)
			}
			n.Heal()
			c.SetDeadline(time.Now().Add(5 * time.Second))
			if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || line != "hello\n" {
				t.Errorf("what was written during the outage is not delivered: %q, %v", line, err)
			}
			if c, err = net.DialTimeout("tcp", l.Addr(), 5*time.Second); err != nil || !echoes(c, 5*time.Second) {
				t.Error("a healed direction delivers nothing:", err)
			}
		})
	}
}

// Nothing accepts from the listener of a silent direction, not even an accept that was in progress: the backlog stays full.
func TestNothingAcceptsWhileSilent(t *testing.T) {
	n, l := openEchoLink(t)
	n.Set("a", "b", func(s *State) { s.Silent = true })
	l.mu.Lock()
	l.listener.SetDeadline(time.Time{}) // as for an accept that began before the outage
	l.mu.Unlock()
	for range 10 {
		if c, err := net.DialTimeout("tcp", l.Addr(), 100*time.Millisecond); err == nil {
			t.Fatal("a new connection comes up through a silent direction", c.LocalAddr())
		}
	}
}

func TestRefusedDirection(t *testing.T) {
	n, l := openEchoLink(t)
	c, err := net.Dial("tcp", l.Addr())
	if err != nil || !echoes(c, 5*time.Second) {
		t.Fatal(err)
	}
	n.Set("b", "a", func(s *State) { s.Refused = true })
	if echoes(c, 5*time.Second) {
		t.Error("an open connection was not reset")
	}
	if _, err := net.DialTimeout("tcp", l.Addr(), 5*time.Second); err == nil || os.IsTimeout(err) {
		t.Error("it must be refused:", err)
	}
	n.Heal()
	if c, err = net.Dial("tcp", l.Addr()); err != nil || !echoes(c, 5*time.Second) {
		t.Error("a healed direction delivers nothing:", err)
	}
}

func TestDelay(t *testing.T) {
	n, l := openEchoLink(t)
	n.Set("a", "b", func(s *State) { s.Delay = 150 * time.Millisecond })
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if !echoes(c, 5*time.Second) || time.Since(start) < 150*time.Millisecond {
		t.Error("the answer took", time.Since(start))
	}
}

// What a gateway abandoned during an outage must not be delivered after it.
func TestAbandonedDataIsNotDelivered(t *testing.T) {
	received := make(chan string, 1)
	n, l := openLink(t, func(c net.Conn) {
		line, err := bufio.NewReader(c).ReadString('\n')
		received <- fmt.Sprint(line, err != nil)
	})
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); l.connCount() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	n.Set("a", "b", func(s *State) { s.Silent = true })
	fmt.Fprintln(c, "hello")
	c.Close()
	time.Sleep(50 * time.Millisecond)
	n.Heal()
	if line := <-received; line != "true" {
		t.Errorf("it arrived: %q", line)
	}
}

// Nor may a connection that was in the listener's backlog when the outage began, and was abandoned there.
//
// It failed in 14 of 20 runs under the race detector beside six busy processes: the relay took the sender's end from its own reads,
// and could read the line during the outage but the end only after the line was delivered. conn.deliverable asks the kernel since.
func TestQueuedDoesNotArrive(t *testing.T) {
	received := make(chan string, 100)
	n, l := openLink(t, func(c net.Conn) {
		line, _ := bufio.NewReader(c).ReadString('\n')
		received <- line
	})
	for range 30 {
		var conns []net.Conn
		dialled := make(chan net.Conn)
		go func() { // one that comes up just as the outage begins
			c, err := net.DialTimeout("tcp", l.Addr(), 100*time.Millisecond)
			if err != nil {
				c = nil
			}
			dialled <- c
		}()
		n.Set("a", "b", func(s *State) { s.Silent = true })
		if c := <-dialled; c != nil {
			fmt.Fprintln(c, "hello")
			conns = append(conns, c)
		}
		if c, err := net.DialTimeout("tcp", l.Addr(), 20*time.Millisecond); err == nil {
			fmt.Fprintln(c, "hello")
			conns = append(conns, c)
		}
		for _, c := range conns {
			c.Close()
		}
		n.Heal()
		time.Sleep(10 * time.Millisecond)
		for len(received) > 0 {
			if line := <-received; line != "" {
				t.Fatalf("it arrived: %q", line)
			}
		}
	}
}

// What was sent after an outage is delivered, even if its sender has closed the connection since, as over a slow wire.
func TestLeftBehindASlowWayArrives(t *testing.T) {
	received := make(chan string, 2)
	n, l := openLink(t, func(c net.Conn) {
		for r := bufio.NewReader(c); ; {
			line, err := r.ReadString('\n')
			if err != nil {
				return
			}
			received <- line
		}
	})
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintln(c, "before")
	if line := <-received; line != "before\n" {
		t.Fatalf("%q came", line)
	}
	n.Set("a", "b", func(s *State) { s.Silent = true })
	n.Heal()
	n.Set("a", "b", func(s *State) { s.Delay = 100 * time.Millisecond })
	fmt.Fprintln(c, "after")
	c.Close()
	select {
	case line := <-received:
		if line != "after\n" {
			t.Errorf("%q came", line)
		}
	case <-time.After(5 * time.Second):
		t.Error("what was sent after an outage is not delivered")
	}
}

// ClosedAt is known for a connection that the gateway has closed while the server still has its end open.
func TestClosedAt(t *testing.T) {
	remoteAddrs := make(chan string, 1)
	release := make(chan struct{})
	_, l := openLink(t, func(c net.Conn) { remoteAddrs <- c.RemoteAddr().String(); <-release })
	defer close(release)
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	far := <-remoteAddrs
	if at := l.ClosedAt(far); !at.IsZero() {
		t.Error("it is closed before it was:", at)
	}
	c.Close()
	for deadline := time.Now().Add(5 * time.Second); l.ClosedAt(far).IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("its close is not seen")
		}
	}
}

func TestDatagrams(t *testing.T) {
	receiver, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer receiver.Close()
	n := NewNet(1)
	defer n.Close()
	l, err := n.Open("a", "b", standin.OwnAddr(), receiver.LocalAddr().String(), true)
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("udp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	arrives := func(timeout time.Duration) bool {
		c.Write([]byte("x"))
		receiver.SetReadDeadline(time.Now().Add(timeout))
		_, _, err := receiver.ReadFrom(make([]byte, 8))
		return err == nil
	}
	if !arrives(5 * time.Second) {
		t.Error("a datagram does not arrive")
	}
	n.Set("a", "b", func(s *State) { s.Loss = 1 })
	if arrives(100 * time.Millisecond) {
		t.Error("a datagram arrives where all are lost")
	}
	if n.Bytes("a", "b") != 1 {
		t.Errorf("%d bytes counted", n.Bytes("a", "b"))
	}
}

func (l *Link) connCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}
