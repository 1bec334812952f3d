package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"

	dw "dewhitch"
	"dewhitch/internal/config"
	"dewhitch/internal/core"
	"dewhitch/internal/fleet/agent"
	"dewhitch/internal/fleet/evacuation"
	"dewhitch/internal/fleet/gossip"
	"dewhitch/internal/fleet/maintenance"
	"dewhitch/internal/fleet/memberregistry"
	"dewhitch/internal/fleet/slowstart"
)

// openFleet takes part in a fleet, where a file says so.
func (g *gateway) openFleet() error {
	if g.f == nil {
		return nil
	}
	own := ""
	if z := g.n.Settings.Zone; z < len(g.n.Names.Zones) {
		own = g.n.Names.Zones[z]
	}
	g.acts, g.heard = make(chan agent.Decisions, 1), make(chan struct{})
	follow := func(a agent.Decisions) {
		select {
		case <-g.acts: // older ones that were not taken yet
		default:
		}
		g.acts <- a
	}
	cold := slowstart.Config{Start: g.n.Settings.StartCapacity, Span: time.Duration(g.n.Settings.SlowStartSpan)}
	judge := evacuation.Defaults
	judge.MaxEvacuated = g.f.MaxEvacuatedZones
	a, err := agent.Open(agent.Options{Maintenance: maintenance.Defaults, OnDecisions: follow, Drain: g.state.DrainItself, Quiesced: g.quiet, Zones: judge, SlowStart: cold, Voters: g.f.Voters, Dir: g.f.Dir, Lease: g.f.Lease, Status: g.f.Status, Log: g.log,
		Gossip: gossip.Options{Fleet: g.f.Name, Name: g.n.Name, Listen: g.f.Listen, Peers: g.f.Peers, Seeds: g.f.Seeds,
			Keyring: g.f.Keyring, Metadata: gossip.Metadata{Zone: own, Region: g.f.Region, Number: g.n.Settings.Self, Version: version,
				Role: "gateway"}}})
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	g.fleet = a
	g.planner.SetWatcher(&watcher{agent: a, zones: g.n.Names.Zones})
	return nil
}

// findMembers has members find one another by the registry, where the fleet's file names one.
func (g *gateway) findMembers(ctx context.Context) error {
	r := g.f.Registry
	return memberregistry.Run(ctx, memberregistry.Options{Servers: r.Servers, Path: r.Path, Session: r.Session, Name: g.n.Name, Address: g.f.Listen,
		Log: g.log}, g.fleet.AddCandidates)
}

// quiet tells whether the gateway has sent its clients away, and answered all that it took.
func (g *gateway) quiet() bool { return g.state.Drained() && g.figures.Concurrent() == 0 }

// watcher tells the fleet's member of reqs, fetches and the list.
type watcher struct {
	agent *agent.Agent
	zones []string
}

func (w *watcher) RequestReceived() { w.agent.Tally().RequestReceived() }

func (w *watcher) EndpointsChanged(entries []dw.Endpoint) {
	var servers []slowstart.Server
	for _, e := range entries {
		if e.State == dw.Ready && e.Zone < len(w.zones) {
			servers = append(servers, slowstart.Server{ID: uint32(e.ID), Zone: w.zones[e.Zone], Since: int64(e.StartedAt) / 1e6})
		}
	}
	w.agent.EndpointsChanged(servers)
}

func (w *watcher) AttemptStarted(f core.AttemptID, server dw.ServerID, zone int) {
	if zone < len(w.zones) {
		w.agent.Tally().AttemptStarted(agent.AttemptID{Request: string(f.RequestID), Attempt: f.Number}, w.zones[zone], uint32(server))
	}
}

func (w *watcher) AttemptEnded(f core.AttemptID, e core.AttemptResult) {
	w.agent.Tally().AttemptEnded(agent.AttemptID{Request: string(f.RequestID), Attempt: f.Number}, outcomes[e.Outcome], uint32(e.Load.Queue), uint32(e.Load.Inflight))
}

