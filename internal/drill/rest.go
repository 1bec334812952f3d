package drill

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// Rest is what a fleet costs while nothing happens: so many processes side by side, without links between them.
type Rest struct {
	Program       string
	Dir           string
	Processes     int
	Length        time.Duration
	Uncoordinated bool
}

// RestResult has the figures of a process a second, and how long one change took to be acted on.
type RestResult struct {
	Processes int     `json:"processes"`
	Formed    float64 `json:"formed_s"` // until all had a fresh view of all
	CPU       float64 `json:"cpu_ms_per_s"`
	MostCPU   float64 `json:"most_cpu_ms_per_s"` // of the busiest process, a voter
	Sent      float64 `json:"sent_bytes_per_s"`
	MostSent  float64 `json:"most_sent_bytes_per_s"`
	SeenHalf  float64 `json:"seen_median_s"` // of one change, since the first process acted on it
	SeenWorst float64 `json:"seen_worst_s"`
	Memory    float64 `json:"resident_mb"` // in the mean
}

const (
	mostResting = 200
	formTime    = 60 * time.Second
)

// rest is the processes of a Rest.
type rest struct {
	Rest
	all       []*standin.Process
	shows     []string
	mu        sync.Mutex
	plans     map[string]map[string]time.Time // by epoch, when each process acted on it
	fresh     map[string]bool
	discovery *standin.Discovery
	counter   *standin.Counter
}

// Run starts the processes, lets them rest, and measures.
func (o Rest) Run(ctx context.Context) (*RestResult, error) {
	if o.Processes < 1 || o.Processes > mostResting {
		return nil, fmt.Errorf("%d processes; expected 1 to %d", o.Processes, mostResting)
	}
	r := &rest{Rest: o, plans: map[string]map[string]time.Time{}, fresh: map[string]bool{}}
	defer r.close()
	if err := r.open(); err != nil {
		return nil, err
	}
	began := time.Now()
	for !r.formed() {
		if time.Since(began) > formTime {
			return nil, fmt.Errorf("the fleet did not form within %v", formTime)
		}
		wait(ctx, 50*time.Millisecond)
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
	}
	result := &RestResult{Processes: o.Processes, Formed: time.Since(began).Seconds()}
	wait(ctx, 5*time.Second) // what the beginning stirred up has settled
	at := time.Now()
	cpu, sent, err := r.measure()
	if err != nil {
		return nil, err
	}
	wait(ctx, o.Length)
	took := time.Since(at).Seconds()
	cpu2, sent2, err := r.measure()
	if err != nil {
		return nil, err
	}
	for i := range r.all {
		c, s := (cpu2[i]-cpu[i]).Seconds()*1000/took, (sent2[i]-sent[i])/took
		result.CPU += c / float64(o.Processes)
		result.Sent += s / float64(o.Processes)
		result.MostCPU, result.MostSent = max(result.MostCPU, c), max(result.MostSent, s)
		result.Memory += resident(r.all[i]) / float64(o.Processes)
	}
	if !o.Uncoordinated {
		result.SeenHalf, result.SeenWorst, err = r.change(ctx)
	}
	return result, err
}

func (r *rest) open() (err error) {
	if r.discovery, err = standin.NewDiscovery(standin.Members(), 1); err != nil {
		return err
	}
	if r.counter, err = standin.NewCounter(); err != nil {
		return err
	}
	door, err := r.counter.Door()
	if err != nil {
		return err
	}
	zones := []string{"hall-a", "hall-b", "hall-c"}
	var talks []string
	for range r.Processes {
		talks = append(talks, standin.OwnAddr())
	}
	var names, seeds []string
	for i := range min(3, (r.Processes-1)/2*2+1) {
		names = append(names, fmt.Sprintf("%q", fmt.Sprintf("g%d", i)))
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("g%d/%s", i, talks[i])))
	}
	for i := range r.Processes {
		name := fmt.Sprintf("g%d", i)
		p := &standin.Process{Name: name, Dir: filepath.Join(r.Dir, name), Listen: standin.OwnAddr(), Path: r.Program}
		p.Args = []string{"--limits", p.File("limits.toml"), "--operations", p.File("operations.toml"), "serve"}
		p.Env = []string{"TMPDIR=" + p.Dir}
		p.Line = func(line string) { r.line(name, line) }
		config, err := standin.Config{Name: name, Listen: p.Listen, Discovery: r.discovery.Addr(), Counter: door.Addr(), Seed: uint64(i),
			Instances: r.Processes, Number: i, Zones: zones, Zone: i % len(zones),
			Plans:   []standin.Plan{{Name: "basic", QuotaRate: 10, Depth: 10, Pays: 1}},
			Classes: []standin.Class{classesOf("safe")[0].Class}}.JSON()
		if err != nil {
			return err
		}
		show := standin.OwnAddr()
		files := map[string]string{"config.json": config, "limits.toml": "listen = \"\"\n", "operations.toml": "[warm_start]\nmode = \"off\"\n"}
		if !r.Uncoordinated {
			p.Args = append([]string{"--fleet", p.File("fleet.toml")}, p.Args...)
			files["operations.toml"] += fmt.Sprintf("[operator]\nlisten = %q\n", show)
			files["fleet.toml"] = fmt.Sprintf("[fleet]\nname = \"rest\"\nlisten = %q\nvoters = [%s]\nseeds = [%s]\ndir = %q\n", talks[i],
				strings.Join(names, ", "), strings.Join(seeds, ", "), p.File("fleet"))
		}
		if err := p.Write(files); err != nil {
			return err
		}
		r.all, r.shows = append(r.all, p), append(r.shows, show)
	}
	var all sync.WaitGroup
	faults := make([]error, len(r.all))
	for i, p := range r.all {
		all.Go(func() { faults[i] = p.Start(patience) })
	}
	all.Wait()
	return errors.Join(faults...)
}

