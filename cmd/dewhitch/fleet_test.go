package main_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"dewhitch/internal/standin"
)

// startSingleGateway starts one gateway with stand-ins, as the only member of a fleet or without one. It returns the address of
// its operators' listener.
func startSingleGateway(t *testing.T, fleet bool) (p *standin.Process, operatorAddr string) {
	t.Helper()
	operatorAddr = standin.OwnAddr()
	p, _ = startSingleGatewayAt(t, fleet, operatorAddr)
	return p, operatorAddr
}

// startSingleGatewayAt starts a gateway as startSingleGateway does, with the operators' listener at configuredAddr. The listener
// is off if that is empty; operatorAddr is then an unused address.
func startSingleGatewayAt(t *testing.T, fleet bool, configuredAddr string) (p *standin.Process, operatorAddr string) {
	t.Helper()
	backends, err := standin.NewBackends(1, false, standin.Always(standin.Step{}))
	closeAtCleanup(t, backends, err)
	counter := newCounter(t)
	discovery := newDiscovery(t, standin.Members(standin.Member("s-00000001", backends.Nodes[0].Addr(), "up")), 1)
	p = &standin.Process{Name: "n0", Dir: t.TempDir(), Listen: standin.OwnAddr(), Path: program}
	if operatorAddr = configuredAddr; operatorAddr == "" {
		operatorAddr = standin.OwnAddr()
	}
	config, err := standin.Config{Name: "n0", Listen: p.Listen, Discovery: discovery.Addr(), Counter: counter.Addr(), Instances: 1,
		Zones: []string{"hall-a", "hall-b"}, Plans: []standin.Plan{{Name: "basic", QuotaRate: 10, Depth: 10, Pays: 1}},
		Classes: []standin.Class{{Name: "space-query", Effect: "safe", Aim: time.Second, Deadline: 2 * time.Second, Points: 1}}}.JSON()
	if err != nil {
		t.Fatal(err)
	}
	if err := p.Write(map[string]string{"config.json": config, "limits.toml": "listen = \"\"\n",
		"operations.toml": fmt.Sprintf("[operator]\nlisten = %q\n", configuredAddr),
		"fleet.toml": fmt.Sprintf("[fleet]\nname = \"test\"\nlisten = %q\nvoters = [\"n0\"]\ndir = %q\n", standin.OwnAddr(),
			p.File("fleet"))}); err != nil {
		t.Fatal(err)
	}
	p.Args = []string{"--limits", p.File("limits.toml"), "--operations", p.File("operations.toml"), "serve"}
	if fleet {
		p.Args = append([]string{"--fleet", p.File("fleet.toml")}, p.Args...)
	}
	if err := p.Start(30 * time.Second); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Kill)
	return p, operatorAddr
}

// TestFleetCommands guards against fleet commands whose answer or exit code is wrong. A gateway forms a fleet of one member, and
// the commands run against it in the order in which operators would use them.
func TestFleetCommands(t *testing.T) {
	p, operatorAddr := startSingleGateway(t, true)
	run := func(args ...string) (string, error) {
		out, err := exec.Command(program, append([]string{"fleet", "--at", operatorAddr}, args...)...).CombinedOutput()
		return string(out), err
	}
	var status struct {
		Quorum  bool
		Leader  string
		Folder  string
		Members []struct{ Name, State string }
	}
	for end := time.Now().Add(30 * time.Second); !status.Quorum; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("the fleet of one member has no quorum after 30 s: %+v\n%s", status, p.Program().Log())
		}
		if text, err := run("status", "--json"); err == nil {
			if err := json.Unmarshal([]byte(text), &status); err != nil {
				t.Fatal(err, text)
			}
		}
	}
	if status.Leader != "n0" || status.Folder != "kept" || len(status.Members) != 1 {
		t.Errorf("got status %+v, expected the leader n0, a kept folder and one member", status)
	}
	for _, c := range []struct {
		args []string
		want string
		good bool
	}{
		{[]string{"return", "hall-b", "--why", "so", "--by", "me"}, `NO zone: "hall-b" is not out`, false},
		{[]string{"leave", "hall-b", "--why", "power work", "--by", "me", "--for", "30m"}, "YES ", true},
		{[]string{"zones"}, "power work", true},
		{[]string{"leave", "hall-b", "--why", "x", "--by", "me", "--for=-1s"}, "NO ", false},
		{[]string{"leave", "hall-b"}, "missing flags: --why", false},
		{[]string{"return", "hall-b", "--why", "done", "--by", "me"}, "YES ", true},
		{[]string{"freeze", "--why", "night", "--by", "me"}, "YES ", true},
		{[]string{"status"}, "frozen by me", true},
		{[]string{"thaw", "--why", "day", "--by", "me"}, "YES ", true},
		{[]string{"work", "request", "--machines", "s-000000aa,s-000000bb", "--kind", "restart", "--for", "5m", "--why", "kernel", "--by", "me"}, "YES ", true},
		{[]string{"work", "request", "--machines", "s-000000aa", "--kind", "off", "--for", "5m", "--why", "other", "--by", "you"}, "NO work: s-000000aa is asked for already, in request 1 by me", false},
		{[]string{"work", "request", "--machines", "s-1", "--kind", "polish", "--for", "5m", "--why", "x", "--by", "me"}, "--kind", false},
		{[]string{"work", "list"}, "s-000000bb", true},
		{[]string{"work", "done", "1", "--why", "x", "--by", "me"}, "NO work: no machine of request 1 is free", false},
		{[]string{"work", "hold", "1", "--why", "x", "--by", "me"}, "YES ", true},
		{[]string{"work", "list"}, "held by me: x", true},
		{[]string{"work", "resume", "1", "--why", "x", "--by", "me"}, "YES ", true},
		{[]string{"work", "cancel", "1", "--why", "x", "--by", "me"}, "YES ", true},
		{[]string{"work", "cancel", "1", "--why", "x", "--by", "me"}, "NO work: request 1 is cancelled", false},
		{[]string{"work", "gone", "n9", "--why", "x", "--by", "me"}, "NO work: nobody waits for", false},
		{[]string{"work", "plan", "--machines", "s-000000aa", "--for", "1m", "--load", "0.5"}, "never: s-000000aa: is not listed", true},
	} {
		if text, err := run(c.args...); (err == nil) != c.good || !strings.Contains(text, c.want) {
			t.Errorf("%v: got %v: %s; expected %s", c.args, err, text, c.want)
		}
	}
}

