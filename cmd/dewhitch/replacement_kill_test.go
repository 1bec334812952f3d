package main_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"dewhitch/internal/handover"
)

var killSeeds = flag.Uint64("kills.seeds", 3, "runs of TestExclusionsSurviveKills")

// exclusionSoak is a gateway whose processes are replaced and killed while operators call them.
type exclusionSoak struct {
	*replacement
	rng       *rand.Rand
	processes []*gatewayProcess
	confirmed map[string]bool // state of each server by the last call about it; a server is missing if that call had no answer
}

// TestExclusionsSurviveKills guards against calls that are answered YES and lost because a process is killed at any step of a call,
// of its start or of its end. Each seed is another order of calls, starts, SIGTERM and SIGKILL.
func TestExclusionsSurviveKills(t *testing.T) {
	t.Parallel()
	for seed := range *killSeeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			s := &exclusionSoak{newReplacement(t), rand.New(rand.NewPCG(seed, 0)), nil, map[string]bool{}}
			s.processes = []*gatewayProcess{s.start()}
			for range 12 {
				for range 4 {
					s.call(s.processes[s.rng.IntN(len(s.processes))])
				}
				s.changeProcesses()
			}
			s.check()
		})
	}
}

// TestConfirmedCallsAreRecorded guards against a call that is answered YES before it is recorded, and lost if the process is killed
// just then.
func TestConfirmedCallsAreRecorded(t *testing.T) {
	t.Parallel()
	r := newReplacement(t)
	p := r.start()
	for range 20 {
		r.mustSayYes(p, "exclude s-00000001")
		r.expectRecorded("s-00000001")
		r.mustSayYes(p, "include s-00000001")
		r.expectRecorded()
	}
}

// call makes a random call at a process.
func (s *exclusionSoak) call(p *gatewayProcess) {
	verb, id := []string{"include", "exclude"}[s.rng.IntN(2)], fmt.Sprintf("s-%08x", 1+s.rng.IntN(3))
	delete(s.confirmed, id)
	switch got := adminCall(s.env.t, p.admin, verb+" "+id); got {
	case "YES":
		s.confirmed[id] = verb == "exclude"
	case "":
	default:
		s.env.t.Errorf("%s %s was answered %q\n%s", verb, id, got, p.log())
	}
}

// changeProcesses starts a process, which may be killed before it is ready, or ends the oldest one during a call or just after it.
// At least one process stays.
func (s *exclusionSoak) changeProcesses() {
	if s.rng.IntN(4) == 0 {
		failed := s.startWithoutWaiting()
		time.Sleep(time.Duration(s.rng.IntN(60)) * time.Millisecond)
		s.call(s.processes[0])
		failed.cmd.Process.Kill()
	}
	oldest := s.processes[0]
	if len(s.processes) < 3 && s.rng.IntN(2) == 0 {
		s.processes = append(s.processes, s.start())
		return
	}
	signal := []syscall.Signal{syscall.SIGTERM, syscall.SIGKILL}[s.rng.IntN(2)]
	if s.rng.IntN(2) == 0 {
		delay := time.Duration(s.rng.IntN(2000)) * time.Microsecond
		time.AfterFunc(delay, func() { oldest.cmd.Process.Signal(signal) })
	}
	s.call(oldest)
	oldest.cmd.Process.Signal(signal)
	if len(s.processes) == 1 {
		oldest.wait()
		s.processes = append(s.processes, s.start())
	}
	s.processes = s.processes[1:]
}

// check compares the record and the figures of all processes with the confirmed calls.
func (s *exclusionSoak) check() {
	time.Sleep(followTimeLimit)
	state, err := handover.Load(handover.Path(s.env.sharedTempDir, "n0"))
	if err != nil {
		s.env.t.Fatal(err)
	}
	for id, excluded := range s.confirmed {
		if slices.Contains(state.Excluded, id) != excluded {
			s.env.t.Errorf("%s is excluded: %v by the last call, but the record has %v", id, excluded, state.Excluded)
		}
	}
	want := fmt.Sprintf(`"targets_disabled":%d,`, len(state.Excluded))
	for _, p := range s.processes {
		if got := adminCall(s.env.t, p.admin, "telemetry"); !strings.Contains(got, want) {
			s.env.t.Errorf("the record has %v, but the figures are %s\n%s", state.Excluded, got, p.log())
		}
	}
}
