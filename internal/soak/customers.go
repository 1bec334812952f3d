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

// Row is the key of the clients' tallies and of the ledgers' rows.
type Row struct {
	Node        string
	Customer    uint64
	Plan, Class string
}

// Tally holds the clients' counts for a row. Sent is the sum of the other counts.
type Tally struct {
	Sent, Served, Rejected, Failed uint64
	Lost                           uint64 // number of requests whose session ended, on either side, before their answer was read
}

func (t *Tally) add(other *Tally) {
	t.Sent += other.Sent
	t.Served += other.Served
	t.Rejected += other.Rejected
	t.Failed += other.Failed
	t.Lost += other.Lost
}

// tallies holds the tallies of all clients. Its methods may be called from any goroutine.
type tallies struct {
	mu           sync.Mutex
	rows         map[Row]*Tally
	wrongAnswers []string // descriptions of answers that do not belong to their request
}

// record applies f to the tally of a row.
func (t *tallies) record(r Row, f func(*Tally)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.rows[r] == nil {
		t.rows[r] = &Tally{}
	}
	f(t.rows[r])
}

// recordWrongAnswer records the description of a wrong answer, up to 20 of them.
func (t *tallies) recordWrongAnswer(format string, a ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.wrongAnswers) < 20 {
		t.wrongAnswers = append(t.wrongAnswers, fmt.Sprintf(format, a...))
	}
}

// command is a command that a client sends, with the row and the value that its answer is checked against.
type command struct {
	row   Row
	args  []string
	value string // value with which a backend serves the command; empty for LIMIT commands
}

// runCustomer sends one customer's commands until the context ends. Customers with numbers above Config.Customers send through the
// forwarder, and send LIMIT commands too.
func (env *environment) runCustomer(ctx context.Context, customer uint64) {
	rng := rand.New(rand.NewPCG(env.Seed, 100+customer))
	sessions := map[int]*standin.Client{}
	defer func() {
		for _, c := range sessions {
			c.Close()
		}
	}()
	forwarded := int(customer) > env.Customers
	var retries sync.WaitGroup
	defer retries.Wait()
	for n := 0; ctx.Err() == nil; {
		nodeIndex := rng.IntN(gatewayCount)
		if forwarded {
			nodeIndex = gatewayCount
		}
		batch := env.batch(rng, nodeIndex, customer, &n, forwarded)
		if !forwarded && batch[0].row.Class == classes[1] && rng.IntN(6) == 0 {
			n++
			env.retryElsewhere(&retries, batch[0], nodeIndex, fmt.Sprintf("i%x-%d", customer, n))
		}
		session := sessions[nodeIndex]
		if session == nil {
			var err error
			if session, err = standin.Dial(env.nodes[nodeIndex].Listen, time.Second); err != nil {
				wait(ctx, 20*time.Millisecond)
				continue
			}
			sessions[nodeIndex] = session
		}
		if !env.sendBatch(ctx, rng, session, batch) {
			session.Close()
			delete(sessions, nodeIndex)
		}
		wait(ctx, time.Duration(10+rng.IntN(50))*time.Millisecond)
	}
}

// batch makes the commands that a customer sends at once: one or, in one of five batches, 2 to 25. n is the number of the
// customer's latest command. forwarded is true for a customer that sends through the forwarder.
func (env *environment) batch(rng *rand.Rand, nodeIndex int, customer uint64, n *int, forwarded bool) (batch []command) {
	count := 1
	if rng.IntN(5) == 0 {
		count = 2 + rng.IntN(24)
	}
	for range count {
		*n++
		batch = append(batch, env.command(rng, nodeIndex, customer, *n, forwarded))
	}
	return batch
}

// retryElsewhere sends a command through another gateway while its first attempt is open. As a client's retry does, it uses
// another id and the same idempotency key.
func (env *environment) retryElsewhere(retries *sync.WaitGroup, first command, nodeIndex int, id string) {
	retry := first
	otherNode := (nodeIndex + 1) % gatewayCount
	retry.row.Node = env.nodes[otherNode].Name
	retry.args = append([]string(nil), retry.args...)
	retry.args[2] = id
	retry.value = id
	c, err := standin.Dial(env.nodes[otherNode].Listen, time.Second)
	if err != nil {
		return
	}
	retries.Go(func() {
		defer c.Close()
		env.exchange(c, []command{retry}, 0)
	})
}

