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

// adminCall makes a call at an operators' address and returns the first line of the answer, which is empty if there is none.
func adminCall(t testing.TB, addr, line string) string {
	t.Helper()
	conn, err := net.DialTimeout("tcp", addr, waitLimit)
	if err != nil {
		return ""
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitLimit))
	io.WriteString(conn, line+"\n")
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSuffix(answer, "\n")
}

// sendQuery sends a query of a fixed customer with a long deadline, as sendQueryWithArguments does.
func sendQuery(t *testing.T, addr, id string) string {
	t.Helper()
	return sendQueryWithArguments(t, addr, "00000000b4d65521", id, "c=lookup,t=wide,d=60000,units=1,spread=2,first=0")
}

// sendQueryWithArguments sends one query on a new connection and returns the value, or the first line of any other answer.
func sendQueryWithArguments(t *testing.T, addr, customer, id, arguments string) string {
	t.Helper()
	conn, err := net.DialTimeout("tcp", addr, waitLimit)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(waitLimit))
	conn.Write(encode("SVC.QUERY " + customer + " " + id + " " + arguments))
	r := bufio.NewReader(conn)
	line, err := r.ReadString('\n')
	if err != nil {
		t.Fatalf("reading the answer: got %q, %v; expected a line", line, err)
	}
	if strings.HasPrefix(line, "$") {
		value, _ := r.ReadString('\n')
		return strings.TrimSpace(value)
	}
	return strings.TrimSpace(line)
}