// TestNoFleetNoSocket guards against parts of a fleet in a gateway without a fleet file: it must have no UDP socket, no page and
// no metric of a fleet.
func TestNoFleetNoSocket(t *testing.T) {
	for _, fleet := range []bool{true, false} {
		p, operatorAddr := startSingleGateway(t, fleet)
		pid := p.Program().Cmd.Process.Pid
		udp, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/udp", pid))
		if err != nil {
			t.Skip(err)
		}
		links, err := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", pid))
		if err != nil {
			t.Fatal(err)
		}
		found := 0
		for _, l := range links {
			to, _ := os.Readlink(l)
			if inode, ok := strings.CutPrefix(to, "socket:["); ok && strings.Contains(string(udp), " "+strings.TrimSuffix(inode, "]")+" ") {
				found++
			}
		}
		if (found > 0) != fleet {
			t.Errorf("with a fleet file: %v: got %d UDP sockets, expected some only with a fleet", fleet, found)
		}
		// The operators' listener serves the metrics of every gateway, and pages on the fleet only if there is one.
		for path, want := range map[string]bool{"/metrics": true, "/fleet": fleet, "/ledger": false} {
			status, text := getOperatorPage(t, operatorAddr, path)
			if (status == http.StatusOK) != want {
				t.Errorf("with a fleet file: %v: %s: got status %d, expected OK only for the pages that the gateway has", fleet, path, status)
			}
			if path == "/metrics" && strings.Contains(text, "dewhitch_fleet_") != fleet {
				t.Errorf("with a fleet file: %v: expected metrics of the fleet only with the file, got %s", fleet, text)
			}
		}
		// The listener starts before the gateway has read the endpoint list.
		if !eventually(func() bool {
			_, text := getOperatorPage(t, operatorAddr, "/metrics")
			return strings.Contains(text, `dewhitch_list_version{stage="applied"} 1`)
		}) {
			t.Errorf("with a fleet file: %v: the metrics do not show the applied list", fleet)
		}
	}
}

// getOperatorPage requests a page of an operators' listener.
func getOperatorPage(t *testing.T, operatorAddr, path string) (status int, text string) {
	t.Helper()
	answer, err := http.Get("http://" + operatorAddr + path)
	if err != nil {
		t.Fatalf("requesting a page of the operators' listener: %v", err)
	}
	defer answer.Body.Close()
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	return answer.StatusCode, string(body)
}

// TestNoOperatorsAddressNoListener guards against a listener that is not configured: if the operators' file names no address, as
// on the platform, the process listens at the clients' address only.
func TestNoOperatorsAddressNoListener(t *testing.T) {
	p, operatorAddr := startSingleGatewayAt(t, false, "")
	if c, err := standin.Dial(operatorAddr, time.Second); err == nil {
		c.Close()
		t.Errorf("a connection to %s is accepted, expected no listener", operatorAddr)
	}
	listeners, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", p.Program().Cmd.Process.Pid))
	if err != nil {
		t.Skip(err)
	}
	found := 0
	for line := range strings.SplitSeq(string(listeners), "\n") {
		const stateField, inodeField, listening = 3, 9, "0A"
		if f := strings.Fields(line); len(f) > inodeField && f[stateField] == listening && hasSocketOpen(p, f[inodeField]) {
			found++
		}
	}
	if found != 1 {
		t.Errorf("got %d listening sockets, expected one", found)
	}
}

// hasSocketOpen returns true if the process has the socket with that inode open.
func hasSocketOpen(p *standin.Process, inode string) bool {
	links, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.Program().Cmd.Process.Pid))
	return slices.ContainsFunc(links, func(l string) bool {
		to, _ := os.Readlink(l)
		return to == "socket:["+inode+"]"
	})
}
