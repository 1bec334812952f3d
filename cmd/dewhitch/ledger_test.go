package main_test

import (
	"bytes"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"dewhitch/internal/standin"
)

// ledgerCommand runs a ledger command and returns what it prints.
func ledgerCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	out, err := exec.Command(program, append([]string{"ledger"}, args...)...).CombinedOutput()
	return string(out), err
}

// ledgerTest is two gateways with a ledger each, and one client on each.
type ledgerTest struct {
	t                  *testing.T
	env                *environment
	gatewayA, gatewayB *process
	dirA, dirB         string
	startServing       chan struct{} // closed: the backends serve
	clientA, clientB   *client
}

func newLedgerTest(t *testing.T) *ledgerTest {
	first := newEnvironment(t)
	startServing := make(chan struct{})
	go func() {
		<-startServing
		first.backends.serveAll()
	}()
	second := *first
	second.listenAddr, second.limitsAddr = standin.OwnAddr(), standin.OwnAddr()
	second.overrides = append(second.overrides, `{"name": "n1"}`)
	second.instance = 1
	l := &ledgerTest{t: t, env: first, startServing: startServing, gatewayA: first.start("serve"), gatewayB: second.start("serve")}
	l.dirA = filepath.Join(filepath.Dir(l.gatewayA.configPath), "ledger")
	l.dirB = filepath.Join(filepath.Dir(l.gatewayB.configPath), "ledger")
	l.clientA, l.clientB = dial(t, first.listenAddr), dial(t, second.listenAddr)
	return l
}

// showsRow tells whether the figures of a folder have such a line, or will soon. Its numbers are taken, served, refused, failed, open.
func (l *ledgerTest) showsRow(dir, row string) bool {
	return eventually(func() bool {
		out, err := ledgerCommand(l.t, "show", dir)
		return err == nil && strings.Contains(strings.Join(strings.Fields(out), " "), row)
	})
}

// submitBookingTwice sends two attempts at one booking, the second to the other gateway while the first is open, and then has both served.
func (l *ledgerTest) submitBookingTwice() {
	args := "c=order,t=wide,d=60000,k=lorry-7,spread=3,first=0"
	l.clientA.write("SVC.SUBMIT 00000000000000aa x1 " + args)
	if !l.showsRow(l.dirA, "wide order 1 0 0 0 1") {
		out, err := ledgerCommand(l.t, "show", l.dirA)
		l.t.Fatalf("an open booking is not shown: %s, %v", out, err)
	}
	l.clientB.write("SVC.SUBMIT 00000000000000aa x2 " + args)
	if !l.showsRow(l.dirB, "wide order 1 0 0 0 1") {
		l.t.Fatal("the second try is not shown")
	}
	close(l.startServing)
	for _, c := range []*client{l.clientA, l.clientB} {
		if a := c.readAnswer(); !strings.HasPrefix(a, "x") {
			l.t.Fatalf("answered %q", a)
		}
	}
}

// killGatewayWithOpenQuery kills the first gateway while a query is open.
func (l *ledgerTest) killGatewayWithOpenQuery() {
	l.env.counter.SetMode("silent")
	l.clientA.write("LIMIT.GET 00000000000000bb t=forty,d=60000,spread=1,first=0") // unknown on this front, and no request
	l.clientA.readAnswer()
	c := dial(l.t, l.env.limitsAddr)
	c.write("LIMIT.GET 00000000000000bb t=forty,d=60000,spread=1,first=0")
	if !l.showsRow(l.dirA, "forty limit.get 1 0 0 0 1") {
		l.t.Fatal("an open query is not shown")
	}
	l.gatewayA.cmd.Process.Kill()
	l.gatewayA.wait()
	if out, err := ledgerCommand(l.t, "verify", l.dirA, l.dirB); err != nil {
		l.t.Errorf("verify, of a killed gateway and one at work: %v, %s", err, out)
	}
}

// restartAndStop starts the first gateway again on its folder, which closes what was open; then both end.
func (l *ledgerTest) restartAndStop() {
	again := exec.Command(l.gatewayA.cmd.Path, l.gatewayA.cmd.Args[1:]...)
	again.Env = l.gatewayA.cmd.Env
	var log bytes.Buffer
	again.Stderr = &log
	if err := again.Start(); err != nil {
		l.t.Fatal(err)
	}
	if !l.showsRow(l.dirA, "forty limit.get 1 0 0 1 0") {
		l.t.Error("what the kill left open is not closed")
	}
	again.Process.Signal(syscall.SIGTERM)
	l.gatewayB.cmd.Process.Signal(syscall.SIGTERM)
	if err := again.Wait(); err != nil {
		l.t.Error(err, log.String())
	}
	if err := l.gatewayB.wait(); err != nil {
		l.t.Error(err)
	}
	if !strings.Contains(log.String(), `"reqs_cut_off_by_crash":1`) {
		l.t.Errorf("the start after the kill says %s", log.String())
	}
}

