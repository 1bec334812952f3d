package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// Row is what a client's tally is kept by.
type Row struct {
	Node        string
	Customer    uint64
	Plan, Class string
}

// Tally is what clients saw of a row. Sent is all of the others together.
type Tally struct {
	Sent, Served, Rejected, Failed uint64
	Lost                           uint64 // the session ended, by either side, before its answer was read
}

func (t *Tally) add(o *Tally) {
	t.Sent += o.Sent
	t.Served += o.Served
	t.Rejected += o.Rejected
	t.Failed += o.Failed
	t.Lost += o.Lost
}

type tallies struct {
	mu           sync.Mutex
	rows         map[Row]*Tally
	wrongAnswers []string // answers that no server made for their request
}

func (t *tallies) record(r Row, f func(*Tally)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[r] == nil {
		t.rows[r] = &Tally{}
	}
	f(t.rows[r])
}

func (t *tallies) fault(format string, a ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.wrongAnswers) < 20 {
		t.wrongAnswers = append(t.wrongAnswers, fmt.Sprintf(format, a...))
	}
}

// command is one that a client sends, with what it takes for an answer.
type command struct {
	row       Row
	arguments []string
	value     string // that a backend serves it with; empty: a command on limits
}

// runCustomer plays one customer until the context ends: those beyond the plan's number come through the forwarder, and send
// commands on their limits too.
func (env *environment) runCustomer(ctx context.Context, h uint64) {
	rng := rand.New(rand.NewPCG(env.Seed, 100+h))
	sessions := map[int]*standin.Client{}
	defer func() {
		for _, c := range sessions {
			c.Close()
		}
	}()
	forwarded := int(h) > env.Customers
	var retries sync.WaitGroup
	defer retries.Wait()
	for n := 0; ctx.Err() == nil; {
		at := rng.IntN(gateways)
		if forwarded {
			at = gateways
		}
		batch := env.batch(rng, at, h, &n, forwarded)
		if !forwarded && batch[0].row.Class == classes[1] && rng.IntN(6) == 0 {
			n++
			env.retryElsewhere(&retries, batch[0], at, fmt.Sprintf("i%x-%d", h, n))
		}
		c := sessions[at]
		if c == nil {
			var err error
			if c, err = standin.Dial(env.nodes[at].Listen, time.Second); err != nil {
				wait(ctx, 20*time.Millisecond)
				continue
			}
			sessions[at] = c
		}
		if !env.play(ctx, rng, c, batch) {
			c.Close()
			delete(sessions, at)
		}
		wait(ctx, time.Duration(10+rng.IntN(50))*time.Millisecond)
	}
}

// batch makes the commands that a customer sends at once: one, or now and then many. n numbers the customer's commands.
func (env *environment) batch(rng *rand.Rand, at int, h uint64, n *int, forwarded bool) (batch []command) {
	many := 1
	if rng.IntN(5) == 0 {
		many = 2 + rng.IntN(24)
	}
	for range many {
		*n++
		batch = append(batch, env.command(rng, at, h, *n, forwarded))
	}
	return batch
}

// retryElsewhere sends a command through another gateway while its first attempt is open, as a client's retry: under another id
// and the same idempotency key.
func (env *environment) retryElsewhere(retries *sync.WaitGroup, first command, at int, id string) {
	again := first
	other := (at + 1) % gateways
	again.row.Node = env.nodes[other].Name
	again.arguments = append([]string(nil), again.arguments...)
	again.arguments[2] = id
	again.value = id
	c, err := standin.Dial(env.nodes[other].Listen, time.Second)
	if err != nil {
		return
	}
	retries.Go(func() {
		defer c.Close()
		env.exchange(c, []command{again}, 0)
	})
}

