package drill

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Parameters of maintenance.
const (
	workPollInterval    = 150 * time.Millisecond // of the schedule
	schedulePageTimeout = 500 * time.Millisecond // of one gateway's page
	freeMargin          = 400 * time.Millisecond // for which a free server is watched before its restart, and after: no command may arrive
)

// Turn is the maintenance of one machine. Times are in seconds since the load began.
type Turn struct {
	Server     string  `json:"server"`
	FreeAt     float64 `json:"free"` // when the drill saw that it is free
	ReturnedAt float64 `json:"back"` // when the drill returned it
}

// WorkResult is the maintenance of a drill.
type WorkResult struct {
	Asked   int     `json:"asked"` // machines that maintenance was requested for
	Turns   []Turn  `json:"turns"`
	MostOut int     `json:"most_out"`     // machines at once
	Over    float64 `json:"over_after_s"` // from the first turn to the end of the last
}

// scheduleView is what the operators' page shows of the schedule.
type scheduleView struct {
	Requests []struct {
		ID       uint64                         `json:"id"`
		Key      string                         `json:"key"`
		State    string                         `json:"state"`
		Machines []struct{ Name, State string } `json:"machines"`
	} `json:"requests"`
}

// id is the server's name in discovery's list.
func (s *server) id() string { return fmt.Sprintf("s-%08x", s.index+1) }

// scheduleWork requests maintenance of machines at a gateway, and works on each machine as it becomes free. Without the fleet view it
// is done manually.
func (cl *cluster) scheduleWork(at []string, machines []string, kind string, workTime time.Duration) {
	if len(at) == 0 {
		return
	}
	cl.mu.Lock()
	cl.workRequested += len(machines)
	cl.mu.Unlock()
	if !cl.coordinated() {
		cl.background.Go(func() { cl.workManually(machines, workTime) })
		return
	}
	key := at[0] + " " + strings.Join(machines, " ")
	form := url.Values{"by": {"drill"}, "why": {key}, "key": {key}, "kind": {kind}, "for_ms": {"600000"}}
	names := map[string]string{} // the drill's, by the fleet's
	for _, name := range machines {
		fleetName := name
		if s := cl.server(name); s != nil {
			fleetName = s.id()
		}
		names[fleetName] = name
		form.Add("machine", fleetName)
	}
	g := cl.gateway(at[0])
	cl.background.Go(func() {
		for cl.command(g, "work-request", form) != nil && !cl.lengthOver() {
			time.Sleep(workPollInterval)
		}
		cl.followRequest(key, names, workTime)
	})
}

// followRequest begins the turn of each machine that becomes free, until all have ended.
func (cl *cluster) followRequest(key string, names map[string]string, workTime time.Duration) {
	started := map[string]bool{}
	ended := 0
	for !cl.lengthOver() && ended < len(names) {
		time.Sleep(workPollInterval)
		var id uint64
		var free []string
		id, free, ended = cl.freeMachines(key)
		for _, fleetName := range free {
			if started[fleetName] || names[fleetName] == "" {
				continue
			}
			started[fleetName] = true
			cl.background.Go(func() { cl.runTurn(names[fleetName], fleetName, id, workTime) })
		}
	}
}

// runTurn restarts a free machine and completes its turn at any gateway that accepts the command.
func (cl *cluster) runTurn(machine, fleetName string, id uint64, workTime time.Duration) {
	freeAt := time.Now()
	cl.record("%s is free", machine)
	if s := cl.server(machine); s != nil {
		cl.restartServer(s, freeAt, workTime)
	} else if g := cl.gateway(machine); !cl.restartGateway(g, workTime) {
		return
	}
	form := url.Values{"by": {"drill"}, "why": {"done"}, "id": {strconv.FormatUint(id, 10)}, "machine": {fleetName}}
	for !cl.lengthOver() {
		for _, g := range cl.gateways {
			if cl.command(g, "work-done", form) == nil {
				cl.recordTurn(machine, freeAt)
				cl.record("%s is given back", machine)
				return
			}
		}
		time.Sleep(workPollInterval)
	}
}

// recordTurn records a turn that has ended.
func (cl *cluster) recordTurn(machine string, freeAt time.Time) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.turns = append(cl.turns, Turn{machine, freeAt.Sub(cl.startedAt).Seconds(), time.Since(cl.startedAt).Seconds()})
}

// restartServer restarts a free server. A command that arrives there meanwhile is a violation.
func (cl *cluster) restartServer(s *server, freeAt time.Time, workTime time.Duration) {
	cl.checker.setFree(s.name, freeAt, true)
	time.Sleep(freeMargin)
	s.stop()
	time.Sleep(workTime - 2*freeMargin)
	s.recover()
	time.Sleep(freeMargin)
	cl.checker.setFree(s.name, time.Now(), false)
}

// restartGateway restarts a gateway gracefully. It returns false if the process was not running, the drill's time is over, or the restart
// failed.
func (cl *cluster) restartGateway(g *gateway, workTime time.Duration) bool {
	p := g.Program()
	if p == nil || p.Ended() || cl.lengthOver() {
		return false
	}
	g.expectStop(true)
	g.inRotation.Store(false)
	p.Cmd.Process.Signal(syscall.SIGTERM)
	if err := g.Process.AwaitExit(processTimeout); err != nil {
		cl.checker.report(time.Now(), ruleEnded, "%v", err)
		return false
	}
	g.addCPU()
	time.Sleep(workTime)
	if err := g.Start(processTimeout); err != nil {
		cl.checker.report(time.Now(), ruleEnded, "%v", err)
		return false
	}
	g.expectStop(false)
	return true
}

// freeMachines returns the machines of a request that any gateway shows as free, and the highest number that one shows as ended.
func (cl *cluster) freeMachines(key string) (id uint64, free []string, ended int) {
	client := http.Client{Timeout: schedulePageTimeout}
	for _, g := range cl.gateways {
		answer, err := client.Get("http://" + g.operatorAddress + "/fleet/work")
		if err != nil {
			continue
		}
		var schedule scheduleView
		err = json.NewDecoder(answer.Body).Decode(&schedule)
		answer.Body.Close()
		if err != nil {
			continue
		}
		for _, r := range schedule.Requests {
			if r.Key != key {
				continue
			}
			n := 0
			for _, m := range r.Machines {
				switch m.State {
				case "free":
					free = append(free, m.Name)
				case "done", "cancelled":
					n++
				}
			}
			id = r.ID
			ended = max(ended, n)
		}
	}
	return id, free, ended
}

// workResult is the maintenance so far; nil: none was requested.
func (cl *cluster) workResult() *WorkResult {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.workRequested == 0 {
		return nil
	}
	r := &WorkResult{Asked: cl.workRequested, Turns: slices.Clone(cl.turns)}
	first, last := -1.0, 0.0
	for _, t := range r.Turns {
		if first < 0 || t.FreeAt < first {
			first = t.FreeAt
		}
		last = max(last, t.ReturnedAt)
		out := 0
		for _, o := range r.Turns {
			if o.FreeAt <= t.FreeAt && o.ReturnedAt > t.FreeAt {
				out++
			}
		}
		r.MostOut = max(r.MostOut, out)
	}
	r.Over = last - max(0, first)
	return r
}
