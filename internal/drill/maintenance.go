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

// MachineMaintenance is the maintenance of one machine. Times are in seconds since the load began.
type MachineMaintenance struct {
	Machine    string  `json:"server"`
	FreeAt     float64 `json:"free"` // when the drill saw that it is free
	ReturnedAt float64 `json:"back"` // when the drill returned it
}

// WorkResult is the maintenance of a drill.
type WorkResult struct {
	Requested     int                  `json:"asked"` // machines that maintenance was requested for
	Completed     []MachineMaintenance `json:"turns"`
	MaxConcurrent int                  `json:"most_out"`     // machines at once
	Duration      float64              `json:"over_after_s"` // from the first turn to the end of the last
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
func (c *cluster) scheduleWork(at []string, machines []string, kind string, workTime time.Duration) {
	if len(at) == 0 {
		return
	}
	c.mu.Lock()
	c.workRequested += len(machines)
	c.mu.Unlock()
	if !c.coordinated() {
		c.background.Go(func() { c.workManually(machines, workTime) })
		return
	}
	key := at[0] + " " + strings.Join(machines, " ")
	form := url.Values{"by": {"drill"}, "why": {key}, "key": {key}, "kind": {kind}, "for_ms": {"600000"}}
	machineNames := map[string]string{} // the drill's, by the fleet's
	for _, name := range machines {
		fleetName := name
		if s := c.server(name); s != nil {
			fleetName = s.id()
		}
		machineNames[fleetName] = name
		form.Add("machine", fleetName)
	}
	g := c.gateway(at[0])
	c.background.Go(func() {
		for c.command(g, "work-request", form) != nil && !c.lengthOver() {
			time.Sleep(workPollInterval)
		}
		c.followRequest(key, machineNames, workTime)
	})
}

// followRequest begins the turn of each machine that becomes free, until all have ended.
func (c *cluster) followRequest(key string, machineNames map[string]string, workTime time.Duration) {
	started := map[string]bool{}
	ended := 0
	for !c.lengthOver() && ended < len(machineNames) {
		time.Sleep(workPollInterval)
		var id uint64
		var free []string
		id, free, ended = c.freeMachines(key)
		for _, fleetName := range free {
			if started[fleetName] || machineNames[fleetName] == "" {
				continue
			}
			started[fleetName] = true
			c.background.Go(func() { c.maintainMachine(machineNames[fleetName], fleetName, id, workTime) })
		}
	}
}

// maintainMachine restarts a free machine and completes its turn at any gateway that accepts the command.
func (c *cluster) maintainMachine(machine, fleetName string, id uint64, workTime time.Duration) {
	freeAt := time.Now()
	c.record("%s is free", machine)
	if s := c.server(machine); s != nil {
		c.restartServer(s, freeAt, workTime)
	} else if g := c.gateway(machine); !c.restartGateway(g, workTime) {
		return
	}
	form := url.Values{"by": {"drill"}, "why": {"done"}, "id": {strconv.FormatUint(id, 10)}, "machine": {fleetName}}
	for !c.lengthOver() {
		for _, g := range c.gateways {
			if c.command(g, "work-done", form) == nil {
				c.recordMaintenance(machine, freeAt)
				c.record("%s is given back", machine)
				return
			}
		}
		time.Sleep(workPollInterval)
	}
}

// recordMaintenance records a turn that has ended.
func (c *cluster) recordMaintenance(machine string, freeAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maintained = append(c.maintained, MachineMaintenance{machine, freeAt.Sub(c.startedAt).Seconds(), time.Since(c.startedAt).Seconds()})
}

// restartServer restarts a free server. A command that arrives there meanwhile is a violation.
func (c *cluster) restartServer(s *server, freeAt time.Time, workTime time.Duration) {
	c.checker.setFree(s.name, freeAt, true)
	time.Sleep(freeMargin)
	s.stop()
	time.Sleep(workTime - 2*freeMargin)
	s.recover()
	time.Sleep(freeMargin)
	c.checker.setFree(s.name, time.Now(), false)
}

// restartGateway restarts a gateway gracefully. It returns false if the process was not running, the drill's time is over, or the restart
// failed.
func (c *cluster) restartGateway(g *gateway, workTime time.Duration) bool {
	p := g.Program()
	if p == nil || p.Ended() || c.lengthOver() {
		return false
	}
	g.expectStop(true)
	g.inRotation.Store(false)
	p.Cmd.Process.Signal(syscall.SIGTERM)
	if err := g.Process.AwaitExit(processTimeout); err != nil {
		c.checker.report(time.Now(), ruleUnexpectedExit, "%v", err)
		return false
	}
	g.addCPU()
	time.Sleep(workTime)
	if err := g.Start(processTimeout); err != nil {
		c.checker.report(time.Now(), ruleUnexpectedExit, "%v", err)
		return false
	}
	g.expectStop(false)
	return true
}

// freeMachines returns the machines of a request that any gateway shows as free, and the highest number that one shows as ended.
func (c *cluster) freeMachines(key string) (id uint64, free []string, ended int) {
	client := http.Client{Timeout: schedulePageTimeout}
	for _, g := range c.gateways {
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
			finished := 0
			for _, m := range r.Machines {
				switch m.State {
				case "free":
					free = append(free, m.Name)
				case "done", "cancelled":
					finished++
				}
			}
			id = r.ID
			ended = max(ended, finished)
		}
	}
	return id, free, ended
}

// workResult is the maintenance so far; nil: none was requested.
func (c *cluster) workResult() *WorkResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.workRequested == 0 {
		return nil
	}
	r := &WorkResult{Requested: c.workRequested, Completed: slices.Clone(c.maintained)}
	first, last := -1.0, 0.0
	for _, machine := range r.Completed {
		if first < 0 || machine.FreeAt < first {
			first = machine.FreeAt
		}
		last = max(last, machine.ReturnedAt)
		concurrent := 0
		for _, other := range r.Completed {
			if other.FreeAt <= machine.FreeAt && other.ReturnedAt > machine.FreeAt {
				concurrent++
			}
		}
		r.MaxConcurrent = max(r.MaxConcurrent, concurrent)
	}
	r.Duration = last - max(0, first)
	return r
}
