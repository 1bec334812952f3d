package drill

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// IdleFleet measures the cost of a fleet that receives no requests. Its processes run on one machine and connect directly,
// without simulated links.
type IdleFleet struct {
	Program       string // path of the built dewhitch binary
	Dir           string // empty directory for the processes' files
	Processes     int
	Length        time.Duration // duration of the measurement
	Uncoordinated bool
}

// IdleFleetResult holds the cost per process, and the time until all processes applied a change.
type IdleFleetResult struct {
	Processes   int     `json:"processes"`
	FormTime    float64 `json:"formed_s"`              // seconds until every process had a fresh view
	CPU         float64 `json:"cpu_ms_per_s"`          // mean processor time of a process, in ms per second
	MaxCPU      float64 `json:"most_cpu_ms_per_s"`     // highest processor time of a process, in ms per second
	Sent        float64 `json:"sent_bytes_per_s"`      // mean number of bytes that a process sent per second
	MaxSent     float64 `json:"most_sent_bytes_per_s"` // highest number of bytes that a process sent per second
	ApplyMedian float64 `json:"seen_median_s"`         // median of the seconds from the first process that applied a change
	ApplyWorst  float64 `json:"seen_worst_s"`          // longest time of a process to apply a change, counted as in ApplyMedian
	Memory      float64 `json:"resident_mb"`           // mean resident memory of a process, in MB
}

// Bounds of the measurement of an idle fleet.
const (
	maxFleetProcesses = 200
	maxFleetVoters    = 3
	formTimeout       = 60 * time.Second
	settleTime        = 5 * time.Second // time between the fleet's formation and the measurement
)

// idleFleetRun is the state of one measurement. Log lines arrive on other goroutines; the mutex guards what they change.
type idleFleetRun struct {
	IdleFleet
	processes         []*standin.Process
	fleetAddresses    []string
	operatorAddresses []string
	discovery         *standin.Discovery
	counter           *standin.Counter

	mu             sync.Mutex
	appliedByEpoch map[string]map[string]time.Time // time at which each process applied the plan of an epoch
	freshByProcess map[string]bool                 // whether a process's view is fresh, by the process's name
}

// Run starts the processes, waits until they form a fleet, measures their cost over Length and, in a fleet, the time until a
// change of the plan is applied.
func (f IdleFleet) Run(ctx context.Context) (*IdleFleetResult, error) {
	if f.Processes < 1 || f.Processes > maxFleetProcesses {
		return nil, fmt.Errorf("%d processes; expected 1 to %d", f.Processes, maxFleetProcesses)
	}
	r := &idleFleetRun{IdleFleet: f, appliedByEpoch: map[string]map[string]time.Time{}, freshByProcess: map[string]bool{}}
	defer r.close()
	if err := r.open(); err != nil {
		return nil, err
	}
	formed, err := r.waitFormed(ctx)
	if err != nil {
		return nil, err
	}
	result := &IdleFleetResult{Processes: f.Processes, FormTime: formed.Seconds()}
	sleep(ctx, settleTime)
	if err := r.measureCost(ctx, result); err != nil {
		return nil, err
	}
	if !f.Uncoordinated {
		result.ApplyMedian, result.ApplyWorst, err = r.measureChange(ctx)
	}
	return result, err
}

// waitFormed waits until every process has a fresh view, and returns how long that took. It returns an error after formTimeout.
func (r *idleFleetRun) waitFormed(ctx context.Context) (time.Duration, error) {
	startedAt := time.Now()
	for !r.isFormed() {
		if time.Since(startedAt) > formTimeout {
			return 0, fmt.Errorf("the fleet did not form within %v", formTimeout)
		}
		sleep(ctx, 50*time.Millisecond)
		if ctx.Err() != nil {
			return 0, ctx.Err()
		}
	}
	return time.Since(startedAt), nil
}

