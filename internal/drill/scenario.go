// Package drill plays scenarios on several real processes of the program, with faults between them, and checks them by rules and
// expectations from what servers, clients and links observed. It owns the processes, links and stand-ins of a drill, and shares no
// code with the program that it checks.
package drill

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"time"

	"go.starlark.net/starlark"
	"go.starlark.net/syntax"
)

// Scenario is the content of a scenario file.
type Scenario struct {
	Name        string
	Zones       []string
	Gateways    int // in each zone
	Servers     int // in each zone
	Customers   int
	Load        float64 // fraction of the capacity of all servers
	Rate        float64 // requests a second; 0: by Load
	Length      time.Duration
	DepartRatio float64 // fraction of the requests whose client closes the connection within the latency objective if it has no answer by then
	Coordinated bool
	Class       string            // mixed, safe, keyed or unsafe
	Regions     map[string]string // by zone
	Discovery   string            // how members find one another: seeds or registry
	Events      []Event
	Expects     []Expect
}

// Event is an action at a time of the drill.
type Event struct {
	At   time.Duration
	Pos  string // in the file
	Text string
	Do   action

	targets []string // servers, of an action on them
}

// action is carried out on the cluster by the goroutine of the script; it may not block for long.
type action func(*cluster)

// Expect is an expectation on the result of a drill, beyond the rules. A bound below 0 does not hold, and a time or ratio of 0 is no
// bound.
type Expect struct {
	Pos                 string  // in the file
	MinServed           float64 // ratio of the value that was served in time
	MinWorstServed      float64 // the same in the worst five seconds, at least
	MaxLost             int     // requests without an answer
	MaxSent             int     // attempts to Targets between From and To
	Targets             []string
	From, To            time.Duration
	MaxExcused          int     // requests without an answer at a gateway with a fault
	MaxEvacuations      int     // of zones, by the fleet
	MinPlans            int     // settled
	MinWorked           int     // machines that had their maintenance
	MaxOverload         float64 // see ServerReturn.Slack
	MaxFullTime         float64 // seconds until a restarted server had its full rate
	MaxApplyTime        float64 // seconds until all gateways apply a plan
	hasLost, hasExcused bool
}

// Size overrides the size of a scenario's fleet; a zero field overrides nothing.
type Size struct {
	Gateways int // in each zone
}

// Load reads a scenario from a file, or from text unless that is nil. Errors name the position in the file.
func Load(name string, text []byte, size Size) (*Scenario, error) {
	if text == nil {
		var err error
		if text, err = readFile(name); err != nil {
			return nil, err
		}
	}
	text = loadKeyword.ReplaceAll(text, []byte("Load$1"))
	options := &syntax.FileOptions{TopLevelControl: true, GlobalReassign: true, While: true}
	file, err := options.Parse(name, text, 0)
	if err != nil {
		return nil, err
	}
	if err := rejectRepetition(file); err != nil {
		return nil, err
	}
	b := &scenarioBuilder{size: size, scenario: Scenario{
		Name:      strings.TrimSuffix(name, ".star"),
		Length:    60 * time.Second,
		Class:     "mixed",
		Discovery: "seeds",
	}}
	thread := &starlark.Thread{Name: name}
	thread.SetMaxExecutionSteps(maxSteps)
	defer watchMemory(thread)()
	if _, err := starlark.ExecFileOptions(options, thread, name, text, b.vocabulary()); err != nil {
		return nil, withPosition(err)
	}
	return b.finish(name)
}

// readFile reads a scenario file of at most maxFileSize.
func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileSize {
		return nil, fmt.Errorf("%s: %d bytes, %d at most", name, info.Size(), maxFileSize)
	}
	return os.ReadFile(name)
}

// withPosition adds the innermost position in the file to an error of the evaluation; frames of the vocabulary have none.
func withPosition(err error) error {
	var e *starlark.EvalError
	if !errors.As(err, &e) {
		return err
	}
	for i := len(e.CallStack) - 1; i >= 0; i-- {
		if p := e.CallStack[i].Pos; p.Line > 0 {
			return fmt.Errorf("%s: %s", p, e.Msg)
		}
	}
	return err
}