// line follows what a process says of the fleet.
func (r *rest) line(name, line string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case strings.Contains(line, `"msg":"fleet: the view is fresh"`):
		r.fresh[name] = true
	case strings.Contains(line, `"msg":"fleet: the view is older`):
		r.fresh[name] = false
	case strings.Contains(line, `"msg":"fleet: plan `):
		_, epoch, _ := strings.Cut(line, `"epoch":"`)
		epoch, _, _ = strings.Cut(epoch, `"`)
		if r.plans[epoch] == nil {
			r.plans[epoch] = map[string]time.Time{}
		}
		r.plans[epoch][name] = time.Now()
	}
}

func (r *rest) formed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, on := range r.fresh {
		if on {
			n++
		}
	}
	return n == len(r.all) || r.Uncoordinated
}

// change has one process settle something, and tells how long the others took to act on it.
func (r *rest) change(ctx context.Context) (half, worst float64, err error) {
	answer, err := http.PostForm("http://"+r.shows[len(r.shows)-1]+"/fleet/freeze", url.Values{"by": {"drill"}, "why": {"a change"}})
	if err != nil {
		return 0, 0, err
	}
	defer answer.Body.Close()
	line, _ := bufio.NewReader(answer.Body).ReadString('\n')
	epoch, ok := strings.CutPrefix(strings.TrimSpace(line), "YES ")
	if !ok {
		return 0, 0, fmt.Errorf("freeze: %s", line)
	}
	for end := time.Now().Add(formTime); ; wait(ctx, 10*time.Millisecond) {
		r.mu.Lock()
		var at []time.Time
		for _, t := range r.plans[epoch] {
			at = append(at, t)
		}
		r.mu.Unlock()
		if len(at) == len(r.all) {
			slices.SortFunc(at, time.Time.Compare)
			return at[len(at)/2].Sub(at[0]).Seconds(), at[len(at)-1].Sub(at[0]).Seconds(), nil
		}
		if time.Now().After(end) || ctx.Err() != nil {
			return 0, 0, fmt.Errorf("%d of %d act on the change after %v", len(at), len(r.all), formTime)
		}
	}
}

// measure reads what each process has used and sent since it began.
func (r *rest) measure() (cpu []time.Duration, sent []float64, err error) {
	for i, p := range r.all {
		c, err := used(p.Program().Cmd.Process.Pid)
		if err != nil {
			return nil, nil, err
		}
		bytes := 0.0
		if !r.Uncoordinated {
			if bytes, err = metric(r.shows[i], "dewhitch_fleet_sent_bytes_total"); err != nil {
				return nil, nil, err
			}
		}
		cpu, sent = append(cpu, c), append(sent, bytes)
	}
	return cpu, sent, nil
}

// metric reads one of a process's metrics.
func metric(at, name string) (float64, error) {
	answer, err := http.Get("http://" + at + "/metrics")
	if err != nil {
		return 0, err
	}
	defer answer.Body.Close()
	for s := bufio.NewScanner(answer.Body); s.Scan(); {
		if text, ok := strings.CutPrefix(s.Text(), name+" "); ok {
			return strconv.ParseFloat(text, 64)
		}
	}
	return 0, fmt.Errorf("%s has no metric %s", at, name)
}

const tickHz = 100 // of the system's account of processor time, on Linux

// used is the processor time of a running process, by the system's account.
func used(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, _ := strings.Cut(string(text), ") ") // the name before may hold anything
	words := strings.Fields(rest)
	if len(words) < 13 {
		return 0, fmt.Errorf("/proc/%d/stat has %d fields", pid, len(words))
	}
	ticks := 0
	for _, w := range words[11:13] {
		n, err := strconv.Atoi(w)
		if err != nil {
			return 0, err
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / tickHz, nil
}

// resident memory of a process in MB; 0 where that can't be read.
func resident(p *standin.Process) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.Program().Cmd.Process.Pid))
	words := strings.Fields(string(text))
	if err != nil || len(words) < 2 {
		return 0
	}
	pages, _ := strconv.Atoi(words[1])
	return float64(pages) * float64(os.Getpagesize()) / 1e6
}

func (r *rest) close() {
	for _, p := range r.all {
		p.Kill()
	}
	if r.discovery != nil {
		r.discovery.Close()
	}
	if r.counter != nil {
		r.counter.Close()
	}
}
