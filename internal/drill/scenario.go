// Package drill runs scenarios on several real processes of the program, injects faults between them, and checks rules and
// expectations against what servers, clients and links observed. It owns the processes, links and stand-ins of a drill, and
// shares no code with the program that it checks.
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
	Gateways    int // number of gateways in each zone
	Servers     int // number of servers in each zone
	Customers   int
	Load        float64 // load as a fraction of the capacity of all servers
	Rate        float64 // requests per second; 0 if Load determines the rate
	Length      time.Duration
	DepartRatio float64           // fraction of the requests whose client departs within the latency objective if there is no answer
	Coordinated bool              // true if the gateways form a fleet
	Class       string            // class of the requests: mixed, safe, keyed or unsafe
	Regions     map[string]string // region of a zone, by zone
	Discovery   string            // how members discover one another: seeds or registry
	Events      []Event
	Expects     []Expect
}

// Event is an action of a scenario and the time at which it is executed.
type Event struct {
	At   time.Duration // time since the start of the load
	Pos  string        // position of the event in the file
	Text string        // action, as written in the file
	Do   action

	targets []string // servers that a server action applies to
}

// action is executed on the cluster by the goroutine that runs the events. It must not block for long.
type action func(*cluster)

// Expect is an expectation on the result of a drill, in addition to the rules. A bound below 0, or a time or ratio of 0, is not
// checked.
type Expect struct {
	Pos                 string  // position of the expectation in the file
	MinServed           float64 // ratio of the value served in time
	MinWorstServed      float64 // ratio of the value served in time in the worst five seconds
	MaxLost             int     // requests without an answer
	MaxSent             int     // attempts that arrive at Targets between From and To
	Targets             []string
	From, To            time.Duration
	MaxExcused          int     // requests without an answer at a gateway with a fault of the scenario
	MaxEvacuations      int     // evacuations of zones by the fleet
	MinPlans            int     // plans that the fleet settles
	MinWorked           int     // machines whose maintenance is completed
	MaxOverload         float64 // bound of SlowStartResult.MaxExcessRatio
	MaxFullTime         float64 // seconds until a restarted server receives its full rate
	MaxApplyTime        float64 // seconds until all gateways have applied a plan
	hasLost, hasExcused bool    // true if MaxLost or MaxExcused, respectively, is checked
}

// Size overrides the size of a scenario's fleet. A field of 0 leaves the scenario's value.
type Size struct {
	Gateways int // number of gateways in each zone
}

// Load reads a scenario from the named file, or from text if that is not nil. Errors contain the position in the file.
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

// readFile reads a scenario file. It returns an error if the file exceeds maxFileSize.
func readFile(name string) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > maxFileSize {
		return nil, fmt.Errorf("%s has %d bytes, expected at most %d", name, info.Size(), maxFileSize)
	}
	return os.ReadFile(name)
}

// withPosition adds the innermost position in the file to an error of the evaluation. Frames of built-in functions have no
// position.
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
