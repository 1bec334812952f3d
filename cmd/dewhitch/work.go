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

// workCmd is about machines out for work.
type workCmd struct {
	Request workRequest `cmd:"" help:"Ask for machines; the fleet says when each is free."`
	Plan    workPlan    `cmd:"" help:"Simulate a request by the order's own code: the turns, how long it takes, the least to spare. Nothing is asked for."`
	List    workList    `cmd:"" help:"Print the requests, what each machine waits for, and which are free."`
	Done    workDone    `cmd:"" help:"Say that the work on machines is done."`
	Cancel  workOf      `cmd:"" help:"Cancel what of a request has not begun."`
	Hold    workOf      `cmd:"" help:"Begin no further turn of a request, until resume."`
	Resume  workOf      `cmd:"" help:"Go on with a request that is held."`
	Gone    workGone    `cmd:"" help:"Say that gateways are over for good, which the fleet waits for."`
}

type workRequest struct {
	fleetSaid
	Machines  []string      `required:"" help:"Servers by their ids, s- and eight hex digits, separated by commas."`
	Kind      string        `required:"" enum:"restart,replace,off" help:"restart: it comes back; replace, off: not under this id."`
	For       time.Duration `required:"" help:"How long a machine may be free, at most."`
	NotBefore time.Time     `help:"RFC 3339."`
	After     uint64        `help:"A request that has to have ended."`
	Key       string        `help:"The same key again is the same request; by default who asks, why and the machines."`
}

func (r workRequest) Run() error {
	form := url.Values{"machine": r.Machines, "kind": {r.Kind}, "for_ms": {fmt.Sprint(r.For.Milliseconds())}, "after": {fmt.Sprint(r.After)}}
	if !r.NotBefore.IsZero() {
		form.Set("not_before", fmt.Sprint(r.NotBefore.UnixMilli()))
	}
	if form.Set("key", r.Key); r.Key == "" {
		form.Set("key", strings.Join(append([]string{r.By, r.Why, r.Kind}, r.Machines...), " "))
	}
	return r.settle("work-request", form)
}

// workPlan simulates a request on the servers that a member has listed.
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
	if _, err := cli.Members.read("/fleet/servers", false, &servers); err != nil {
		return err
	}
	if len(p.Machines) == 0 {
		p.Machines = slices.Sorted(maps.Keys(servers))
	}
	cfg := maintenance.Defaults
	cfg.SlowStart = p.Cold
	a, err := maintenance.Simulate(cfg, servers, maintenance.Command{By: "plan", Reason: "plan", Key: "plan", Kind: maintenance.Restart, ForMS: p.For.Milliseconds(),
		Machines: p.Machines}, p.Load, p.Start)
	if err != nil {
		return err
	}
	if p.JSON {
		return json.NewEncoder(os.Stdout).Encode(a)
	}
	for _, t := range a.Turns {
		fmt.Printf("%s  free after %v, proven after %v\n", t.Name, t.Free, t.Done)
	}
	for _, s := range a.Stuck {
		fmt.Println("never:", s)
	}
	fmt.Printf("over after %v; %d out at once at most; %.2f of what all servers can do is left at the least\n", a.Elapsed, a.MaxOut, a.Spare)
	return nil
}

type workDone struct {
	fleetSaid
	ID       uint64   `arg:"" help:"The request."`
	Machines []string `arg:"" optional:"" help:"Of it; without, all that are free."`
}

func (d workDone) Run() error {
	return d.settle("work-done", url.Values{"id": {fmt.Sprint(d.ID)}, "machine": d.Machines})
}

// workOf is a call about a whole request; which one, its place in the command line tells.
type workOf struct {
	fleetSaid
	ID uint64 `arg:"" help:"The request."`
}

func (o workOf) Run(k *kong.Context) error {
	return o.settle("work-"+k.Selected().Name, url.Values{"id": {fmt.Sprint(o.ID)}})
}

type workGone struct {
	fleetSaid
	Names []string `arg:"" help:"Gateways by name."`
}

func (g workGone) Run() error { return g.settle("work-gone", url.Values{"machine": g.Names}) }

type workList struct {
	JSON bool `help:"As JSON."`
}

func (l workList) Run() error {
	var b maintenance.Schedule
	if done, err := cli.Members.read("/fleet/work", l.JSON, &b); done || err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "request\tmachine\tstate\tsince\tuntil\tby\tnote")
	for _, r := range b.Requests {
		fmt.Fprintf(t, "%d\t%s, %s\t%s\t%s\t\t%s\t%s\n", r.ID, r.Kind, r.Reason, r.State, at(r.RequestedAt), r.By, r.Note)
		for _, m := range r.Machines {
			fmt.Fprintf(t, "\t%s\t%s\t%s\t%s\t\t%s\n", m.Name, m.State, at(m.Since), at(m.Until), m.Note)
		}
	}
	return t.Flush()
}

func at(ms int64) string {
	if ms == 0 {
		return ""
	}
	return time.UnixMilli(ms).Format(time.RFC3339)
}
