package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	dw "dewhitch"
	"dewhitch/internal/config"
	"dewhitch/internal/core"
	"dewhitch/internal/fleet/agent"
	"dewhitch/internal/fleet/gossip"
)

// openFleet takes part in a fleet, where a file says so.
func (g *gateway) openFleet() error {
	if g.f == nil {
		return nil
	}
	zone := ""
	if z := g.n.Settings.Zone; z < len(g.n.Words.Zones) {
		zone = g.n.Words.Zones[z]
	}
	a, err := agent.Open(agent.Options{Voters: g.f.Voters, Dir: g.f.Dir, Lease: g.f.Lease, Status: g.f.Status, Log: g.log,
		Gossip: gossip.Options{Fleet: g.f.Name, Name: g.n.Name, Listen: g.f.Listen, Peers: g.f.Peers, Seeds: g.f.Seeds,
			Keyring: g.f.Keyring, About: gossip.About{Zone: zone, Region: g.f.Region, Number: g.n.Settings.Self, Version: version,
				Role: "gateway"}}})
	if err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	g.fleet = a
	zones, tally := g.n.Words.Zones, a.Tally()
	g.planner.OnTried(func(t core.Tried) {
		if t.Zone < len(zones) {
			tally.Tried(zones[t.Zone], uint32(t.Server), outcomes[t.Outcome], uint64(t.Took.Microseconds()), uint32(t.Load.Queue),
				uint32(t.Load.Inflight))
		}
	})
	return nil
}

// outcomes are the module's as the fleet counts them. What was withdrawn, or never left, shows nothing of a server.
var outcomes = [dw.Outcomes]agent.Outcome{dw.OutcomeOK: agent.Served, dw.OutcomeError: agent.Failed, dw.OutcomeRejected: agent.Turned,
	dw.OutcomeTimeout: agent.Silent, dw.OutcomeConnectFailed: agent.Refused, dw.OutcomeReset: agent.Failed,
	dw.OutcomeCancelled: agent.Nothing, dw.OutcomeNotSent: agent.Nothing}

// fleetCmd speaks to a member through its operators' listener.
type fleetCmd struct {
	At string `help:"The operators' listener of any member, host:port; operator.listen of the operators' file if none is named."`

	Status fleetStatus `cmd:"" help:"Print the members, the leader and the plan."`
	Freeze fleetFreeze `cmd:"" help:"Have the fleet settle nothing of itself, until thaw."`
	Thaw   fleetThaw   `cmd:"" help:"End a freeze."`
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

type fleetStatus struct {
	JSON bool `help:"As JSON."`
}

func (s fleetStatus) Run() error {
	text, err := cli.Members.call(http.MethodGet, "/fleet", nil)
	if err != nil {
		return err
	}
	if s.JSON {
		_, err = os.Stdout.Write(text)
		return err
	}
	var v agent.Status
	if err := json.Unmarshal(text, &v); err != nil {
		return err
	}
	quorum := "fresh: a leader with a quorum said so within the lease"
	if !v.Quorum {
		quorum = "OLD: nothing is settled, the last plan holds"
	}
	fmt.Printf("fleet %s, as %s sees it; plan %v, %s; leader %s, heard %d ms ago; folder: %s\n", v.Fleet, v.Name, v.Epoch, quorum, v.Leader,
		v.LeaderAge, v.Folder)
	if v.Frozen != nil {
		fmt.Printf("frozen by %s since %s: %s\n", v.Frozen.By, time.UnixMilli(v.Frozen.At).Format(time.RFC3339), v.Frozen.Why)
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

func (s fleetSaid) settle(verb string) error {
	if s.By == "" {
		u, err := user.Current()
		if err != nil {
			return fmt.Errorf("--by: %w", err)
		}
		s.By = u.Username
	}
	text, err := cli.Members.call(http.MethodPost, "/fleet/"+verb, url.Values{"by": {s.By}, "why": {s.Why}})
	if err == nil {
		os.Stdout.Write(text)
	}
	return err
}

type fleetFreeze struct{ fleetSaid }

func (s fleetFreeze) Run() error { return s.settle("freeze") }

type fleetThaw struct{ fleetSaid }

func (s fleetThaw) Run() error { return s.settle("thaw") }
