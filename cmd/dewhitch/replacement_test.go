package main_test

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"dewhitch/internal/handover"
	"dewhitch/internal/standin"
)

// followTimeLimit is the time after the answer to an operator's call within which every process of the gateway must follow it.
const followTimeLimit = 500 * time.Millisecond

// replacement is a gateway of three servers whose processes replace each other.
type replacement struct {
	env                 *environment
	startWithoutWaiting func() *process
}

// gatewayProcess is one process of a replacement, with its operators' address.
type gatewayProcess struct {
	*process
	admin string
}

func newReplacement(t *testing.T) *replacement {
	env := newEnvironment(t)
	env.discovery.Set(env.members("s-00000001=up s-00000002=up s-00000003=up"))
	return &replacement{env: env, startWithoutWaiting: env.shareListenerUnready()}
}

// start starts one more process and waits until it is ready.
func (r *replacement) start() *gatewayProcess {
	r.env.t.Helper()
	p := &gatewayProcess{r.startWithoutWaiting(), r.env.adminAddr}
	r.env.awaitReady(p.process)
	return p
}

// mustSayYes makes a call at a process's operators' address.
func (r *replacement) mustSayYes(p *gatewayProcess, call string) {
	r.env.t.Helper()
	if got := adminCall(r.env.t, p.admin, call); got != "YES" {
		r.env.t.Fatalf("%s was answered %q, expected YES\n%s", call, got, p.log())
	}
}

// expectExcluded checks that a process has this number of servers out of use, at the latest after followTimeLimit.
func (r *replacement) expectExcluded(p *gatewayProcess, count int) {
	r.env.t.Helper()
	want := fmt.Sprintf(`"targets":3,"targets_disabled":%d,`, count)
	var got string
	for deadline := time.Now().Add(followTimeLimit); ; time.Sleep(10 * time.Millisecond) {
		if got = adminCall(r.env.t, p.admin, "telemetry"); strings.Contains(got, want) {
			return
		}
		if time.Now().After(deadline) {
			break
		}
	}
	r.env.t.Fatalf("the figures have no %s after %v\n%s\n%s", want, followTimeLimit, got, p.log())
}

// expectRecorded checks which servers the next process would find excluded.
func (r *replacement) expectRecorded(servers ...string) {
	r.env.t.Helper()
	state, err := handover.Load(handover.Path(r.env.sharedTempDir, "n0"))
	if err != nil || !slices.Equal(state.Excluded, servers) {
		r.env.t.Fatalf("the record has %v, %v; expected %v", state.Excluded, err, servers)
	}
}

// end sends SIGTERM to a process and waits for its end.
func (r *replacement) end(p *gatewayProcess) {
	r.env.t.Helper()
	p.cmd.Process.Signal(syscall.SIGTERM)
	if err := p.wait(); err != nil {
		r.env.t.Fatalf("the process ended with %v\n%s", err, p.log())
	}
}

// holdOpen sends a request that is never answered, so that the process stays for a while after SIGTERM. It must be the only process.
func (r *replacement) holdOpen() {
	r.env.t.Helper()
	c := r.env.dial()
	io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
	if err := expect(c.r, []byte("+PONG\r\n")); err != nil {
		r.env.t.Fatal(err)
	}
	io.WriteString(c, "*2\r\n$9\r\nSVC.QUERY\r\n$16\r\n")
}

