package standin

import (
	"math/rand/v2"
	"time"
)

// Behaviour is how a backend treats a command, faults included.
type Behaviour int

// The behaviours of a backend.
const (
	Serve         Behaviour = iota // the command is served
	Fail                           // the answer is -ERR failed; the command may have run
	Busy                           // the answer is -BUSY; the command has not run
	Reset                          // the command has run, and the connection is reset
	Stall                          // the command has run; it is not answered, and the connection stays open
	Corrupt                        // the command has run, and the answer violates the protocol
	TrailingBytes                  // the command is served, and the answer is followed by bytes that belong to no answer
	Truncate                       // the command has run, and the connection ends within the value
	behaviourCount
)

var behaviourNames = [behaviourCount]string{"serve", "fail", "busy", "reset", "stall", "spoil", "extra", "broken"}

// String returns the behaviour's name.
func (b Behaviour) String() string { return behaviourNames[b] }

// Step is how a backend treats one command.
type Step struct {
	Behaviour Behaviour
	Delay     time.Duration // time from the command's arrival to the answer
	Report    string        // load report in the answer; empty for that of an idle backend
}

// Command is a command that a backend received.
type Command struct {
	Name       string
	Customer   string
	ID         string
	Class      string
	Plan       string
	Key        string // idempotency key
	Body       string
	Backend    int       // index in Backends.Nodes
	At         time.Time // when the backend read the command
	RemoteAddr string    // remote address of the connection
	Behaviour  Behaviour // how the backend treats the command

	loadReport string
}

// newCommand makes a command from its arguments. It returns false if there are too few.
func newCommand(args []string) (Command, bool) {
	if len(args) < 4 {
		return Command{}, false
	}
	options := parsePairs(args[3])
	c := Command{Name: args[0], Customer: args[1], ID: args[2], Class: options["c"], Plan: options["t"], Key: options["k"]}
	if len(args) > 4 {
		c.Body = args[4]
	}
	return c, true
}

// value returns the value with which a backend serves a command: its body, or its id if it has no body.
func (c *Command) value() string {
	if c.Body != "" {
		return c.Body
	}
	return c.ID
}

// Script decides how a backend treats a command. Backends calls it for one command at a time, in the order of their arrival.
type Script func(c *Command) Step

// Always returns a script with the same step for all commands.
func Always(s Step) Script { return func(*Command) Step { return s } }

// Weighted returns a script that draws a behaviour by weight, and a delay uniformly between 0 and the behaviour's Delay. The same
// seed yields the same steps.
func Weighted(seed uint64, steps map[Behaviour]struct {
	Weight float64
	Delay  time.Duration
}) Script {
	rng := rand.New(rand.NewPCG(seed, 2))
	total := 0.0
	for _, s := range steps {
		total += s.Weight
	}
	return func(*Command) Step {
		remaining := rng.Float64() * total
		for behaviour := range behaviourCount { // in a fixed order: the map's order differs from run to run
			s, ok := steps[behaviour]
			if !ok {
				continue
			}
			if remaining -= s.Weight; remaining < 0 {
				return Step{Behaviour: behaviour, Delay: time.Duration(rng.Float64() * float64(s.Delay))}
			}
		}
		return Step{}
	}
}
