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

// ledgerCommand runs a ledger command and returns its output.
func ledgerCommand(t *testing.T, args ...string) (string, error) {
	t.Helper()
	out, err := exec.Command(program, append([]string{"ledger"}, args...)...).CombinedOutput()
	return string(out), err
}

// ledgerTest is two gateways with a ledger each, and a client of each.
type ledgerTest struct {
	t                  *testing.T
	env                *environment
	gatewayA, gatewayB *process
	dirA, dirB         string
	startServing       chan struct{} // the backends serve once it is closed
	clientA, clientB   *client
}

// newLedgerTest starts the gateways and connects the clients. The backends do not answer until startServing is closed.
func newLedgerTest(t *testing.T) *ledgerTest {
	envA := newEnvironment(t)
	startServing := make(chan struct{})
	go func() {
		<-startServing
		envA.backends.serveAll()
	}()
	envB := *envA
	envB.listenAddr, envB.limitsAddr = standin.OwnAddr(), standin.OwnAddr()
	envB.overrides = append(envB.overrides, `{"name": "n1"}`)
	envB.instance = 1
	l := &ledgerTest{t: t, env: envA, startServing: startServing, gatewayA: envA.start("serve"), gatewayB: envB.start("serve")}
	l.dirA = filepath.Join(filepath.Dir(l.gatewayA.configPath), "ledger")
	l.dirB = filepath.Join(filepath.Dir(l.gatewayB.configPath), "ledger")
	l.clientA, l.clientB = dial(t, envA.listenAddr), dial(t, envB.listenAddr)
	return l
}

// showsRow returns true if the figures of a folder contain the row within waitLimit. Its numbers are requests taken, served,
// refused, failed and open.
func (l *ledgerTest) showsRow(dir, row string) bool {
	return eventually(func() bool {
		out, err := ledgerCommand(l.t, "show", dir)
		return err == nil && strings.Contains(strings.Join(strings.Fields(out), " "), row)
	})
}

// submitBookingTwice sends two attempts at one booking, the second to the other gateway while the first is open, and then has
// both served.
func (l *ledgerTest) submitBookingTwice() {
	args := "c=order,t=wide,d=60000,k=lorry-7,spread=3,first=0"
	l.clientA.write("SVC.SUBMIT 00000000000000aa x1 " + args)
	if !l.showsRow(l.dirA, "wide order 1 0 0 0 1") {
		out, err := ledgerCommand(l.t, "show", l.dirA)
		l.t.Fatalf("the first gateway's ledger does not show the open booking: %s, %v", out, err)
	}
	l.clientB.write("SVC.SUBMIT 00000000000000aa x2 " + args)
	if !l.showsRow(l.dirB, "wide order 1 0 0 0 1") {
		l.t.Fatal("the second gateway's ledger does not show the second attempt")
	}
	close(l.startServing)
	for _, c := range []*client{l.clientA, l.clientB} {
		if a := c.readAnswer(); !strings.HasPrefix(a, "x") {
			l.t.Fatalf("a booking was answered %q, expected its id", a)
		}
	}
}

// killGatewayWithOpenQuery kills the first gateway while a query is open.
func (l *ledgerTest) killGatewayWithOpenQuery() {
	l.env.counter.SetMode("silent")
	// An unknown command at this address, which does not count as a request.
	l.clientA.write("LIMIT.GET 00000000000000bb t=forty,d=60000,spread=1,first=0")
	l.clientA.readAnswer()
	c := dial(l.t, l.env.limitsAddr)
	c.write("LIMIT.GET 00000000000000bb t=forty,d=60000,spread=1,first=0")
	if !l.showsRow(l.dirA, "forty limit.get 1 0 0 0 1") {
		l.t.Fatal("the first gateway's ledger does not show the open query")
	}
	l.gatewayA.cmd.Process.Kill()
	l.gatewayA.wait()
	if out, err := ledgerCommand(l.t, "verify", l.dirA, l.dirB); err != nil {
		l.t.Errorf("verify of the folders of a killed and a running gateway: got %v, %s", err, out)
	}
}

// restartAndStop starts the first gateway again on its folder, which closes the open query, and then ends both gateways.
func (l *ledgerTest) restartAndStop() {
	again := exec.Command(l.gatewayA.cmd.Path, l.gatewayA.cmd.Args[1:]...)
	again.Env = l.gatewayA.cmd.Env
	var log bytes.Buffer
	again.Stderr = &log
	if err := again.Start(); err != nil {
		l.t.Fatal(err)
	}
	if !l.showsRow(l.dirA, "forty limit.get 1 0 0 1 0") {
		l.t.Error("the query that was open at the kill was not closed as failed")
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
		l.t.Errorf("the log of the start after the kill does not report the request that was cut off: %s", log.String())
	}
}

// export exports a folder to a file, and checks that the CSV export has as many records and that an export after the first record
// is the rest of the file.
func (l *ledgerTest) export(dir string) (file string) {
	out, err := exec.Command(program, "ledger", "export", dir).Output()
	if err != nil {
		l.t.Fatal(err)
	}
	file = filepath.Join(l.t.TempDir(), "export.jsonl")
	os.WriteFile(file, out, 0o600)
	table, err := ledgerCommand(l.t, "export", "--csv", dir)
	if lines := strings.Count(table, "\n"); err != nil || lines != 1+bytes.Count(out, []byte("\n")) {
		l.t.Errorf("the CSV export has %d lines, %v, expected a header and as many as the JSON export has", lines, err)
	}
	rest, _ := exec.Command(program, "ledger", "export", "--after", "1", dir).Output()
	if !bytes.HasSuffix(out, rest) || len(rest) == 0 || len(rest) == len(out) {
		l.t.Error("the export after the first record is not the rest of the whole export")
	}
	return file
}

// checkDamagedExports checks that verify reports missing, repeated, changed and invalid records.
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
			l.t.Errorf("verify of an export with %s: got %v, %s", what, err, out)
		}
	}
}

// TestLedgerCommands guards against ledger commands whose figures differ from the requests that were sent, while the gateways run
// and after they have ended. Two gateways receive attempts at the same booking, the second while the first is open, and one
// gateway is killed with a request in flight.
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
		t.Errorf("merge: got %v, %s", err, out)
	}
	l.checkDamagedExports(files[0])
}

// getPage requests a page over HTTP and returns its text.
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

// TestMetrics guards against metrics that a scraper can't read or whose labels are unbounded, such as customers.
func TestMetrics(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t)
	go env.backends.serveAll()
	env.operatorAddr = standin.OwnAddr()
	env.start("serve")
	c := dial(t, env.listenAddr)
	c.write(queryCommand(7, 0), queryCommand(8, 0))
	c.readAnswer()
	c.readAnswer()
	// All figures must stand on the same page. That can take a while, as the push of the spent units stays open for as long as the
	// counter takes, after both requests are served.
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
		t.Error("the metrics contain the number of a customer")
	}
	if lines := getPage(t, env.operatorAddr, "/ledger"); !strings.Contains(lines, `{"plan":"forty","class":"lookup","counts":{"taken":2,"served":2`) {
		t.Error(lines)
	}
}