// followFleet has the planner use servers as the fleet says. With an old view the last plan holds, and cold servers get nothing.
func (g *gateway) followFleet(ctx context.Context) error {
	var heard sync.Once
	for {
		select {
		case <-ctx.Done():
			return nil
		case a := <-g.acts:
			v := evacuation.Statuses{}
			if _, err := a.Plan.Section(evacuation.Section, &v); err != nil {
				g.log.Error("the fleet's verdicts can't be read: the last ones hold", zap.Error(err))
				continue
			}
			f := core.FleetPlan{Zones: uses(v, g.n.Names.Zones, g.n.Settings.Zone, g.n.Name, g.planner.Instant(time.Now())), Active: true,
				SlowStartRates: map[dw.ServerID]float64{}, InMaintenance: map[dw.ServerID]bool{}}
			for id, rate := range a.SlowStart.Rates {
				f.SlowStartRates[dw.ServerID(id)] = rate
			}
			for name := range a.Withdrawn {
				if id, ok := g.decoder.Lookup(name); ok {
					f.InMaintenance[id] = true
				}
			}
			if err := g.planner.ApplyFleetPlan(f); err != nil {
				return nil
			}
			g.fleet.Applied(a.Withdrawn)
			heard.Do(func() { close(g.heard) })
		}
	}
}

// uses is what verdicts say to one gateway. A start in its future, by a leader whose clock is ahead, is taken for now.
func uses(v evacuation.Statuses, zones []string, own int, name string, now dw.Instant) map[int]core.ZoneUse {
	from := ""
	if own < len(zones) {
		from = zones[own]
	}
	uses := map[int]core.ZoneUse{}
	for i, z := range zones {
		w, ok := v.For(from, z)
		if !ok {
			continue
		}
		since := min(now, core.FromUnixMS(w.Since))
		switch {
		case w.State == evacuation.Returning:
			uses[i] = core.ZoneUse{StartedAt: since}
		case w.State == evacuation.Probing && slices.Contains(w.Probers, name):
			uses[i] = core.ZoneUse{StartedAt: since, HealthCheck: dw.HealthCheckIdempotent}
			if w.AnyRequest {
				uses[i] = core.ZoneUse{StartedAt: since, HealthCheck: dw.HealthCheckAny}
			}
		default:
			uses[i] = core.ZoneUse{Avoid: true}
		}
	}
	return uses
}

// outcomes are the module's as the fleet counts them. What was withdrawn, or never left, shows nothing of a server.
var outcomes = [dw.OutcomeCount]agent.Outcome{dw.OutcomeOK: agent.Served, dw.OutcomeError: agent.Failed, dw.OutcomeRejected: agent.Rejected,
	dw.OutcomeTimeout: agent.TimedOut, dw.OutcomeConnectFailed: agent.ConnectFailed, dw.OutcomeReset: agent.Failed,
	dw.OutcomeCancelled: agent.NoOutcome, dw.OutcomeNotSent: agent.NoOutcome}

// fleetCmd speaks to a member through its operators' listener.
type fleetCmd struct {
	At string `help:"The operators' listener of any member, host:port; operator.listen of the operators' file if none is named."`

	Status fleetStatus `cmd:"" help:"Print the members, the leader and the plan."`
	Freeze fleetFreeze `cmd:"" help:"Have the fleet settle nothing of itself, until thaw."`
	Thaw   fleetThaw   `cmd:"" help:"End a freeze."`
	Zones  fleetZones  `cmd:"" help:"Print what is settled of zones."`
	Leave  fleetLeave  `cmd:"" help:"Have all gateways leave a zone's servers."`
	Return fleetReturn `cmd:"" help:"Have all gateways return to a zone's servers."`
	Work   workCmd     `cmd:"" help:"Machines out for work, in an order that the fleet settles."`
}

const callTime = 15 * time.Second

// call asks a member and gives its answer.
func (c *fleetCmd) call(method, path string, form url.Values) ([]byte, error) {
	at := c.At
	if at == "" {
		o, err := config.LoadOperations(cli.Operations)
		if err != nil {
			return nil, err
		}
		if at = o.Operator.Listen; at == "" {
			return nil, fmt.Errorf("no --at, and operator.listen of %s is empty", cli.Operations)
		}
	}
	ctx, stop := context.WithTimeout(context.Background(), callTime)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+at+path, strings.NewReader(form.Encode()))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return nil, err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(io.LimitReader(answer.Body, 16<<20))
	if err == nil && answer.StatusCode != http.StatusOK {
		err = fmt.Errorf("%s: %s", at, strings.TrimSpace(string(text)))
	}
	return text, err
}

