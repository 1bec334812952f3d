package main_test

import (
	"bufio"
	"io"
	"net"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"
)

// adminCall makes one call at an operators' address and returns the first line of the answer; empty if there was none.
func adminCall(t *testing.T, addr, line string) string {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	io.WriteString(c, line+"\n")
	answer, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSuffix(answer, "\n")
}

// ask sends one query on a new connection and returns the answer's first line.
func ask(t *testing.T, addr, id string) string {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	c.Write(encode("SVC.QUERY 00000000b4d65521 " + id + " c=lookup,t=wide,d=60000,units=1,spread=2,first=0"))
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	if err != nil {
		t.Fatalf("%q, %v", line, err)
	}
	if strings.HasPrefix(line, "$") {
		value, _ := r.ReadString('\n')
		return strings.TrimSpace(value)
	}
	return strings.TrimSpace(line)
}

// handDown is the listener's socket as a platform hands it down. Danger: the File of a listener, and exec with it, put
// the socket into blocking mode, which all its holders share; a program that waits in accept then waits in the kernel,
// and cannot close its listener until a client comes. A descriptor of the socket's own, in a File that Go did not make
// non-blocking, is passed on as it is.
func handDown(t *testing.T, l *net.TCPListener) *os.File {
	raw, err := l.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var fd int
	raw.Control(func(s uintptr) { fd, err = syscall.Dup(int(s)) })
	if err != nil {
		t.Fatal(err)
	}
	return os.NewFile(uintptr(fd), "clients")
}

// TestReplacedProcess: a process that replaces another serves on the listening socket that both were handed, takes
// over the servers that operators excluded there, and the old one ends on SIGTERM with nothing lost.
func TestReplacedProcess(t *testing.T) {
	w := newWorld(t)
	go w.backends.serveAll()
	w.scratch = t.TempDir()
	w.limits = "" // its address would be taken twice
	l, err := net.Listen("tcp", w.listen)
	if err != nil {
		t.Fatal(err)
	}
	socket := handDown(t, l.(*net.TCPListener))
	l.Close() // the programs hold copies
	defer socket.Close()
	handed := func() *process {
		cmd := w.command("serve")
		cmd.Env = append(cmd.Env, "NODE_FD=3")
		cmd.ExtraFiles = []*os.File{socket}
		return w.startCommand(cmd)
	}
	ready := func(admin string) {
		if !eventually(func() bool { return adminCall(t, admin, "readyz") == "YES" }) {
			t.Fatalf("%s is not ready", admin)
		}
	}
	old := handed()
	oldAdmin := w.admin
	ready(oldAdmin)
	if got := ask(t, w.listen, "a1"); got != "a1" {
		t.Fatalf("served %q", got)
	}
	if got := adminCall(t, oldAdmin, "exclude s-00000001"); got != "YES" {
		t.Fatal(got)
	}
	next := handed()
	nextAdmin := w.admin
	ready(nextAdmin)
	if !eventually(func() bool {
		return strings.Contains(adminCall(t, nextAdmin, "telemetry"), `"targets":1,"targets_disabled":1`)
	}) {
		t.Fatalf("the exclusion was not taken over\n%s", next.log())
	}
	old.cmd.Process.Signal(syscall.SIGTERM)
	if err := old.wait(); err != nil {
		t.Fatalf("the old process: %v\n%s", err, old.log())
	}
	if got := ask(t, w.listen, "a2"); !strings.HasPrefix(got, "-BUSY") {
		t.Fatalf("an excluded server served: %q\n%s", got, next.log())
	}
	if got := adminCall(t, nextAdmin, "include s-00000001"); got != "YES" {
		t.Fatal(got)
	}
	if got := ask(t, w.listen, "a3"); got != "a3" {
		t.Fatalf("served %q\n%s", got, next.log())
	}
}