// TestExclusionsOfTwoProcesses guards against operators' calls that are answered YES and lost while one process of the gateway
// replaces another: both processes must follow a call to either, in use or not, until the last one ends.
func TestExclusionsOfTwoProcesses(t *testing.T) {
	t.Parallel()
	for name, scenario := range map[string]func(t *testing.T, r *replacement){
		"taken out at the old process": func(t *testing.T, r *replacement) {
			old := r.start()
			next := r.start()
			r.mustSayYes(old, "exclude s-00000001")
			r.expectExcluded(next, 1)
			r.end(old)
			r.expectExcluded(next, 1)
		},
		"put back at the old process": func(t *testing.T, r *replacement) {
			old := r.start()
			r.mustSayYes(old, "exclude s-00000001")
			r.mustSayYes(old, "exclude s-00000002")
			next := r.start()
			r.expectExcluded(next, 2)
			r.mustSayYes(old, "include s-00000001")
			r.expectExcluded(next, 1)
			r.end(old)
			r.expectRecorded("s-00000002")
		},
		"at the old process after SIGTERM": func(t *testing.T, r *replacement) {
			old := r.start()
			r.mustSayYes(old, "exclude s-00000003")
			r.holdOpen()
			next := r.start()
			old.cmd.Process.Signal(syscall.SIGTERM)
			if !eventually(func() bool { return strings.Contains(old.log(), `"ending"`) }) {
				t.Fatal(old.log())
			}
			r.mustSayYes(old, "exclude s-00000001")
			r.mustSayYes(old, "exclude s-00000002")
			r.mustSayYes(old, "include s-00000003")
			r.expectExcluded(next, 2)
			old.wait()
			r.expectExcluded(next, 2)
			r.expectRecorded("s-00000001", "s-00000002")
		},
		"at the new process": func(t *testing.T, r *replacement) {
			old := r.start()
			next := r.start()
			r.mustSayYes(next, "exclude s-00000001")
			r.expectExcluded(old, 1)
			r.mustSayYes(next, "include s-00000001")
			r.expectExcluded(old, 0)
		},
		"at both processes": func(t *testing.T, r *replacement) {
			old := r.start()
			next := r.start()
			r.mustSayYes(old, "exclude s-00000001")
			r.mustSayYes(next, "exclude s-00000002")
			r.mustSayYes(old, "exclude s-00000003")
			r.mustSayYes(next, "include s-00000001")
			r.mustSayYes(old, "exclude s-00000001") // at once, before the old process has followed
			r.expectExcluded(old, 3)
			r.expectExcluded(next, 3)
			r.expectRecorded("s-00000001", "s-00000002", "s-00000003")
		},
		"a successor that is killed": func(t *testing.T, r *replacement) {
			old := r.start()
			failed := r.start()
			r.mustSayYes(failed, "exclude s-00000001")
			r.mustSayYes(old, "exclude s-00000002")
			failed.cmd.Process.Kill()
			failed.wait()
			r.expectExcluded(old, 2)
			r.expectExcluded(r.start(), 2)
		},
		"a successor that is replaced in turn": func(t *testing.T, r *replacement) {
			old := r.start()
			r.holdOpen()
			second := r.start()
			old.cmd.Process.Signal(syscall.SIGTERM)
			third := r.start()
			r.mustSayYes(second, "exclude s-00000001")
			r.mustSayYes(old, "exclude s-00000002")
			r.expectExcluded(third, 2)
			r.end(second)
			r.mustSayYes(third, "include s-00000002")
			old.wait()
			r.expectExcluded(third, 1)
			r.expectExcluded(r.start(), 1)
		},
		"a reload in between": func(t *testing.T, r *replacement) {
			old := r.start()
			next := r.start()
			r.mustSayYes(old, "exclude s-00000001")
			for _, p := range []*gatewayProcess{old, next} {
				p.cmd.Process.Signal(syscall.SIGHUP)
			}
			r.mustSayYes(old, "exclude s-00000002")
			if !eventually(func() bool { return strings.Contains(next.log(), "new configuration") }) {
				t.Fatal(next.log())
			}
			r.expectExcluded(next, 2)
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			scenario(t, newReplacement(t))
		})
	}
}

// TestExclusionOfAServerThatIsNotListed guards against a server that stays out of use for ever: it is excluded, restarts and is not
// listed while the process is replaced, and the new process refuses to put it back, as it has never seen it listed.
func TestExclusionOfAServerThatIsNotListed(t *testing.T) {
	t.Parallel()
	for _, lastProcess := range []string{"both", "the new one"} {
		r := newReplacement(t)
		old := r.start()
		r.mustSayYes(old, "exclude s-00000001")
		r.env.discovery.Set(r.env.members("s-00000002=up s-00000003=up"))
		next := r.start()
		if lastProcess == "the new one" {
			r.end(old)
		}
		r.mustSayYes(next, "exclude s-00000001") // repeated
		r.mustSayYes(next, "include s-00000001")
		r.env.discovery.Set(r.env.members("s-00000001=up s-00000002=up s-00000003=up"))
		r.expectExcluded(next, 0)
		if got := adminCall(t, next.admin, "include s-0000000a"); got != "NO no server of this id was ever listed" {
			t.Errorf("a server that was never listed: got %q", got)
		}
	}
}

// TestCallBeforeTheFirstList guards against an operator's call that a process refuses, as of an unknown server, because it has just
// started and waits for discovery's first list.
func TestCallBeforeTheFirstList(t *testing.T) {
	t.Parallel()
	const delay = 200 * time.Millisecond
	r := newReplacement(t)
	old := r.start()
	slow, err := standin.Listen("", func(conn net.Conn) {
		time.Sleep(delay)
		upstream, err := net.Dial("tcp", r.env.discovery.Addr())
		if err != nil {
			return
		}
		defer upstream.Close()
		go io.Copy(upstream, conn)
		io.Copy(conn, upstream)
	})
	closeAtCleanup(t, slow, err)
	r.env.discoveryAddr = slow.Addr()
	next := r.startUnready()
	r.mustSayYes(next, "exclude s-00000001")
	r.expectExcluded(old, 1)
	r.expectExcluded(next, 1)
	if got := adminCall(t, next.admin, "exclude s-0000000a"); got != "NO no server of this id was ever listed" {
		t.Errorf("a server that was never listed: got %q", got)
	}
}