// read reads a page of a member into v; or, raw, prints it as it came, and all is done.
func (c *fleetCmd) read(page string, raw bool, v any) (done bool, err error) {
	text, err := c.call(http.MethodGet, page, nil)
	if err != nil {
		return false, err
	}
	if raw {
		_, err = os.Stdout.Write(text)
		return true, err
	}
	return false, json.Unmarshal(text, v)
}

type fleetStatus struct {
	JSON bool `help:"As JSON."`
}

func (s fleetStatus) Run() error {
	var v agent.Status
	if done, err := cli.Members.read("/fleet", s.JSON, &v); done || err != nil {
		return err
	}
	quorum := "fresh: a leader with a quorum said so within the lease"
	if !v.Quorum {
		quorum = "OLD: nothing is settled, the last plan holds"
	}
	fmt.Printf("fleet %s, as %s sees it; plan %v, %s; leader %s, heard %d ms ago; folder: %s\n", v.Fleet, v.Name, v.Epoch, quorum, v.Leader,
		v.LeaderAge, v.Folder)
	if v.Frozen != nil {
		fmt.Printf("frozen by %s since %s: %s\n", v.Frozen.By, time.UnixMilli(v.Frozen.At).Format(time.RFC3339), v.Frozen.Reason)
	}
	if len(v.Unacknowledged) > 0 {
		fmt.Println("have not acknowledged the plan:", strings.Join(v.Unacknowledged, ", "))
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "member\tzone\tstate\tvotes\tacts on\tfresh\tlast report\tbegan")
	for _, m := range v.Members {
		age, began := "none", ""
		if m.Age >= 0 {
			age = fmt.Sprint(m.Age, " ms ago")
			began = time.Unix(0, m.Incarnation).Format(time.RFC3339)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%v\t%v\t%v\t%s\t%s\n", m.Name, m.Zone, m.State, m.Voter, m.Epoch, m.Fresh, age, began)
	}
	return t.Flush()
}

// fleetSaid is who asks, and why.
type fleetSaid struct {
	Why string `required:"" help:"Why; it goes into the plan and the logs."`
	By  string `help:"Who asks (the user's name)."`
}

func (s fleetSaid) settle(verb string, form url.Values) error {
	if s.By == "" {
		u, err := user.Current()
		if err != nil {
			return fmt.Errorf("--by: %w", err)
		}
		s.By = u.Username
	}
	if form == nil {
		form = url.Values{}
	}
	form.Set("by", s.By)
	form.Set("why", s.Why)
	text, err := cli.Members.call(http.MethodPost, "/fleet/"+verb, form)
	if err == nil {
		os.Stdout.Write(text)
	}
	return err
}

type fleetFreeze struct{ fleetSaid }

func (s fleetFreeze) Run() error { return s.settle("freeze", nil) }

type fleetThaw struct{ fleetSaid }

func (s fleetThaw) Run() error { return s.settle("thaw", nil) }

type fleetZones struct {
	JSON bool `help:"As JSON."`
}

func (z fleetZones) Run() error {
	v := evacuation.Statuses{}
	if done, err := cli.Members.read("/fleet/zones", z.JSON, &v); done || err != nil {
		return err
	}
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "zone\tstate\tsince\tfailed returns\tprobers\tby\twhy")
	for _, key := range slices.Sorted(maps.Keys(v)) {
		w := v[key]
		state, by := string(w.State), w.By
		if w.Hold {
			state = "in, held"
		}
		if by == "" {
			by = "the fleet"
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", key, state, time.UnixMilli(w.Since).Format(time.RFC3339), w.FailedProbes,
			strings.Join(w.Probers, " "), by, w.Reason)
	}
	return t.Flush()
}

type fleetLeave struct {
	Zone string `arg:"" help:"The zone, by its full name."`
	fleetSaid
	For time.Duration `help:"How long to stay away; without, until return."`
}

func (l fleetLeave) Run() error {
	return l.settle("leave", url.Values{"zone": {l.Zone}, "for_ms": {fmt.Sprint(l.For.Milliseconds())}})
}

type fleetReturn struct {
	Zone string `arg:"" help:"The zone, by its full name."`
	fleetSaid
	Hold bool `help:"The fleet does not leave it of itself, until it is returned to without."`
}

func (r fleetReturn) Run() error {
	return r.settle("return", url.Values{"zone": {r.Zone}, "hold": {fmt.Sprint(r.Hold)}})
}
