package main

import (
	"fmt"
	"strings"
	"testing"
)

const config = `{"NInstances":3,"MyNumber":%d,"Areas":["a"],"Tick":1000000,"Caps":{"TryLimit":3},` +
	`"RequestClasses":[{"Aim":400000000,"Deadline":800000000,"Effect":"safe","Points":1}],` +
	`"Contracts":[{"QuotaRate":5,"Depth":9}],"FamilyInfo":{"Counter":true,"CountLimit":50000000,"UnitsTop":1}}`

// script returns input with the same events for each of the given gateways, identified by their numbers.
func script(instances ...int) string {
	var b strings.Builder
	b.WriteString("round 1000000000\n")
	for _, i := range instances {
		fmt.Fprintf(&b, "hello gateway_%d %d "+config+"\n", i, 40+i, i)
		fmt.Fprintf(&b, "peers_known gateway_%d 1 1 3\nm 0 0 0 5 0 1 1\nm 0 0 0 6 0 1 1\nm 0 0 0 7 0 1 1\n", i)
	}
	b.WriteString("commit\n")
	for n := range 60 {
		fmt.Fprintf(&b, "round %d\n", 1000000000+20000000*n)
		for _, i := range instances {
			fmt.Fprintf(&b, "submit gateway_%d r-%dx%d 0 0 %x 800000000 1 3 0 0\n", i, i, n, n%4)
		}
		b.WriteString("commit\n")
	}
	return b.String()
}

// play runs the adapter on the input and returns the lines of its output by the gateway that they name.
func play(t *testing.T, in string) map[string]string {
	t.Helper()
	var out strings.Builder
	if err := run(strings.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	linesByGateway := map[string]string{}
	for line := range strings.Lines(out.String()) {
		if fields := strings.Fields(line); len(fields) > 1 {
			linesByGateway[fields[1]] += line
		}
	}
	return linesByGateway
}

// TestInstancesShareNoState guards against state that gateways of one process share. A gateway then acts differently beside
// others than in a process of its own.
func TestInstancesShareNoState(t *testing.T) {
	together := play(t, script(0, 1, 2))
	for i := range 3 {
		name := fmt.Sprintf("gateway_%d", i)
		alone := play(t, script(i))[name]
		if alone == "" || alone != together[name] {
			t.Errorf("%s: actions in a process of its own differ from those beside other gateways", name)
		}
	}
}

// TestBadInput guards against faulty input that is accepted, or whose error does not name the faulty line, gateway or setting.
func TestBadInput(t *testing.T) {
	for in, want := range map[string]string{
		"round 1\nkill\ncommit\n":                                             `line 2: message "kill"`,
		"round 1\nring gateway_1 x\ncommit\n":                                 "no such instance",
		"round 1\nhello gateway_1 1 {\"NInstances\":0}\ncommit\n":             "Instances",
		"round 1\nhello gateway_1 1 " + fmt.Sprintf(config, 3) + "\ncommit\n": "Self",
	} {
		err := run(strings.NewReader(in), &strings.Builder{})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("input %q: got error %v, expected one with %q", in, err, want)
		}
	}
}