// measureCost measures processor time and bytes sent over Length, and the memory at its end.
func (r *idleFleetRun) measureCost(ctx context.Context, result *IdleFleetResult) error {
	at := time.Now()
	cpuBefore, sentBefore, err := r.measure()
	if err != nil {
		return err
	}
	sleep(ctx, r.Length)
	elapsed := time.Since(at).Seconds()
	cpuAfter, sentAfter, err := r.measure()
	if err != nil {
		return err
	}
	processes := float64(r.Processes)
	for i, p := range r.processes {
		cpu := (cpuAfter[i] - cpuBefore[i]).Seconds() * 1000 / elapsed
		sent := (sentAfter[i] - sentBefore[i]) / elapsed
		result.CPU += cpu / processes
		result.Sent += sent / processes
		result.MaxCPU = max(result.MaxCPU, cpu)
		result.MaxSent = max(result.MaxSent, sent)
		result.Memory += residentMB(p) / processes
	}
	return nil
}

// open starts the stand-ins, then all processes concurrently.
func (r *idleFleetRun) open() (err error) {
	if r.discovery, err = standin.NewDiscovery(standin.Members(), 1); err != nil {
		return err
	}
	if r.counter, err = standin.NewCounter(); err != nil {
		return err
	}
	listener, err := r.counter.AddListener()
	if err != nil {
		return err
	}
	for range r.Processes {
		r.fleetAddresses = append(r.fleetAddresses, standin.OwnAddr())
	}
	for i := range r.Processes {
		if err := r.addProcess(i, listener.Addr()); err != nil {
			return err
		}
	}
	var starts sync.WaitGroup
	errs := make([]error, len(r.processes))
	for i, p := range r.processes {
		starts.Go(func() { errs[i] = p.Start(processTimeout) })
	}
	starts.Wait()
	return errors.Join(errs...)
}

// addProcess writes the files of the i-th process and adds it to the processes to start.
func (r *idleFleetRun) addProcess(i int, counter string) error {
	zones := []string{"hall-a", "hall-b", "hall-c"}
	name := fmt.Sprintf("g%d", i)
	p := &standin.Process{Name: name, Dir: filepath.Join(r.Dir, name), Listen: standin.OwnAddr(), Path: r.Program}
	p.Args = []string{"--limits", p.File("limits.toml"), "--operations", p.File("operations.toml"), "serve"}
	p.OnLogLine = func(line string) { r.observeLine(name, line) }
	config, err := standin.Config{
		Name:      name,
		Listen:    p.Listen,
		Discovery: r.discovery.Addr(),
		Counter:   counter,
		Seed:      uint64(i),
		Instances: r.Processes,
		Number:    i,
		Zones:     zones,
		Zone:      i % len(zones),
		Plans:     []standin.Plan{{Name: "basic", QuotaRate: 10, Depth: 10, Pays: 1}},
		Classes:   []standin.Class{classesOf("safe")[0].Class},
	}.JSON()
	if err != nil {
		return err
	}
	operatorAddress := standin.OwnAddr()
	files := map[string]string{
		"config.json":     config,
		"limits.toml":     "listen = \"\"\n",
		"operations.toml": "[warm_start]\nmode = \"off\"\n",
	}
	if !r.Uncoordinated {
		p.Args = append([]string{"--fleet", p.File("fleet.toml")}, p.Args...)
		files["operations.toml"] += fmt.Sprintf("[operator]\nlisten = %q\n", operatorAddress)
		files["fleet.toml"] = r.fleetFile(i, p.File("fleet"))
	}
	if err := p.Write(files); err != nil {
		return err
	}
	r.processes = append(r.processes, p)
	r.operatorAddresses = append(r.operatorAddresses, operatorAddress)
	return nil
}