// sendBatch sends a batch. In one of 60 batches, the client reads no answers and disconnects at most 20 ms after the last command;
// in another one of 60, it reads the answers after a pause. sendBatch returns true if the session can be used again.
func (env *environment) sendBatch(ctx context.Context, rng *rand.Rand, c *standin.Client, batch []command) bool {
	switch rng.IntN(60) {
	case 0:
		for i := range batch {
			env.tallies.record(batch[i].row, func(t *Tally) { t.Sent++; t.Lost++ })
		}
		c.SetDeadline(time.Now().Add(waitTimeout))
		for _, b := range batch {
			c.Send(b.args)
		}
		wait(ctx, time.Duration(rng.IntN(20))*time.Millisecond)
		return false
	case 1:
		return env.exchange(c, batch, 300*time.Millisecond)
	default:
		return env.exchange(c, batch, 0)
	}
}

// command makes a customer's n-th command. forwarded is as in batch. nodeIndex is the index of a gateway, or that of the
// forwarder, which follows the last gateway.
func (env *environment) command(rng *rand.Rand, nodeIndex int, customer uint64, n int, forwarded bool) command {
	plan := plans[customer%uint64(len(plans))]
	c := command{row: Row{env.nodes[nodeIndex].Name, customer, plan, classes[rng.IntN(2)]}}
	args := "t=" + plan + ",d=1500,spread=3,first=0"
	customerText := fmt.Sprintf("%016x", customer)
	if forwarded && rng.IntN(3) == 0 {
		if c.row.Class = "limit.get"; rng.IntN(2) == 0 {
			c.args = []string{"LIMIT.GET", customerText, args}
			return c
		}
		c.row.Class = "limit.adjust"
		units := 1 + rng.IntN(3)
		if customer%4 == 0 && rng.IntN(2) == 0 {
			units = -units
		}
		c.args = []string{"LIMIT.ADJUST", customerText, strconv.Itoa(units), args}
		return c
	}
	c.value = fmt.Sprintf("i%x-%d", customer, n)
	args = "c=" + c.row.Class + "," + args + ",units=" + strconv.Itoa(1+rng.IntN(3))
	if c.row.Class == classes[0] {
		c.args = []string{"SVC.QUERY", customerText, c.value, args}
	} else {
		c.args = []string{"SVC.SUBMIT", customerText, c.value, args + fmt.Sprintf(",k=k%x-%d", customer, n)}
	}
	return c
}

// exchange sends a batch, reads its answers after a pause and records them. It returns false if the session has ended.
func (env *environment) exchange(c *standin.Client, batch []command, pause time.Duration) bool {
	c.SetDeadline(time.Now().Add(waitTimeout))
	read := make(chan int)
	go func() { // reads while the batch is sent: a gateway may take only part of a batch before the client reads answers
		time.Sleep(pause)
		n := 0
		for n < len(batch) {
			reply, err := c.Reply()
			if err != nil {
				break
			}
			env.recordAnswer(batch[n], reply)
			n++
		}
		read <- n
	}()
	for _, b := range batch {
		if c.Send(b.args) != nil {
			break
		}
	}
	n := <-read
	for _, b := range batch[n:] {
		env.tallies.record(b.row, func(t *Tally) { t.Sent++; t.Lost++ })
	}
	return n == len(batch)
}

// recordAnswer records an answer and checks that it belongs to the command.
func (env *environment) recordAnswer(c command, reply standin.Reply) {
	refused := reply.Kind == '-' && (reply.Text == "BUSY" || strings.HasPrefix(reply.Text, "BUSY "))
	failed := reply.Kind == '-' && strings.HasPrefix(reply.Text, "ERR ")
	switch {
	case refused, failed:
	case c.value != "":
		if reply.Kind != '$' || reply.Null || reply.Text != c.value {
			env.tallies.recordWrongAnswer("%v is answered %c%.40q", c.args, reply.Kind, reply.Text)
		}
	case c.args[0] == "LIMIT.GET":
		if reply.Kind != '*' || len(reply.Items) != 3 {
			env.tallies.recordWrongAnswer("%v is answered %c%.40q", c.args, reply.Kind, reply.Text)
		}
	default:
		if _, err := strconv.ParseFloat(reply.Text, 64); reply.Kind != '$' || err != nil {
			env.tallies.recordWrongAnswer("%v is answered %c%.40q", c.args, reply.Kind, reply.Text)
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
