package main_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"dewhitch/internal/handover"
)

// adminCall makes one call at an operators' address and returns the first line of the answer; empty if there was none.
func adminCall(t *testing.T, addr, line string) string {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, waitLimit)
	if err != nil {
		return ""
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(waitLimit))
	io.WriteString(c, line+"\n")
	answer, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimSuffix(answer, "\n")
}

// sendQuery sends one query on a new connection and returns the answer's first line.
func sendQuery(t *testing.T, addr, id string) string {
	t.Helper()
	return sendQueryWithArguments(t, addr, "00000000b4d65521", id, "c=lookup,t=wide,d=60000,units=1,spread=2,first=0")
}

func sendQueryWithArguments(t *testing.T, addr, customer, id, arguments string) string {
	t.Helper()
	c, err := net.DialTimeout("tcp", addr, waitLimit)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(waitLimit))
	c.Write(encode("SVC.QUERY " + customer + " " + id + " " + arguments))
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

// inheritableFile is the listener's socket as a platform hands it down. The File of a listener, and exec with it, would put
// the socket into blocking mode, which all its holders share; a program that waits in accept then waits in the kernel,
// and cannot close its listener until a client comes. A descriptor of the socket's own, in a File that Go did not make
// non-blocking, is passed on as it is.
func inheritableFile(t *testing.T, l *net.TCPListener) *os.File {
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

// shareListener has the world's programs share a folder and the clients' listening socket, as on the platform, and returns what
// starts one and waits until it is ready.
func (env *environment) shareListener() func() *process {
	go env.backends.serveAll()
	env.sharedTempDir = env.t.TempDir()
	env.limitsAddr = "" // its address would be taken twice
	l, err := net.Listen("tcp", env.listenAddr)
	if err != nil {
		env.t.Fatal(err)
	}
	socket := inheritableFile(env.t, l.(*net.TCPListener))
	l.Close() // the programs hold copies
	env.t.Cleanup(func() { socket.Close() })
	return func() *process {
		cmd := env.command("serve")
		cmd.Env = append(cmd.Env, "NODE_FD=3")
		cmd.ExtraFiles = []*os.File{socket}
		p := env.startCommand(cmd)
		if !eventually(func() bool { return adminCall(env.t, env.adminAddr, "readyz") == "YES" }) {
			env.t.Fatalf("%s is not ready\n%s", env.adminAddr, p.log())
		}
		return p
	}
}

// TestReplacedProcess: a process that replaces another serves on the listening socket that both were handed, takes
// over the servers that operators excluded there, and the old one ends on SIGTERM with nothing lost.
func TestReplacedProcess(t *testing.T) {
	env := newEnvironment(t)
	startProcess := env.shareListener()
	old := startProcess()
	oldAdmin := env.adminAddr
	if got := sendQuery(t, env.listenAddr, "a1"); got != "a1" {
		t.Fatalf("served %q", got)
	}
	if got := adminCall(t, oldAdmin, "exclude s-00000001"); got != "YES" {
		t.Fatal(got)
	}
	next := startProcess()
	nextAdmin := env.adminAddr
	if !eventually(func() bool {
		return strings.Contains(adminCall(t, nextAdmin, "telemetry"), `"targets":1,"targets_disabled":1`)
	}) {
		t.Fatalf("the exclusion was not taken over\n%s", next.log())
	}
	old.cmd.Process.Signal(syscall.SIGTERM)
	if err := old.wait(); err != nil {
		t.Fatalf("the old process: %v\n%s", err, old.log())
	}
	if got := sendQuery(t, env.listenAddr, "a2"); !strings.HasPrefix(got, "-BUSY") {
		t.Fatalf("an excluded server served: %q\n%s", got, next.log())
	}
	if got := adminCall(t, nextAdmin, "include s-00000001"); got != "YES" {
		t.Fatal(got)
	}
	if got := sendQuery(t, env.listenAddr, "a3"); got != "a3" {
		t.Fatalf("served %q\n%s", got, next.log())
	}
}

// TestWarmProcess: a customer that uses most of its quota is served by the process that replaces its gateway's. Without a warm
// start it is rejected, as the process takes all that the counter holds for the use of others. A torn snapshot is not used.
func TestWarmProcess(t *testing.T) {
	served := map[string]int{}
	for _, mode := range []string{"auto", "off"} {
		env := newEnvironment(t)
		env.extraOperations = "[warm_start]\nmode = \"" + mode + "\"\nevery_ms = 50\n"
		startProcess := env.shareListener()
		env.overrides = []string{`{"settings": {"Contracts": [{"Name": "steady", "QuotaRate": 3, "Depth": 12, "OverrunCost": 1, "Pays": 1}]}}`}
		// The window of the customer, 8 s by its plan and its number, has just begun.
		const window = 8e9
		customer := fmt.Sprintf("%016x", window-uint64(time.Now().UnixNano())%window)
		requests, last := 0, ""
		send := func(count int) (servedCount int) {
			for range count {
				requests++
				id := fmt.Sprint("w", requests)
				if last = sendQueryWithArguments(t, env.listenAddr, customer, id, "c=lookup,t=steady,d=60000,units=1,spread=2,first=0"); last == id {
					servedCount++
				}
				time.Sleep(150 * time.Millisecond)
			}
			return servedCount
		}
		old := startProcess()
		if servedBefore := send(14); servedBefore < 11 { // by then little is left, and a few snapshots are written
			t.Fatalf("served %d of 14, the last %q\n%s", servedBefore, last, old.log())
		}
		next := startProcess()
		old.cmd.Process.Signal(syscall.SIGTERM)
		if err := old.wait(); err != nil {
			t.Fatalf("the old process: %v\n%s", err, old.log())
		}
		served[mode] = send(8)
		if text := adminCall(t, env.adminAddr, "telemetry"); strings.Contains(text, `"snapshot_loaded":1`) != (mode == "auto") {
			t.Errorf("%s: %s\n%s", mode, text, next.log())
		}
		if mode == "off" {
			continue
		}
		next.cmd.Process.Kill()
		next.wait()
		checkTornSnapshot(t, env, customer, startProcess)
	}
	t.Logf("of 8 requests a warm process served %d, a cold one %d", served["auto"], served["off"])
	if served["auto"] < served["off"]+3 {
		t.Errorf("of 8 requests a warm process served %d, a cold one %d", served["auto"], served["off"])
	}
}

// checkTornSnapshot cuts the newest of two snapshots short: the commands tell so, and the process after it starts from the one before.
func checkTornSnapshot(t *testing.T, env *environment, customer string, startProcess func() *process) {
	t.Helper()
	files, _ := filepath.Glob(filepath.Join(env.sharedTempDir, "*.snapshot"))
	if len(files) != 2 || os.Truncate(files[1], 100) != nil {
		t.Fatal(files)
	}
	if out, err := exec.Command(program, "snapshot", "verify", files[0]).CombinedOutput(); err != nil {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := exec.Command(program, "snapshot", "verify", files[1]).CombinedOutput(); err == nil || !strings.Contains(string(out), "torn") {
		t.Errorf("%v: %s", err, out)
	}
	if out, err := exec.Command(program, "snapshot", "show", files[0]).CombinedOutput(); err != nil ||
		!strings.Contains(string(out), customer+"  steady") || !strings.Contains(string(out), "s-00000001") {
		t.Errorf("%v: %s", err, out)
	}
	third := startProcess()
	if text := adminCall(t, env.adminAddr, "telemetry"); !strings.Contains(text, `"snapshot_loaded":1,"snapshot_rejected":1`) {
		t.Errorf("%s\n%s", text, third.log())
	}
}

// Operators exclude a server while the folder for the next process can't be written: the call is answered, and the file is
// there once it can be.
func TestExclusionIsWrittenOnceItCanBe(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	env.sharedTempDir = filepath.Join(t.TempDir(), "scratch")
	if err := os.Mkdir(env.sharedTempDir, 0o700); err != nil {
		t.Fatal(err)
	}
	p := env.start("serve")
	if err := os.RemoveAll(env.sharedTempDir); err != nil {
		t.Fatal(err)
	}
	if !eventually(func() bool { return adminCall(t, env.adminAddr, "exclude s-00000001") == "YES" }) {
		t.Fatalf("the call is not taken\n%s", p.log())
	}
	if !eventually(func() bool { return strings.Contains(p.log(), "exclusions are not written") }) {
		t.Fatalf("the failure is not logged\n%s", p.log())
	}
	if err := os.Mkdir(env.sharedTempDir, 0o700); err != nil {
		t.Fatal(err)
	}
	if !eventually(func() bool {
		s, err := handover.Load(handover.Path(env.sharedTempDir, "n0"))
		return err == nil && slices.Equal(s.Excluded, []string{"s-00000001"})
	}) {
		t.Errorf("the exclusion was not kept\n%s", p.log())
	}
	if n := strings.Count(p.log(), "exclusions are not written"); n != 1 {
		t.Errorf("the failure was logged %d times", n)
	}
}
