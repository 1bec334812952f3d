package main_test

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// errBusy is the error for a query that is answered with -BUSY.
var errBusy = errors.New("refused")

// largeValueSize is the minimum length of a value, in bytes.
const largeValueSize = 3 << 20

// largeValueOf returns the value of the request with that id, which determines its length and bytes.
func largeValueOf(id string) []byte {
	n, _ := strconv.Atoi(strings.TrimLeft(id, "v"))
	b := make([]byte, largeValueSize+n)
	rng := rand.New(rand.NewPCG(uint64(n), 1))
	for i := 0; i < len(b); i += 8 {
		v := rng.Uint64()
		for k := i; k < min(i+8, len(b)); k++ {
			b[k] = byte(v)
			v >>= 8
		}
	}
	return b
}

// serveLarge has the backends answer with large values, in pieces of varying length with pauses between some of them. If the id
// begins with x, the connection ends after half of the answer.
func (b *manualBackends) serveLarge(pause time.Duration) {
	for conn := range b.conns {
		go func() {
			defer conn.Close()
			for r := bufio.NewReader(conn); ; {
				command, err := readCommand(r)
				if err != nil {
					return
				}
				value := largeValueOf(command[2])
				text := append(fmt.Appendf(nil, "*3\r\n$%d\r\n", len(value)), value...)
				text = append(text, "\r\n$-1\r\n$18\r\nqueue=0,inflight=1\r\n"...)
				if command[2][0] == 'x' {
					text = text[:len(text)/2]
				}
				for at, n := 0, 1; at < len(text); at, n = at+n, n*3%300007+1 {
					if _, err := conn.Write(text[at:min(at+n, len(text))]); err != nil {
						return
					}
					if n%7 == 0 {
						time.Sleep(pause)
					}
				}
				if command[2][0] == 'x' {
					return
				}
			}
		}()
	}
}

// readCommand reads a command in the form of a RESP array and returns its words.
func readCommand(r *bufio.Reader) ([]string, error) {
	var n int
	line, err := r.ReadString('\n')
	if err != nil {
		return nil, err
	}
	fmt.Sscanf(line, "*%d", &n)
	fields := make([]string, n)
	for i := range fields {
		var size int
		if line, err = r.ReadString('\n'); err != nil {
			return nil, err
		}
		fmt.Sscanf(line, "$%d", &size)
		b := make([]byte, size+2)
		if _, err := io.ReadFull(r, b); err != nil {
			return nil, err
		}
		fields[i] = string(b[:size])
	}
	return fields, nil
}

// peakResidentBytes returns the peak resident memory of a process in bytes.
func peakResidentBytes(t *testing.T, pid int) int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	_, rest, _ := strings.Cut(string(text), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb << 10
}

// largeClient is a client connection whose buffers are too small for a large value.
type largeClient struct {
	net.Conn
	r *bufio.Reader
}

