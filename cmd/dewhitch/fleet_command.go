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
	"text/tabwriter"
	"time"

	"dewhitch/internal/config"
	"dewhitch/internal/fleet/agent"
	"dewhitch/internal/fleet/evacuation"
)

// fleetCmd calls a member of a fleet through its operators' listener. kong names the commands and flags by the fields.
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

// Limits of a call to a member.
const (
	callTimeout   = 15 * time.Second
	maxAnswerSize = 16 << 20 // maximum size of an answer, in bytes
)

// memberError reports that a member answered a call with an HTTP status other than OK.
type memberError struct {
	address string // operators' listener of the member
	status  int    // HTTP status
	message string // the answer's text, for operators
}

func (e *memberError) Error() string { return e.address + ": " + e.message }

// address returns the address of the operators' listener to call: that of the flag, or else that of the operators' file.
func (c *fleetCmd) address() (string, error) {
	if c.At != "" {
		return c.At, nil
	}
	o, err := config.LoadOperations(cli.Operations)
	if err != nil {
		return "", err
	}
	if o.Operator.Listen == "" {
		return "", fmt.Errorf("no --at, and operator.listen of %s is empty", cli.Operations)
	}
	return o.Operator.Listen, nil
}

// call sends a form to a member and returns the body of its answer. If the member answers with a status other than OK, call
// returns the body and a *memberError.
func (c *fleetCmd) call(method, path string, form url.Values) ([]byte, error) {
	address, err := c.address()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(form.Encode()))
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	if err == nil && response.StatusCode != http.StatusOK {
		err = &memberError{address: address, status: response.StatusCode, message: strings.TrimSpace(string(body))}
	}
	return body, err
}

// readPage decodes a JSON page of a member into target or, if raw is true, prints it unchanged. printed is true if the page was
// printed.
func (c *fleetCmd) readPage(path string, raw bool, target any) (printed bool, err error) {
	body, err := c.call(http.MethodGet, path, nil)
	if err != nil {
		return false, err
	}
	if raw {
		_, err = os.Stdout.Write(body)
		return true, err
	}
	return false, json.Unmarshal(body, target)
}

// fleetStatus prints the status of the fleet as known to one member.
type fleetStatus struct {
	JSON bool `help:"As JSON."`
}

func (s fleetStatus) Run() error {
	var status agent.Status
	if printed, err := cli.Members.readPage("/fleet", s.JSON, &status); printed || err != nil {
		return err
	}
	quorum := "fresh: a leader with a quorum said so within the lease"
	if !status.Quorum {
		quorum = "OLD: nothing is settled, the last plan holds"
	}
	fmt.Printf("fleet %s, as %s sees it; plan %v, %s; leader %s, heard %d ms ago; folder: %s\n", status.Fleet, status.Name, status.Epoch,
		quorum, status.Leader, status.LeaderAge, status.Folder)
	if status.Frozen != nil {
		fmt.Printf("frozen by %s since %s: %s\n", status.Frozen.By, time.UnixMilli(status.Frozen.At).Format(time.RFC3339), status.Frozen.Reason)
	}
	if len(status.Unacknowledged) > 0 {
		fmt.Println("have not acknowledged the plan:", strings.Join(status.Unacknowledged, ", "))
	}
	return printMembers(status)
}

// printMembers prints a table of the members of a fleet.
func printMembers(status agent.Status) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "member\tzone\tstate\tvotes\tacts on\tfresh\tlast report\tbegan")
	for _, m := range status.Members {
		age, began := "none", ""
		if m.Age >= 0 {
			age = fmt.Sprint(m.Age, " ms ago")
			began = time.Unix(0, m.ProcessStartedAt).Format(time.RFC3339)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%v\t%v\t%v\t%s\t%s\n", m.Name, m.Zone, m.State, m.Voter, m.Epoch, m.Fresh, age, began)
	}
	return table.Flush()
}

// operatorReason holds the flags that every command which changes the fleet's plan has: the operator and the reason.
type operatorReason struct {
	Why string `required:"" help:"Why; it goes into the plan and the logs."`
	By  string `help:"Who asks (the user's name)."`
}

// post sends a command to a member with form, the operator and the reason, and prints the answer. form may be nil.
func (s operatorReason) post(verb string, form url.Values) error {
	operator, err := s.operator()
	if err != nil {
		return err
	}
	if form == nil {
		form = url.Values{}
	}
	form.Set("by", operator)
	form.Set("why", s.Why)
	answer, err := cli.Members.call(http.MethodPost, "/fleet/"+verb, form)
	if err == nil {
		os.Stdout.Write(answer)
	}
	return err
}

// operator returns the operator's name: that of the flag, or else the name of the current user.
func (s operatorReason) operator() (string, error) {
	if s.By != "" {
		return s.By, nil
	}
	u, err := user.Current()
	if err != nil {
		return "", fmt.Errorf("--by: %w", err)
	}
	return u.Username, nil
}

// fleetFreeze stops the decisions that the fleet makes without an operator.
type fleetFreeze struct{ operatorReason }

func (s fleetFreeze) Run() error { return s.post("freeze", nil) }

// fleetThaw ends a freeze, so that the fleet again makes decisions without an operator.
type fleetThaw struct{ operatorReason }

func (s fleetThaw) Run() error { return s.post("thaw", nil) }

// fleetZones prints the evacuation statuses of zones.
type fleetZones struct {
	JSON bool `help:"As JSON."`
}

func (z fleetZones) Run() error {
	statuses := evacuation.Statuses{}
	if printed, err := cli.Members.readPage("/fleet/zones", z.JSON, &statuses); printed || err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "zone\tstate\tsince\tfailed returns\tprobers\tby\twhy")
	for _, key := range slices.Sorted(maps.Keys(statuses)) {
		status := statuses[key]
		state := string(status.State)
		if status.KeepInService {
			state = "in, held"
		}
		by := status.By
		if by == "" {
			by = "the fleet"
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%s\t%s\t%s\n", key, state, time.UnixMilli(status.Since).Format(time.RFC3339), status.FailedReturns,
			strings.Join(status.Probers, " "), by, status.Reason)
	}
	return table.Flush()
}

// fleetLeave evacuates a zone.
type fleetLeave struct {
	Zone string `arg:"" help:"The zone, by its full name."`
	operatorReason
	For time.Duration `help:"How long to stay away; without, until return."`
}

func (l fleetLeave) Run() error {
	return l.post("leave", url.Values{"zone": {l.Zone}, "for_ms": {fmt.Sprint(l.For.Milliseconds())}})
}

// fleetReturn returns a zone to service. With Hold, only an operator can have the zone evacuated, until the zone is returned
// without Hold.
type fleetReturn struct {
	Zone string `arg:"" help:"The zone, by its full name."`
	operatorReason
	Hold bool `help:"The fleet does not leave it of itself, until it is returned to without."`
}

func (r fleetReturn) Run() error {
	return r.post("return", url.Values{"zone": {r.Zone}, "hold": {fmt.Sprint(r.Hold)}})
}