// play sends a batch. Now and then the client leaves with all of it open, or reads late. It reports whether the session goes on.
func (env *environment) play(ctx context.Context, rng *rand.Rand, c *standin.Client, batch []command) bool {
	switch rng.IntN(60) {
	case 0:
		for i := range batch {
			env.tallies.record(batch[i].row, func(t *Tally) { t.Sent++; t.Lost++ })
		}
		c.SetDeadline(time.Now().Add(patience))
		for _, b := range batch {
			c.Send(b.arguments)
		}
		wait(ctx, time.Duration(rng.IntN(20))*time.Millisecond)
		return false
	case 1:
		return env.exchange(c, batch, 300*time.Millisecond)
	default:
		return env.exchange(c, batch, 0)
	}
}

// command makes a customer's n-th command, for a gateway or, behind the last, the forwarder.
func (env *environment) command(rng *rand.Rand, at int, h uint64, n int, forwarded bool) command {
	plan := plans[h%uint64(len(plans))]
	c := command{row: Row{env.nodes[at].Name, h, plan, classes[rng.IntN(2)]}}
	args := "t=" + plan + ",d=1500,spread=3,first=0"
	customer := fmt.Sprintf("%016x", h)
	if forwarded && rng.IntN(3) == 0 {
		if c.row.Class = "limit.get"; rng.IntN(2) == 0 {
			c.arguments = []string{"LIMIT.GET", customer, args}
			return c
		}
		c.row.Class = "limit.adjust"
		units := 1 + rng.IntN(3)
		if h%4 == 0 && rng.IntN(2) == 0 {
			units = -units
		}
		c.arguments = []string{"LIMIT.ADJUST", customer, strconv.Itoa(units), args}
		return c
	}
	c.value = fmt.Sprintf("i%x-%d", h, n)
	args = "c=" + c.row.Class + "," + args + ",units=" + strconv.Itoa(1+rng.IntN(3))
	if c.row.Class == classes[0] {
		c.arguments = []string{"SVC.QUERY", customer, c.value, args}
	} else {
		c.arguments = []string{"SVC.SUBMIT", customer, c.value, args + fmt.Sprintf(",k=k%x-%d", h, n)}
	}
	return c
}

// exchange sends a batch, reads its answers after a pause, and books them; false: the session is over.
func (env *environment) exchange(c *standin.Client, batch []command, pause time.Duration) bool {
	c.SetDeadline(time.Now().Add(patience))
	read := make(chan int)
	go func() { // a batch may be more than the gateway takes before it is read from
		time.Sleep(pause)
		n := 0
		for n < len(batch) {
			v, err := c.Reply()
			if err != nil {
				break
			}
			env.recordAnswer(batch[n], v)
			n++
		}
		read <- n
	}()
	for _, b := range batch {
		if c.Send(b.arguments) != nil {
			break
		}
	}
	n := <-read
	for _, b := range batch[n:] {
		env.tallies.record(b.row, func(t *Tally) { t.Sent++; t.Lost++ })
	}
	return n == len(batch)
}

// recordAnswer books an answer, and checks that it is one to this command.
func (env *environment) recordAnswer(c command, v standin.Reply) {
	refused := v.Kind == '-' && (v.Text == "BUSY" || strings.HasPrefix(v.Text, "BUSY "))
	failed := v.Kind == '-' && strings.HasPrefix(v.Text, "ERR ")
	switch {
	case refused, failed:
	case c.value != "":
		if v.Kind != '$' || v.Null || v.Text != c.value {
			env.tallies.fault("%v is answered %c%.40q", c.arguments, v.Kind, v.Text)
		}
	case c.arguments[0] == "LIMIT.GET":
		if v.Kind != '*' || len(v.Items) != 3 {
			env.tallies.fault("%v is answered %c%.40q", c.arguments, v.Kind, v.Text)
		}
	default:
		if _, err := strconv.ParseFloat(v.Text, 64); v.Kind != '$' || err != nil {
			env.tallies.fault("%v is answered %c%.40q", c.arguments, v.Kind, v.Text)
		}
	}
	env.tallies.record(c.row, func(t *Tally) {
		switch t.Sent++; {
		case refused:
			t.Rejected++
		case failed:
			t.Failed++
		default:
			t.Served++
		}
	})
}
