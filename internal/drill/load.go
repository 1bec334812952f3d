package drill

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// Beyond a req's time its answer earns nothing, and beyond this much more it is lost; a busy machine is never so late.
const lateness = 2 * time.Second

// outcome of a req, as its client saw it.
type outcome int

const (
	served outcome = iota
	late           // served, or answered, after the wanted time
	refused
	failed
	noWay   // no gateway took the connection
	excused // not answered, at a gateway that the script hurt meanwhile
	lost
	left // its client went while it waited
	outcomes
)

var outcomeNames = [outcomes]string{"served", "late", "refused", "failed", "no_way", "excused", "lost", "left"}

// second adds up the reqs that were sent in one second.
type second struct {
	n             [outcomes]int
	asked, earned float64 // worth
}

// load plays the hauliers' clients: an open loop, whose reqs come when they are due, whatever becomes of the others.
type load struct {
	w     *world
	mu    sync.Mutex
	secs  []second
	pools map[string][]*standin.Client
	all   sync.WaitGroup
	open  int
}

func newLoad(w *world) *load { return &load{w: w, pools: map[string][]*standin.Client{}} }

// req is one req of a client.
type req struct {
	haulier uint64
	id      string
	class   class
	plan    standin.Plan
	key     string
	first   int
	spread  int
	leave   time.Duration // after which its client goes; zero: it stays
}

func (r *req) words() []string {
	args := fmt.Sprintf("c=%s,t=%s,d=%d,", r.class.Name, r.plan.Name, r.class.Deadline.Milliseconds())
	name := "SVC.QUERY"
	if !r.class.query {
		name = "SVC.SUBMIT"
		if r.key != "" {
			args += "k=" + r.key + ","
		}
	}
	args += fmt.Sprintf("units=1,spread=%d,first=%d", r.spread, r.first)
	return []string{name, fmt.Sprintf("%016x", r.haulier), r.id, args}
}

// run sends reqs until the context ends, and returns when all are answered or given up.
func (l *load) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.w.Seed, 77))
	rate, began, due := l.w.rate(), time.Now(), 0.0
	for n := 0; ctx.Err() == nil; n++ {
		due += rng.ExpFloat64() / rate
		wait(ctx, time.Until(began.Add(time.Duration(due*1e9))))
		if ctx.Err() != nil {
			break
		}
		h := rng.IntN(l.w.Hauliers)
		r := &req{haulier: uint64(h + 1), id: fmt.Sprintf("%08x%08x", l.w.Seed&0xffffffff, n), class: l.w.classes[rng.IntN(len(l.w.classes))],
			plan: l.w.plans[h%len(l.w.plans)], spread: min(3, len(l.w.gateways)), first: h % len(l.w.gateways)}
		if r.class.Effect == "keyed" {
			r.key = fmt.Sprintf("%016x", n+1)
		}
		if l.w.Leave > 0 && rng.Float64() < l.w.Leave {
			r.leave = 1 + time.Duration(rng.Float64()*float64(r.class.Aim))
		}
		at := rng.IntN(r.spread)
		l.all.Go(func() { l.play(r, at) })
	}
	l.all.Wait()
}

// play sends one req by the front, and books what became of it.
func (l *load) play(r *req, at int) {
	sent := time.Now()
	l.count(1)
	end := l.exchange(r, at, sent)
	l.count(-1)
	sec := int(sent.Sub(l.w.began).Seconds())
	worth := r.class.Points * r.plan.Pays
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.secs) <= sec {
		l.secs = append(l.secs, second{})
	}
	s := &l.secs[sec]
	s.n[end]++
	s.asked += worth
	if end == served {
		s.earned += worth
	}
}

func (l *load) count(by int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open += by
}

