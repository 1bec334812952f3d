package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/url"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kong"

	"dewhitch/internal/fleet/maintenance"
)

// workCmd schedules machines for maintenance. kong names the commands and flags by the fields.
type workCmd struct {
	Request workRequest   `cmd:"" help:"Ask for machines; the fleet says when each is free."`
	Plan    workPlan      `cmd:"" help:"Simulate a request by the order's own code: the turns, how long it takes, the least to spare. Nothing is asked for."`
	List    workList      `cmd:"" help:"Print the requests, what each machine waits for, and which are free."`
	Done    workDone      `cmd:"" help:"Say that the work on machines is done."`
	Cancel  workOnRequest `cmd:"" help:"Cancel what of a request has not begun."`
	Hold    workOnRequest `cmd:"" help:"Begin no further turn of a request, until resume."`
	Resume  workOnRequest `cmd:"" help:"Go on with a request that is held."`
	Gone    workGone      `cmd:"" help:"Say that gateways are over for good, which the fleet waits for."`
}

// workRequest requests machines for maintenance.
type workRequest struct {
	operatorReason
	Machines  []string      `required:"" help:"Servers by their ids, s- and eight hex digits, separated by commas."`
	Kind      string        `required:"" enum:"restart,replace,off" help:"restart: it comes back; replace, off: not under this id."`
	For       time.Duration `required:"" help:"How long a machine may be free, at most."`
	NotBefore time.Time     `help:"RFC 3339."`
	After     uint64        `help:"A request that has to have ended."`
	Key       string        `help:"The same key again is the same request; by default who asks, why and the machines."`
}

func (r workRequest) Run() error {
	form := url.Values{
		"machine": r.Machines,
		"kind":    {r.Kind},
		"for_ms":  {fmt.Sprint(r.For.Milliseconds())},
		"after":   {fmt.Sprint(r.After)},
		"key":     {r.idempotencyKey()},
	}
	if !r.NotBefore.IsZero() {
		form.Set("not_before", fmt.Sprint(r.NotBefore.UnixMilli()))
	}
	return r.post("work-request", form)
}

// idempotencyKey returns the key of the flag or, without it, one made of the flag for the operator, the reason, the kind and the
// machines.
func (r workRequest) idempotencyKey() string {
	if r.Key != "" {
		return r.Key
	}
	return strings.Join(append([]string{r.By, r.Why, r.Kind}, r.Machines...), " ")
}

// workPlan simulates a maintenance request on the servers in the endpoint list of a member.
type workPlan struct {
	Machines []string      `help:"Servers by their ids; all that are listed if none are named."`
	For      time.Duration `required:"" help:"How long each machine is worked on."`
	Load     float64       `required:"" help:"Of what all servers can do, 0 to 1."`
	Cold     time.Duration `default:"13s" help:"Until a server that began is warm (${default})."`
	Start    float64       `default:"0.22" help:"The share of its capacity that it begins with (${default})."`
	JSON     bool          `help:"As JSON."`
}

func (p workPlan) Run() error {
	servers := map[string]maintenance.Server{}
	if _, err := cli.Members.readPage("/fleet/servers", false, &servers); err != nil {
		return err
	}
	if len(p.Machines) == 0 {
		p.Machines = slices.Sorted(maps.Keys(servers))
	}
	cfg := maintenance.Defaults
	cfg.SlowStart = p.Cold
	request := maintenance.Command{
		By:       "plan",
		Reason:   "plan",
		Key:      "plan",
		Kind:     maintenance.Restart,
		ForMS:    p.For.Milliseconds(),
		Machines: p.Machines,
	}
	forecast, err := maintenance.Simulate(cfg, servers, request, p.Load, p.Start)
	if err != nil {
		return err
	}
	if p.JSON {
		return json.NewEncoder(os.Stdout).Encode(forecast)
	}
	printForecast(forecast)
	return nil
}

func printForecast(f maintenance.Forecast) {
	for _, step := range f.Steps {
		fmt.Printf("%s  free after %v, proven after %v\n", step.Name, step.Free, step.Done)
	}
	for _, machine := range f.Stuck {
		fmt.Println("never:", machine)
	}
	fmt.Printf("over after %v; %d out at once at most; %.2f of what all servers can do is left at the least\n", f.Elapsed, f.MaxOut, f.Spare)
}

// workDone reports that the work on machines is done.
type workDone struct {
	operatorReason
	ID       uint64   `arg:"" help:"The request."`
	Machines []string `arg:"" optional:"" help:"Of it; without, all that are free."`
}

func (d workDone) Run() error {
	return d.post("work-done", url.Values{"id": {fmt.Sprint(d.ID)}, "machine": d.Machines})
}

// workOnRequest cancels, holds or resumes a whole request, depending on the name of the command on the command line.
type workOnRequest struct {
	operatorReason
	ID uint64 `arg:"" help:"The request."`
}

func (o workOnRequest) Run(k *kong.Context) error {
	return o.post("work-"+k.Selected().Name, url.Values{"id": {fmt.Sprint(o.ID)}})
}

// workGone reports gateways that will not return, so that the fleet does not wait for them.
type workGone struct {
	operatorReason
	Names []string `arg:"" help:"Gateways by name."`
}

func (g workGone) Run() error { return g.post("work-gone", url.Values{"machine": g.Names}) }

// workList prints the maintenance requests and their machines.
type workList struct {
	JSON bool `help:"As JSON."`
}

func (l workList) Run() error {
	var schedule maintenance.Schedule
	if printed, err := cli.Members.readPage("/fleet/work", l.JSON, &schedule); printed || err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "request\tmachine\tstate\tsince\tuntil\tby\tnote")
	for _, r := range schedule.Requests {
		fmt.Fprintf(table, "%d\t%s, %s\t%s\t%s\t\t%s\t%s\n", r.ID, r.Kind, r.Reason, r.State, formatTime(r.RequestedAt), r.By, r.Note)
		for _, m := range r.Machines {
			fmt.Fprintf(table, "\t%s\t%s\t%s\t%s\t\t%s\n", m.Name, m.State, formatTime(m.Since), formatTime(m.Until), m.Note)
		}
	}
	return table.Flush()
}

// formatTime formats a time in Unix milliseconds. It returns "" for 0.
func formatTime(unixMS int64) string {
	if unixMS == 0 {
		return ""
	}
	return time.UnixMilli(unixMS).Format(time.RFC3339)
}
