package standin

import (
	"math/rand/v2"
	"time"
)

// Behaviour is how a backend answers a command.
type Behaviour int

// The ways to answer.
const (
	Serve         Behaviour = iota
	Fail                    // -ERR failed: it may have run
	Busy                    // -BUSY: it was rejected, and has not run
	Reset                   // it has run; the connection is reset
	Stall                   // it has run; no answer comes, the connection stays open
	Corrupt                 // it has run; the answer breaks the protocol
	TrailingBytes           // served, with bytes behind the answer that belong to none
	Truncate                // it has run; the connection ends within the value
	behaviourCount
)

var behaviourNames = [behaviourCount]string{"serve", "fail", "busy", "reset", "stall", "spoil", "extra", "broken"}

// String returns the name.
func (b Behaviour) String() string { return behaviourNames[b] }

// Step is how a backend treats one command.
type Step struct {
	Behaviour Behaviour
	Delay     time.Duration // before the answer
	Report    string        // load report in the answer; empty: that of an idle backend
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
	At         time.Time // when it was read
	RemoteAddr string    // remote address of its connection
	Behaviour  Behaviour // how it is answered

	loadReport string
}

// newCommand returns a command by its arguments; false: there are too few.
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

// value is what a backend serves a command with: its body, or its id if it has none.
func (c *Command) value() string {
	if c.Body != "" {
		return c.Body
	}
	return c.ID
}

// Script decides how a backend treats a command. Backends call it for one command at a time, in the order in which they arrive.
type Script func(c *Command) Step

// Always treats all commands alike.
func Always(s Step) Script { return func(*Command) Step { return s } }

// Weighted draws a deed by weight, and a delay uniformly up to that of the deed. The same seed draws the same steps.
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
		for behaviour := range behaviourCount { // not in the map's order, which differs by run
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
