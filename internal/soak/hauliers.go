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
	Haulier     uint64
	Plan, Class string
}

// Tally is what clients saw of a row. Sent is all of the others together.
type Tally struct {
	Sent, Served, Refused, Failed uint64
	Lost                          uint64 // the session ended, by either side, before its answer was read
}

func (t *Tally) add(o *Tally) {
	t.Sent += o.Sent
	t.Served += o.Served
	t.Refused += o.Refused
	t.Failed += o.Failed
	t.Lost += o.Lost
}

type tallies struct {
	mu    sync.Mutex
	rows  map[Row]*Tally
	wrong []string // answers that no server made for their req
}

func (t *tallies) book(r Row, f func(*Tally)) {
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
	if len(t.wrong) < 20 {
		t.wrong = append(t.wrong, fmt.Sprintf(format, a...))
	}
}

// command is one that a client sends, with what it takes for an answer.
type command struct {
	row   Row
	words []string
	value string // that a backend serves it with; empty: a command on limits
}

// haulier plays one haulier until the context ends: those beyond the plan's number come through the forwarder, and ask
// about their limits too.
func (w *world) haulier(ctx context.Context, h uint64) {
	rng := rand.New(rand.NewPCG(w.Seed, 100+h))
	sessions := map[int]*standin.Client{}
	defer func() {
		for _, c := range sessions {
			c.Close()
		}
	}()
	forwarded := int(h) > w.Hauliers
	var retries sync.WaitGroup
	defer retries.Wait()
	for n := 0; ctx.Err() == nil; {
		at := rng.IntN(gateways)
		if forwarded {
			at = gateways
		}
		many := 1
		if rng.IntN(5) == 0 {
			many = 2 + rng.IntN(24)
		}
		var batch []command
		for range many {
			n++
			batch = append(batch, w.command(rng, at, h, n, forwarded))
		}
		if !forwarded && batch[0].row.Class == classes[1] && rng.IntN(6) == 0 {
			// The client's retry, through another gateway while this try is open: another id under the same key.
			n++
			again := batch[0]
			other := (at + 1) % gateways
			again.row.Node = w.nodes[other].Name
			again.words = append([]string(nil), again.words...)
			again.words[2] = fmt.Sprintf("i%x-%d", h, n)
			again.value = again.words[2]
			if c, err := standin.Dial(w.nodes[other].Listen, time.Second); err == nil {
				retries.Go(func() {
					defer c.Close()
					w.exchange(c, []command{again}, 0)
				})
			}
		}
		c := sessions[at]
		if c == nil {
			var err error
			if c, err = standin.Dial(w.nodes[at].Listen, time.Second); err != nil {
				wait(ctx, 20*time.Millisecond)
				continue
			}
			sessions[at] = c
		}
		good := false
		switch rng.IntN(60) {
		case 0: // the client leaves with all of it open
			for i := range batch {
				w.tallies.book(batch[i].row, func(t *Tally) { t.Sent++; t.Lost++ })
			}
			c.SetDeadline(time.Now().Add(patience))
			for _, b := range batch {
				c.Send(b.words)
			}
			wait(ctx, time.Duration(rng.IntN(20))*time.Millisecond)
		case 1: // it reads late
			good = w.exchange(c, batch, 300*time.Millisecond)
		default:
			good = w.exchange(c, batch, 0)
		}
		if !good {
			c.Close()
			delete(sessions, at)
		}
		wait(ctx, time.Duration(10+rng.IntN(50))*time.Millisecond)
	}
}

// command makes a haulier's n-th command, for a gateway or, behind the last, the forwarder.
func (w *world) command(rng *rand.Rand, at int, h uint64, n int, forwarded bool) command {
	plan := plans[h%uint64(len(plans))]
	c := command{row: Row{w.nodes[at].Name, h, plan, classes[rng.IntN(2)]}}
	args := "t=" + plan + ",d=1500,spread=3,first=0"
	customer := fmt.Sprintf("%016x", h)
	if forwarded && rng.IntN(3) == 0 {
		if c.row.Class = "limit.get"; rng.IntN(2) == 0 {
			c.words = []string{"LIMIT.GET", customer, args}
			return c
		}
		c.row.Class = "limit.adjust"
		units := 1 + rng.IntN(3)
		if h%4 == 0 && rng.IntN(2) == 0 {
			units = -units
		}
		c.words = []string{"LIMIT.ADJUST", customer, strconv.Itoa(units), args}
		return c
	}
	c.value = fmt.Sprintf("i%x-%d", h, n)
	args = "c=" + c.row.Class + "," + args + ",units=" + strconv.Itoa(1+rng.IntN(3))
	if c.row.Class == classes[0] {
		c.words = []string{"SVC.QUERY", customer, c.value, args}
	} else {
		c.words = []string{"SVC.SUBMIT", customer, c.value, args + fmt.Sprintf(",k=k%x-%d", h, n)}
	}
	return c
}

// exchange sends a batch, reads its answers after a pause, and books them; false: the session is over.
func (w *world) exchange(c *standin.Client, batch []command, pause time.Duration) bool {
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
			w.answered(batch[n], v)
			n++
		}
		read <- n
	}()
	for _, b := range batch {
		if c.Send(b.words) != nil {
			break
		}
	}
	n := <-read
	for _, b := range batch[n:] {
		w.tallies.book(b.row, func(t *Tally) { t.Sent++; t.Lost++ })
	}
	return n == len(batch)
}

// answered books an answer, and checks that it is one to this command.
func (w *world) answered(c command, v standin.Reply) {
	refused := v.Kind == '-' && (v.Text == "BUSY" || strings.HasPrefix(v.Text, "BUSY "))
	failed := v.Kind == '-' && strings.HasPrefix(v.Text, "ERR ")
	switch {
	case refused, failed:
	case c.value != "":
		if v.Kind != '$' || v.Null || v.Text != c.value {
			w.tallies.fault("%v is answered %c%.40q", c.words, v.Kind, v.Text)
		}
	case c.words[0] == "LIMIT.GET":
		if v.Kind != '*' || len(v.Items) != 3 {
			w.tallies.fault("%v is answered %c%.40q", c.words, v.Kind, v.Text)
		}
	default:
		if _, err := strconv.ParseFloat(v.Text, 64); v.Kind != '$' || err != nil {
			w.tallies.fault("%v is answered %c%.40q", c.words, v.Kind, v.Text)
		}
	}
	w.tallies.book(c.row, func(t *Tally) {
		switch t.Sent++; {
		case refused:
			t.Refused++
		case failed:
			t.Failed++
		default:
			t.Served++
		}
	})
}