// dialLarge connects a largeClient, with small receive and read buffers.
func dialLarge(t *testing.T, env *environment) *largeClient {
	conn, err := net.Dial("tcp", env.listenAddr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	conn.(*net.TCPConn).SetReadBuffer(64 << 10)
	conn.SetDeadline(time.Now().Add(3 * waitLimit))
	return &largeClient{conn, bufio.NewReaderSize(conn, 4<<10)}
}

// largeQuery returns an encoded query that serveLarge answers with the id's large value.
func largeQuery(id string) []byte {
	return encode("SVC.QUERY 00000000b4d65521 " + id + " c=lookup,t=wide,d=60000,units=1,spread=2,first=0")
}

// readValue reads the answer to a query and checks that it is the id's value, byte by byte. It returns errBusy if the query was
// refused. A slow client pauses between reads.
func (c *largeClient) readValue(id string, slow bool) error {
	line, err := c.r.ReadString('\n')
	if strings.HasPrefix(line, "-BUSY") {
		return errBusy
	}
	want := largeValueOf(id)
	if err != nil || line != fmt.Sprintf("$%d\r\n", len(want)) {
		return fmt.Errorf("%s: got the line %q, %v, expected the length of the value", id, line, err)
	}
	got := make([]byte, 0, len(want)+2)
	for piece := make([]byte, 64<<10); len(got) < len(want)+2; {
		n, err := c.r.Read(piece[:min(len(piece), len(want)+2-len(got))])
		if err != nil {
			return fmt.Errorf("%s: reading failed after %d bytes: %w", id, len(got), err)
		}
		got = append(got, piece[:n]...)
		if slow {
			time.Sleep(2 * time.Millisecond)
		}
	}
	if !bytes.Equal(got[:len(want)], want) || string(got[len(want):]) != "\r\n" {
		return fmt.Errorf("%s: the value differs from the one that the backend sent", id)
	}
	return nil
}

// queryTwo pipelines two queries and a PING, so that the second value waits behind the first, and returns the number of rejected
// queries.
func (c *largeClient) queryTwo(first, second string, slow bool) (rejected int64, err error) {
	c.Write(append(append(largeQuery(first), largeQuery(second)...), encode("PING")...))
	for _, id := range []string{first, second} {
		if err := c.readValue(id, slow); err == errBusy {
			rejected++
		} else if err != nil {
			return rejected, err
		}
	}
	if line, err := c.r.ReadString('\n'); line != "+PONG\r\n" {
		return rejected, fmt.Errorf("after the values: got %q, %v, expected +PONG", line, err)
	}
	return rejected, nil
}

// TestLargeValues guards against large values that are corrupted, reordered or held in memory as a whole. 40 concurrent clients,
// some of them slow, read values of 3 MiB each, together well above the memory limit. Connections to the backend are reused, and
// a value that breaks off, or a client that disconnects within one, affects no other request.
func TestLargeValues(t *testing.T) {
	env := newEnvironment(t)
	env.overrides = []string{`{"limits": {"memory_mb": 64, "sockets": 512}}`}
	go env.backends.serveLarge(200 * time.Microsecond)
	p := env.start("serve")
	c := dialLarge(t, env) // its queries let the decision module learn the backend's latency
	for i := range 20 {
		c.Write(largeQuery(fmt.Sprint("v", i)))
		if err := c.readValue(fmt.Sprint("v", i), false); err != nil && err != errBusy {
			t.Fatal(err)
		}
	}
	var clients sync.WaitGroup
	var rejected atomic.Int64
	for i := range 40 {
		c := dialLarge(t, env)
		clients.Go(func() {
			n, err := c.queryTwo(fmt.Sprint("v", 2*i+1), fmt.Sprint("v", 2*i+2), i%4 == 0)
			rejected.Add(n)
			if err != nil {
				t.Error(err)
			}
		})
	}
	clients.Wait()
	if t.Failed() {
		t.Fatal(p.log())
	}
	resident := peakResidentBytes(t, p.cmd.Process.Pid)
	t.Logf("80 values of 3 MiB: peak of resident memory %d MiB", resident>>20)
	if resident > 64<<20 {
		t.Errorf("peak of resident memory: got %d bytes, expected at most 64 MiB", resident)
	}
	if n := rejected.Load(); n > 40 {
		t.Errorf("%d of 80 queries were refused, expected at most 40", n)
	}
	checkBrokenValues(t, env)
}

// checkBrokenValues checks that a client whose value breaks off gets a part of it and then the end of its connection, and that the
// next query is served after a client has disconnected within its value.
func checkBrokenValues(t *testing.T, env *environment) {
	c := dialLarge(t, env)
	c.Write(largeQuery("x1"))
	line, _ := c.r.ReadString('\n')
	if n, err := io.Copy(io.Discard, c.r); !strings.HasPrefix(line, "$3145") || n >= largeValueSize {
		t.Errorf("a value that breaks off: got the line %q, %d bytes and %v; expected a part of the value", line, n, err)
	}
	c = dialLarge(t, env)
	c.Write(largeQuery("v90"))
	c.r.ReadString('\n')
	c.Close()
	c = dialLarge(t, env)
	c.Write(largeQuery("v91"))
	if err := c.readValue("v91", false); err != nil {
		t.Error(err)
	}
}
