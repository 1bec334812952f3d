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
	workPollInterval    = 150 * time.Millisecond // interval of polling the schedule
	schedulePageTimeout = 500 * time.Millisecond // timeout of reading the schedule from one gateway
	freeMargin          = 400 * time.Millisecond // time before and after a free server's restart in which no command may arrive
)

// MachineMaintenance is the completed maintenance of one machine. Times are in seconds since the start of the load.
type MachineMaintenance struct {
	Machine    string  `json:"server"`
	FreeAt     float64 `json:"free"` // time at which the drill saw that the machine is free
	ReturnedAt float64 `json:"back"` // time at which the drill returned the machine
}

// WorkResult summarizes the maintenance during a drill.
type WorkResult struct {
	Requested     int                  `json:"asked"` // number of machines that maintenance was requested for
	Completed     []MachineMaintenance `json:"turns"`
	MaxConcurrent int                  `json:"most_out"`     // highest number of machines in maintenance at once
	Duration      float64              `json:"over_after_s"` // seconds from the first machine's free time to the last one's return
}

// scheduleView is the part of the schedule on the operators' page that the drill reads.
type scheduleView struct {
	Requests []struct {
		ID       uint64                         `json:"id"`
		Key      string                         `json:"key"`
		State    string                         `json:"state"`
		Machines []struct{ Name, State string } `json:"machines"`
	} `json:"requests"`
}

// id returns the server's identity in discovery's list.
func (s *server) id() string { return fmt.Sprintf("s-%08x", s.index+1) }

// scheduleWork requests maintenance of machines at a gateway, and restarts each machine as it becomes free. It works in the
// background. Without the fleet view the maintenance is done as an operator would do it manually.
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
	machineNames := map[string]string{} // names of the machines in the drill, by their names in the fleet
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

// followRequest starts the maintenance of each machine of a request that becomes free, until the request has ended for all of
// them.
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

// maintainMachine restarts a free machine and reports the maintenance as done to the first gateway that accepts the command. It
// repeats the command until one does, or the drill's time is over.
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

// recordMaintenance records the completed maintenance of a machine.
func (c *cluster) recordMaintenance(machine string, freeAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.maintained = append(c.maintained, MachineMaintenance{machine, freeAt.Sub(c.startedAt).Seconds(), time.Since(c.startedAt).Seconds()})
}

// restartServer restarts a free server. A command that arrives at it between freeAt and the end of the restart is a violation.
func (c *cluster) restartServer(s *server, freeAt time.Time, workTime time.Duration) {
	c.checker.setFree(s.name, freeAt, true)
	time.Sleep(freeMargin)
	s.stop()
	time.Sleep(workTime - 2*freeMargin)
	s.recover()
	time.Sleep(freeMargin)
	c.checker.setFree(s.name, time.Now(), false)
}

// restartGateway restarts a gateway gracefully. It returns true if the process serves again, and false if it was not running, the
// drill's time is over, or the restart failed.
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

// freeMachines returns the ID of a request, the machines of it that any gateway lists as free, and the highest number that one
// gateway lists as done or cancelled. Gateways that do not answer are skipped.
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

// workResult summarizes the maintenance so far. It returns nil if none was requested.
func (c *cluster) workResult() *WorkResult {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.workRequested == 0 {
		return nil
	}
	result := &WorkResult{Requested: c.workRequested, Completed: slices.Clone(c.maintained)}
	first, last := -1.0, 0.0
	for _, machine := range result.Completed {
		if first < 0 || machine.FreeAt < first {
			first = machine.FreeAt
		}
		last = max(last, machine.ReturnedAt)
		concurrent := 0
		for _, other := range result.Completed {
			if other.FreeAt <= machine.FreeAt && other.ReturnedAt > machine.FreeAt {
				concurrent++
			}
		}
		result.MaxConcurrent = max(result.MaxConcurrent, concurrent)
	}
	result.Duration = last - max(0, first)
	return result
}
