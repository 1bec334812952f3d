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

// openLink opens a link from process a to process b, whose listener serves each connection with serve.
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

// openEchoLink opens a link to a listener that echoes each line.
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

// echoes sends a line and returns true if it comes back within the timeout.
func echoes(c net.Conn, timeout time.Duration) bool {
	c.SetDeadline(time.Now().Add(timeout))
	fmt.Fprintln(c, "hello")
	_, err := bufio.NewReader(c).ReadString('\n')
	return err == nil
}

// TestSilentDirection guards against a silent direction that delivers data, establishes connections instead of letting them time
// out, or loses data that was written during the outage instead of delivering it afterwards.
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
				t.Error("an open connection delivers through a silent direction, expected nothing within 200ms")
			}
			if c, err := net.DialTimeout("tcp", l.Addr(), 300*time.Millisecond); err == nil {
				t.Error("a new connection is established through a silent direction", c.LocalAddr())
			} else if e, ok := err.(net.Error); !ok || !e.Timeout() {
				t.Error("a new connection through a silent direction must time out; got:", err)
			}
			n.Heal()
			c.SetDeadline(time.Now().Add(5 * time.Second))
			if line, err := bufio.NewReader(c).ReadString('\n'); err != nil || line != "hello\n" {
				t.Errorf("data that was written during the outage is not delivered: %q, %v", line, err)
			}
			if c, err = net.DialTimeout("tcp", l.Addr(), 5*time.Second); err != nil || !echoes(c, 5*time.Second) {
				t.Error("a healed direction delivers nothing:", err)
			}
		})
	}
}

// TestNothingAcceptsWhileSilent guards against a goroutine that accepts from the listener of a silent direction, also by an accept
// that was in progress when the outage began: it would free a place in the backlog, and a new connection would be established.
func TestNothingAcceptsWhileSilent(t *testing.T) {
	n, l := openEchoLink(t)
	n.Set("a", "b", func(s *State) { s.Silent = true })
	l.mu.Lock()
	l.listener.SetDeadline(time.Time{}) // as for an accept that began before the outage
	l.mu.Unlock()
	for range 10 {
		if c, err := net.DialTimeout("tcp", l.Addr(), 100*time.Millisecond); err == nil {
			t.Fatal("a new connection is established through a silent direction", c.LocalAddr())
		}
	}
}

// TestRefusedDirection guards against a refused direction that keeps open connections, or accepts new ones, including those that
// are opened in the opposite direction.
func TestRefusedDirection(t *testing.T) {
	n, l := openEchoLink(t)
	c, err := net.Dial("tcp", l.Addr())
	if err != nil || !echoes(c, 5*time.Second) {
		t.Fatal(err)
	}
	n.Set("b", "a", func(s *State) { s.Refused = true })
	if echoes(c, 5*time.Second) {
		t.Error("an open connection still echoes after its direction is refused, expected a reset")
	}
	if _, err := net.DialTimeout("tcp", l.Addr(), 5*time.Second); err == nil || os.IsTimeout(err) {
		t.Error("a new connection through a refused direction must be refused; got:", err)
	}
	n.Heal()
	if c, err = net.Dial("tcp", l.Addr()); err != nil || !echoes(c, 5*time.Second) {
		t.Error("a healed direction delivers nothing:", err)
	}
}

// TestDelay guards against data that is delivered before the delay of its direction has passed.
func TestDelay(t *testing.T) {
	n, l := openEchoLink(t)
	n.Set("a", "b", func(s *State) { s.Delay = 150 * time.Millisecond })
	c, err := net.Dial("tcp", l.Addr())
	if err != nil {
		t.Fatal(err)
	}
	start := time.Now()
	if !echoes(c, 5*time.Second) || time.Since(start) < 150*time.Millisecond {
		t.Error("expected an answer after at least 150ms; waited", time.Since(start))
	}
}

// TestAbandonedDataIsNotDelivered guards against data that is delivered after an outage although the gateway that sent it during
// the outage has closed the connection since: the kernel of a real sender would have stopped retransmitting.
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
		t.Errorf("expected no data and a closed connection; got %q", line)
	}
}

// TestQueuedDoesNotArrive guards against data that is delivered over a connection that was in the listener's backlog when an outage
// began, and that its sender closed during the outage.
//
// A relay that detects the sender's close by its own reads has this fault: it can read the line during the outage, but the close
// only after it has delivered the line. With that fault, the test failed in 14 of 20 runs under the race detector beside six busy
// processes. conn.deliverable queries the kernel instead.
func TestQueuedDoesNotArrive(t *testing.T) {
	received := make(chan string, 100)
	n, l := openLink(t, func(c net.Conn) {
		line, _ := bufio.NewReader(c).ReadString('\n')
		received <- line
	})
	for range 30 {
		var conns []net.Conn
		dialled := make(chan net.Conn)
		go func() { // a connection that is established just as the outage begins
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
				t.Fatalf("data of a closed connection was delivered after the outage: got %q, expected none", line)
			}
		}
	}
}

// TestLeftBehindASlowWayArrives guards against the loss of data that is sent after an outage over a slow direction and whose sender
// closes the connection before the delivery.
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
		t.Fatalf("got %q before the outage, expected the line before", line)
	}
	n.Set("a", "b", func(s *State) { s.Silent = true })
	n.Heal()
	n.Set("a", "b", func(s *State) { s.Delay = 100 * time.Millisecond })
	fmt.Fprintln(c, "after")
	c.Close()
	select {
	case line := <-received:
		if line != "after\n" {
			t.Errorf("got %q after the outage, expected the line after", line)
		}
	case <-time.After(5 * time.Second):
		t.Error("data that was sent after an outage is not delivered")
	}
}

// TestClosedAt guards against a ClosedAt that misses the gateway's close while the server's end of the connection is still open.
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
		t.Error("ClosedAt returns a time before the close, expected zero; got:", at)
	}
	c.Close()
	for deadline := time.Now().Add(5 * time.Second); l.ClosedAt(far).IsZero(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("ClosedAt returns no time after the close")
		}
	}
}

// TestDatagrams guards against datagrams that are lost, not counted, or relayed in spite of the direction's loss.
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
		t.Error("a datagram arrives through a direction with a loss of 1, expected none")
	}
	if n.Bytes("a", "b") != 1 {
		t.Errorf("%d bytes counted, expected 1", n.Bytes("a", "b"))
	}
}

// connCount returns the number of open connections.
func (l *Link) connCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}
