package main_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"dewhitch/internal/handover"
)

// stayTime is how long a state that must not change is watched. A start takes a tenth of it.
const stayTime = time.Second

// expectNotReady checks that a process does not become ready within stayTime.
func (r *replacement) expectNotReady(p *gatewayProcess) {
	r.env.t.Helper()
	for deadline := time.Now().Add(stayTime); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if adminCall(r.env.t, p.admin, "readyz") == "YES" {
			r.env.t.Fatalf("the process is ready, expected it to wait\n%s", p.log())
		}
	}
}

// startUnready starts one more process and waits until it answers operators.
func (r *replacement) startUnready() *gatewayProcess {
	r.env.t.Helper()
	p := &gatewayProcess{r.startWithoutWaiting(), r.env.adminAddr}
	if !eventually(func() bool { return adminCall(r.env.t, p.admin, "readyz") != "" }) {
		r.env.t.Fatalf("the process does not answer operators\n%s", p.log())
	}
	return p
}

// failWrites makes a process unable to write the record until the returned function is called.
func (r *replacement) failWrites(p *gatewayProcess) (end func()) {
	r.env.t.Helper()
	obstacle := fmt.Sprintf("%s.%d.part", handover.Path(r.env.sharedTempDir, "n0"), p.cmd.Process.Pid)
	if err := os.MkdirAll(filepath.Join(obstacle, "folder"), 0o700); err != nil {
		r.env.t.Fatal(err)
	}
	return func() {
		if err := os.RemoveAll(obstacle); err != nil {
			r.env.t.Fatal(err)
		}
	}
}

// TestReadyOnlyWithTheExclusions guards against a process that serves before it has read the exclusions, as its disk is slow. A
// named pipe stands in for the slow disk.
func TestReadyOnlyWithTheExclusions(t *testing.T) {
	t.Parallel()
	r := newReplacement(t)
	path := handover.Path(r.env.sharedTempDir, "n0")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	p := r.startUnready()
	r.expectNotReady(p)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	state := handover.State{Excluded: []string{"s-00000002"}}
	if err := handover.Save(path, state); err != nil { // later reads find a file
		t.Fatal(err)
	}
	fmt.Fprint(pipe, `{"excluded":["s-00000002"]}`)
	pipe.Close()
	r.env.awaitReady(p.process)
	if got := adminCall(t, p.admin, "telemetry"); !strings.Contains(got, `"targets_disabled":1`) {
		t.Errorf("the ready process has not excluded the server\n%s\n%s", got, p.log())
	}
}

// TestSuccessorWaitsForUnwrittenExclusions guards against a successor that serves without an exclusion that its predecessor has
// confirmed but could not write yet, as on a full disk.
func TestSuccessorWaitsForUnwrittenExclusions(t *testing.T) {
	t.Parallel()
	r := newReplacement(t)
	old := r.start()
	endFailure := r.failWrites(old)
	r.mustSayYes(old, "exclude s-00000001")
	next := r.startUnready()
	r.expectNotReady(next)
	endFailure()
	r.env.awaitReady(next.process)
	r.expectExcluded(next, 1)
}

// TestSuccessorWaitsForADamagedRecord guards against a successor that serves without exclusions because the file is corrupt or
// gone, while its predecessor knows them and can't write the file again yet.
func TestSuccessorWaitsForADamagedRecord(t *testing.T) {
	t.Parallel()
	for name, damage := range map[string]func(path string) error{
		"corrupt": func(path string) error { return os.Truncate(path, 5) },
		"removed": os.Remove,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newReplacement(t)
			old := r.start()
			r.mustSayYes(old, "exclude s-00000001")
			endFailure := r.failWrites(old)
			if err := damage(handover.Path(r.env.sharedTempDir, "n0")); err != nil {
				t.Fatal(err)
			}
			if !eventually(func() bool { return strings.Contains(old.log(), "exclusions are not written") }) {
				t.Fatal(old.log())
			}
			next := r.startUnready()
			r.expectNotReady(next)
			endFailure()
			r.env.awaitReady(next.process)
			r.expectExcluded(next, 1)
		})
	}
}

// TestSuccessorDoesNotWaitForAProcessThatHasEnded guards against a successor that is never ready because its predecessor was killed
// before it could write an exclusion.
func TestSuccessorDoesNotWaitForAProcessThatHasEnded(t *testing.T) {
	t.Parallel()
	r := newReplacement(t)
	old := r.start()
	r.failWrites(old)
	r.mustSayYes(old, "exclude s-00000001")
	next := r.startUnready()
	r.expectNotReady(next)
	old.cmd.Process.Kill()
	old.wait()
	r.env.awaitReady(next.process)
}

// TestRefusedCallChangesNothing guards against an exclusion that holds in one process of two, as the disk is full. The call must be
// answered NO while both run, and both must stay as they were.
func TestRefusedCallChangesNothing(t *testing.T) {
	t.Parallel()
	r := newReplacement(t)
	old := r.start()
	r.mustSayYes(old, "exclude s-00000002")
	next := r.start()
	endFailure := r.failWrites(old)
	for _, call := range []string{"exclude s-00000001", "include s-00000002"} {
		if got := adminCall(t, old.admin, call); !strings.HasPrefix(got, "NO can't be recorded for the gateway's other process") {
			t.Fatalf("%s was answered %q, expected a NO\n%s", call, got, old.log())
		}
	}
	for _, p := range []*gatewayProcess{old, next} {
		r.expectExcluded(p, 1)
	}
	r.expectRecorded("s-00000002")
	r.mustSayYes(next, "exclude s-00000003") // its own disk is fine
	r.expectExcluded(old, 2)
	endFailure()
	r.mustSayYes(old, "exclude s-00000001")
	r.expectExcluded(next, 3)
}