// exchange sends a req to the gateways of its set that the front has in, and reads its answer.
func (l *load) exchange(r *req, at int, sent time.Time) outcome {
	var c *standin.Client
	var g *gateway
	reused := false
	for try := range r.spread { // the first of the set that takes the connection
		g = l.w.gateways[(r.first+(at+try)%r.spread)%len(l.w.gateways)]
		if !g.in.Load() {
			continue
		}
		if c, reused = l.take(g); c != nil {
			break
		}
	}
	if c == nil {
		return noWay
	}
	for again := false; ; again = true {
		end, kept, answered := l.once(r, g, c, sent)
		if kept {
			l.put(g, c)
			return end
		}
		c.Close()
		// A gateway may close a kept connection between two reqs; the client then sends once more, on a new one.
		if answered || again || !reused || end != lost {
			return end
		}
		var err error
		if c, err = standin.Dial(g.Listen, time.Second); err != nil {
			if g.harmed(sent, time.Now()) {
				return excused
			}
			return lost
		}
	}
}

// once sends a req on a connection and reads its answer. kept: the connection goes on; answered: something came, or the
// time is up.
func (l *load) once(r *req, g *gateway, c *standin.Client, sent time.Time) (end outcome, kept, answered bool) {
	gone := func(answered bool) (outcome, bool, bool) {
		if g.harmed(sent, time.Now()) {
			return excused, false, answered
		}
		if answered {
			l.w.judge.Fault(time.Now(), ruleLost, "%s (%s) at %s has no answer after %v", r.id, r.class.Name, g.name, time.Since(sent))
		}
		return lost, false, answered
	}
	c.SetDeadline(sent.Add(r.class.Deadline + lateness))
	if r.leave > 0 { // of reading alone: what it asks is written whole
		c.SetReadDeadline(sent.Add(r.leave))
	}
	if c.Send(r.words()) != nil {
		return gone(false)
	}
	v, err := c.Reply()
	took := time.Since(sent)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && r.leave > 0:
		c.Close()
		l.w.judge.leaves(r.id, time.Now())
		return left, false, true
	case err != nil && took >= r.class.Deadline:
		return gone(true)
	case err != nil:
		return gone(false)
	case c.R.Buffered() > 0:
		l.w.judge.Fault(time.Now(), ruleAnswers, "%s sent more than one answer to %s", g.name, r.id)
		return failed, false, true
	case v.Kind == '$' && v.Text == r.id:
		if took > r.class.Aim {
			return late, true, true
		}
		return served, true, true
	case v.Kind == '-' && (v.Text == "BUSY" || strings.HasPrefix(v.Text, "BUSY ")):
		return refused, true, true
	case v.Kind == '-':
		return failed, true, true
	}
	l.w.judge.Fault(time.Now(), ruleAnswers, "%s answered %s with %q, which no server made for it", g.name, r.id, v.Text)
	return failed, false, true
}

// take gives a connection to a gateway: one that is kept, or a new one; nil: it takes none.
func (l *load) take(g *gateway) (c *standin.Client, reused bool) {
	l.mu.Lock()
	if kept := l.pools[g.name]; len(kept) > 0 {
		c = kept[len(kept)-1]
		l.pools[g.name] = kept[:len(kept)-1]
	}
	l.mu.Unlock()
	if c != nil {
		return c, true
	}
	c, err := standin.Dial(g.Listen, time.Second)
	if err != nil {
		return nil, false
	}
	return c, false
}

func (l *load) put(g *gateway, c *standin.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.pools[g.name] = append(l.pools[g.name], c)
}

// so far adds up all seconds between two.
func (l *load) sum(from, to int) (s second) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := max(0, from); i < min(to, len(l.secs)); i++ {
		for o := range outcomes {
			s.n[o] += l.secs[i].n[o]
		}
		s.asked += l.secs[i].asked
		s.earned += l.secs[i].earned
	}
	return s
}

func (s second) share() float64 {
	if s.asked == 0 {
		return 1
	}
	return s.earned / s.asked
}

func (s second) String() string {
	var words []string
	for o := range outcomes {
		if s.n[o] > 0 {
			words = append(words, outcomeNames[o]+" "+strconv.Itoa(s.n[o]))
		}
	}
	return strings.Join(words, ", ")
}