// fleetFile returns the fleet file of the i-th process. The voters, which are also the seeds, are the first processes: an odd
// number, at most maxFleetVoters.
func (r *idleFleetRun) fleetFile(i int, dir string) string {
	var voters, seeds []string
	for v := range min(maxFleetVoters, (r.Processes-1)/2*2+1) {
		voters = append(voters, fmt.Sprintf("%q", fmt.Sprintf("g%d", v)))
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("g%d/%s", v, r.fleetAddresses[v])))
	}
	return fmt.Sprintf("[fleet]\nname = \"rest\"\nlisten = %q\nvoters = [%s]\nseeds = [%s]\ndir = %q\n", r.fleetAddresses[i],
		strings.Join(voters, ", "), strings.Join(seeds, ", "), dir)
}

// observeLine records from a log line of a process whether the process's view is fresh, or which plan it has applied.
func (r *idleFleetRun) observeLine(name, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case strings.Contains(line, `"msg":"fleet: the view is fresh"`):
		r.freshByProcess[name] = true
	case strings.Contains(line, `"msg":"fleet: the view is older`):
		r.freshByProcess[name] = false
	case strings.Contains(line, `"msg":"fleet: plan `):
		_, epoch, _ := strings.Cut(line, `"epoch":"`)
		epoch, _, _ = strings.Cut(epoch, `"`)
		if r.appliedByEpoch[epoch] == nil {
			r.appliedByEpoch[epoch] = map[string]time.Time{}
		}
		r.appliedByEpoch[epoch][name] = time.Now()
	}
}

// isFormed reports whether every process has a fresh view. Without the fleet view it returns true.
func (r *idleFleetRun) isFormed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := 0
	for _, isFresh := range r.freshByProcess {
		if isFresh {
			fresh++
		}
	}
	return fresh == len(r.processes) || r.Uncoordinated
}

// measureChange freezes the fleet through the last process, and returns how many seconds after the first process the others
// applied that change.
func (r *idleFleetRun) measureChange(ctx context.Context) (median, worst float64, err error) {
	answer, err := http.PostForm("http://"+r.operatorAddresses[len(r.operatorAddresses)-1]+"/fleet/freeze", url.Values{"by": {"drill"}, "why": {"a change"}})
	if err != nil {
		return 0, 0, err
	}
	defer answer.Body.Close()
	line, _ := bufio.NewReader(answer.Body).ReadString('\n')
	epoch, ok := strings.CutPrefix(strings.TrimSpace(line), "YES ")
	if !ok {
		return 0, 0, fmt.Errorf("freeze: %s", line)
	}
	for end := time.Now().Add(formTimeout); ; sleep(ctx, 10*time.Millisecond) {
		r.mu.Lock()
		var appliedAt []time.Time
		for _, t := range r.appliedByEpoch[epoch] {
			appliedAt = append(appliedAt, t)
		}
		r.mu.Unlock()
		if len(appliedAt) == len(r.processes) {
			slices.SortFunc(appliedAt, time.Time.Compare)
			return appliedAt[len(appliedAt)/2].Sub(appliedAt[0]).Seconds(), appliedAt[len(appliedAt)-1].Sub(appliedAt[0]).Seconds(), nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return 0, 0, fmt.Errorf("%d of %d processes have applied the change after %v", len(appliedAt), len(r.processes), formTimeout)
		}
	}
}

// measure reads the processor time and the bytes sent of each process, both since its start.
func (r *idleFleetRun) measure() (cpu []time.Duration, sent []float64, err error) {
	for i, p := range r.processes {
		used, err := cpuTime(p.Program().Cmd.Process.Pid)
		if err != nil {
			return nil, nil, err
		}
		bytes := 0.0
		if !r.Uncoordinated {
			if bytes, err = readMetric(r.operatorAddresses[i], "dewhitch_fleet_sent_bytes_total"); err != nil {
				return nil, nil, err
			}
		}
		cpu = append(cpu, used)
		sent = append(sent, bytes)
	}
	return cpu, sent, nil
}

// close kills the processes and closes the stand-ins.
func (r *idleFleetRun) close() {
	for _, p := range r.processes {
		p.Kill()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
	if r.counter != nil {
		r.counter.Close()
	}
}