// export exports a folder to a file, and checks the same as CSV and from the second record on.
func (l *ledgerTest) export(dir string) (file string) {
	out, err := exec.Command(program, "ledger", "export", dir).Output()
	if err != nil {
		l.t.Fatal(err)
	}
	file = filepath.Join(l.t.TempDir(), "export.jsonl")
	os.WriteFile(file, out, 0o600)
	table, err := ledgerCommand(l.t, "export", "--csv", dir)
	if lines := strings.Count(table, "\n"); err != nil || lines != 1+bytes.Count(out, []byte("\n")) {
		l.t.Errorf("as CSV there are %d lines, %v", lines, err)
	}
	rest, _ := exec.Command(program, "ledger", "export", "--after", "1", dir).Output()
	if !bytes.HasSuffix(out, rest) || len(rest) == 0 || len(rest) == len(out) {
		l.t.Error("the records behind the first are not the rest")
	}
	return file
}

// checkDamagedExports checks that a record that is missing, one that comes twice and one that was changed are reported.
func (l *ledgerTest) checkDamagedExports(file string) {
	text, _ := os.ReadFile(file)
	lines := strings.SplitAfter(strings.TrimSuffix(string(text), "\n")+"\n", "\n")
	lines = lines[:len(lines)-1]
	for what, c := range map[string]struct{ text, want string }{
		"a missing one":  {lines[0] + strings.Join(lines[2:], ""), "1 records are missing before it"},
		"one twice":      {lines[0] + lines[0] + strings.Join(lines[1:], ""), "came before"},
		"a changed one":  {strings.Replace(string(text), `"taken":1`, `"taken":2`, 1), "its chain does not follow"},
		"no record":      {"{}\n", "line 1: no record of a ledger"},
		"no known event": {strings.Replace(string(text), `"taken":1`, `"token":1`, 1), `no figure is called "token"`},
	} {
		bad := filepath.Join(l.t.TempDir(), "bad.jsonl")
		os.WriteFile(bad, []byte(c.text), 0o600)
		if out, err := ledgerCommand(l.t, "verify", bad); err == nil || !strings.Contains(out, c.want) {
			l.t.Errorf("%s: %v, %s", what, err, out)
		}
	}
}

// Two gateways get the attempts at one booking, the second while the first is open; one is killed with a request in flight. What
// the commands print, while the gateways run and after them, is what was sent.
func TestLedgerCommands(t *testing.T) {
	t.Parallel()
	l := newLedgerTest(t)
	l.submitBookingTwice()
	l.killGatewayWithOpenQuery()
	l.restartAndStop()
	files := []string{l.export(l.dirA), l.export(l.dirB)}
	out, err := ledgerCommand(t, append([]string{"merge"}, files...)...)
	if flat := strings.Join(strings.Fields(out), " "); err != nil || !strings.Contains(flat, "wide order 2 2 0 0 0") ||
		!strings.Contains(flat, "bookings by key: 1; with tries through several nodes: 1, of these with two tries open at once: 1") {
		t.Errorf("merged: %v, %s", err, out)
	}
	l.checkDamagedExports(files[0])
}

func getPage(t *testing.T, addr, path string) string {
	r, err := http.Get("http://" + addr + path)
	if err != nil {
		t.Fatal(err)
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	if err != nil || r.StatusCode != 200 {
		t.Fatal(r.Status, err)
	}
	return string(b)
}

// The operators' listener shows figures that a scraper can read, with bounded labels.
func TestMetrics(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	go env.backends.serveAll()
	env.operatorAddr = standin.OwnAddr()
	env.start("serve")
	c := dial(t, env.listenAddr)
	c.write(bookingCommand(7, 0), bookingCommand(8, 0))
	c.readAnswer()
	c.readAnswer()
	// The page is of one moment, and so are these figures: a push of the units that were spent is open for as long as the
	// counter takes, after both are served.
	want := []string{`dewhitch_reqs_total{class="lookup",event="served",plan="forty"} 2`,
		`dewhitch_fetches_total{class="lookup",event="fetch_ok",plan="forty"} 2`,
		"dewhitch_ledger_alarms 0", "dewhitch_ledger_lasting 1", "dewhitch_ledger_open 0"}
	var body string
	missingFromBody := func(line string) bool { return !strings.Contains(body, line+"\n") }
	if !eventually(func() bool {
		body = getPage(t, env.operatorAddr, "/metrics")
		return !slices.ContainsFunc(want, missingFromBody)
	}) {
		t.Fatalf("no page has all of %q; the last is\n%s", want, body)
	}
	if strings.Contains(body, "0000000000000007") {
		t.Error("a customer is a label")
	}
	if lines := getPage(t, env.operatorAddr, "/ledger"); !strings.Contains(lines, `{"plan":"forty","class":"lookup","counts":{"taken":2,"served":2`) {
		t.Error(lines)
	}
}