// inheritableFile returns the listener's socket as the platform passes it to a process. The listener's File method, and exec with
// that file, would put the socket into blocking mode for all holders of the socket: a program that waits in accept would
// then wait in the kernel and could not close its listener until a client connects. A duplicated descriptor, in an os.File that
// Go did not make non-blocking, is inherited as it is.
func inheritableFile(t testing.TB, listener *net.TCPListener) *os.File {
	raw, err := listener.SyscallConn()
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

// shareListener has all programs of the environment share a folder and the clients' listening socket, as on the platform. It
// returns a function that starts one and waits until it is ready.
func (env *environment) shareListener() func() *process {
	start := env.shareListenerUnready()
	return func() *process {
		p := start()
		env.awaitReady(p)
		return p
	}
}

// shareListenerUnready is like shareListener, but the function that it returns does not wait until the program is ready.
func (env *environment) shareListenerUnready() func() *process {
	go env.backends.serveAll()
	env.sharedTempDir = env.t.TempDir()
	env.limitsAddr = "" // two programs can't listen at the same address
	listener, err := net.Listen("tcp", env.listenAddr)
	if err != nil {
		env.t.Fatal(err)
	}
	socket := inheritableFile(env.t, listener.(*net.TCPListener))
	listener.Close() // the programs inherit duplicates
	env.t.Cleanup(func() { socket.Close() })
	return func() *process {
		cmd := env.command("serve")
		cmd.Env = append(cmd.Env, "NODE_FD=3")
		cmd.ExtraFiles = []*os.File{socket}
		return env.startCommand(cmd)
	}
}

// awaitReady waits until the program that was started last is ready.
func (env *environment) awaitReady(p *process) {
	env.t.Helper()
	if !eventually(func() bool { return adminCall(env.t, env.adminAddr, "readyz") == "YES" }) {
		env.t.Fatalf("the program with operators' address %s is not ready\n%s", env.adminAddr, p.log())
	}
}

// TestReplacedProcess guards against losses in the replacement of a process. The new process must serve on the listening socket
// that both inherit and keep the servers excluded that operators excluded in the old one, which must end on SIGTERM without an
// error.
func TestReplacedProcess(t *testing.T) {
	env := newEnvironment(t)
	startProcess := env.shareListener()
	old := startProcess()
	oldAdmin := env.adminAddr
	if got := sendQuery(t, env.listenAddr, "a1"); got != "a1" {
		t.Fatalf("the old process answered %q, expected a1", got)
	}
	if got := adminCall(t, oldAdmin, "exclude s-00000001"); got != "YES" {
		t.Fatal(got)
	}
	next := startProcess()
	nextAdmin := env.adminAddr
	if !eventually(func() bool {
		return strings.Contains(adminCall(t, nextAdmin, "telemetry"), `"targets":1,"targets_disabled":1`)
	}) {
		t.Fatalf("the new process did not take over the exclusion\n%s", next.log())
	}
	old.cmd.Process.Signal(syscall.SIGTERM)
	if err := old.wait(); err != nil {
		t.Fatalf("the old process ended with %v, expected no error\n%s", err, old.log())
	}
	if got := sendQuery(t, env.listenAddr, "a2"); !strings.HasPrefix(got, "-BUSY") {
		t.Fatalf("with its only server excluded, the new process answered %q, expected -BUSY\n%s", got, next.log())
	}
	if got := adminCall(t, nextAdmin, "include s-00000001"); got != "YES" {
		t.Fatal(got)
	}
	if got := sendQuery(t, env.listenAddr, "a3"); got != "a3" {
		t.Fatalf("with the server included again, the new process answered %q, expected a3\n%s", got, next.log())
	}
}

// TestWarmProcess guards against a replacement process that rejects a customer who has used most of its quota. Without a warm
// start, the new process rejects the customer, as it attributes all use in the counter to other gateways. A torn snapshot must
// not be used.
func TestWarmProcess(t *testing.T) {
	served := map[string]int{}
	for _, mode := range []string{"auto", "off"} {
		env := newEnvironment(t)
		env.extraOperations = "[warm_start]\nmode = \"" + mode + "\"\nevery_ms = 50\n"
		startProcess := env.shareListener()
		env.overrides = []string{`{"settings": {"Contracts": [{"Name": "steady", "QuotaRate": 3, "Depth": 12, "OverrunCost": 1, "Pays": 1}]}}`}
		// The customer's number is chosen so that its window, which lasts 8 s on its plan, has just begun.
		const window = 8e9
		customer := fmt.Sprintf("%016x", window-uint64(time.Now().UnixNano())%window)
		sentCount, lastAnswer := 0, ""
		send := func(count int) (servedCount int) {
			for range count {
				sentCount++
				id := fmt.Sprint("w", sentCount)
				if lastAnswer = sendQueryWithArguments(t, env.listenAddr, customer, id, "c=lookup,t=steady,d=60000,units=1,spread=2,first=0"); lastAnswer == id {
					servedCount++
				}
				time.Sleep(150 * time.Millisecond)
			}
			return servedCount
		}
		old := startProcess()
		if servedBefore := send(14); servedBefore < 11 { // by then little of the quota remains, and a few snapshots are written
			t.Fatalf("the old process served %d of 14 requests, expected at least 11; the last answer is %q\n%s", servedBefore, lastAnswer, old.log())
		}
		next := startProcess()
		old.cmd.Process.Signal(syscall.SIGTERM)
		if err := old.wait(); err != nil {
			t.Fatalf("the old process ended with %v, expected no error\n%s", err, old.log())
		}
		served[mode] = send(8)
		if text := adminCall(t, env.adminAddr, "telemetry"); strings.Contains(text, `"snapshot_loaded":1`) != (mode == "auto") {
			t.Errorf("warm start %s: got telemetry %s; expected snapshot_loaded 1 for auto only\n%s", mode, text, next.log())
		}
		if mode == "off" {
			continue
		}
		next.cmd.Process.Kill()
		next.wait()
		checkTornSnapshot(t, env, customer, startProcess)
	}
	t.Logf("of 8 requests, the process with a warm start served %d, the one without %d", served["auto"], served["off"])
	if served["auto"] < served["off"]+3 {
		t.Errorf("of 8 requests, the process with a warm start served %d, the one without %d; expected at least 3 more", served["auto"],
			served["off"])
	}
}

// checkTornSnapshot truncates the newer of two snapshots. The snapshot commands must report that, and the next process must start
// from the older one.
func checkTornSnapshot(t *testing.T, env *environment, customer string, startProcess func() *process) {
	t.Helper()
	files, _ := filepath.Glob(filepath.Join(env.sharedTempDir, "*.snapshot"))
	if len(files) != 2 || os.Truncate(files[1], 100) != nil {
		t.Fatal(files)
	}
	if out, err := exec.Command(program, "snapshot", "verify", files[0]).CombinedOutput(); err != nil {
		t.Errorf("snapshot verify of a sound file: got %v, %s", err, out)
	}
	if out, err := exec.Command(program, "snapshot", "verify", files[1]).CombinedOutput(); err == nil || !strings.Contains(string(out), "torn") {
		t.Errorf("snapshot verify of a truncated file: got %v, %s; expected an error with \"torn\"", err, out)
	}
	if out, err := exec.Command(program, "snapshot", "show", files[0]).CombinedOutput(); err != nil ||
		!strings.Contains(string(out), customer+"  steady") || !strings.Contains(string(out), "s-00000001") {
		t.Errorf("snapshot show: got %v, %s; expected the customer with its plan, and the server", err, out)
	}
	third := startProcess()
	if text := adminCall(t, env.adminAddr, "telemetry"); !strings.Contains(text, `"snapshot_loaded":1,"snapshot_rejected":1`) {
		t.Errorf("got telemetry %s, expected one loaded and one rejected snapshot\n%s", text, third.log())
	}
}

// TestExclusionIsWrittenOnceItCanBe guards against exclusions that the next process does not learn of, because the folder was not
// writable when an operator excluded the server. The call must be answered at once, and the file written once that is possible.
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
		t.Fatalf("the call was not answered with YES\n%s", p.log())
	}
	if !eventually(func() bool { return strings.Contains(p.log(), "exclusions are not written") }) {
		t.Fatalf("the failed write was not logged\n%s", p.log())
	}
	if err := os.Mkdir(env.sharedTempDir, 0o700); err != nil {
		t.Fatal(err)
	}
	if !eventually(func() bool {
		state, err := handover.Load(handover.Path(env.sharedTempDir, "n0"))
		return err == nil && slices.Equal(state.Excluded, []string{"s-00000001"})
	}) {
		t.Errorf("the exclusion was not written once the folder existed\n%s", p.log())
	}
	if n := strings.Count(p.log(), "exclusions are not written"); n != 1 {
		t.Errorf("the failed write was logged %d times, expected once", n)
	}
}
