package hostile

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"dewhitch/internal/standin"
)

// Times of the usual clients.
const (
	usualWait     = 2 * time.Second        // time that a usual client waits for its answer, unless another one is set
	answerSlack   = 500 * time.Millisecond // time after the deadline from which an answer counts as missing
	usualInterval = 40 * time.Millisecond  // time between two requests of a client
	maxCrossings  = 20                     // number of times that a request is sent again as its connection was closed unread
)

// Results counts the requests of usual clients by how they ended.
type Results struct {
	Served, Refused, Failed int
	Overdue                 int           // requests that were answered after the client's wait, but within answerSlack
	Missing                 int           // requests without an answer in time
	Crossings               int           // connections that the gateway closed while a request was on its way
	Slowest                 time.Duration // time of the slowest answer, from its request's first sending
}

// String returns the counts and the slowest time in milliseconds.
func (r Results) String() string {
	return fmt.Sprintf("served %d, refused %d, failed %d, overdue %d, missing %d, crossings %d, slowest %d ms", r.Served, r.Refused, r.Failed,
		r.Overdue, r.Missing, r.Crossings, r.Slowest.Milliseconds())
}

// Requests returns the number of requests.
func (r Results) Requests() int { return r.Served + r.Refused + r.Failed + r.Overdue + r.Missing }

// RunUsual runs usual clients until the context ends, and returns what became of their requests. Each keeps its connection and opens
// another one if the gateway closes it; a request that crosses the close is sent again.
func RunUsual(ctx context.Context, d Deployment, clients int, seed uint64) Results {
	return RunWaiting(ctx, d, clients, usualWait, seed)
}

// RunWaiting is like RunUsual, with clients that wait for each answer for the given time.
func RunWaiting(ctx context.Context, d Deployment, clients int, wait time.Duration, seed uint64) Results {
	var mu sync.Mutex
	var total Results
	var running sync.WaitGroup
	for n := range clients {
		running.Go(func() {
			c := usualClient{deployment: d, wait: wait, rng: rand.New(rand.NewPCG(seed, uint64(n))), customer: 1<<32 + uint64(n)}
			defer c.close()
			for ctx.Err() == nil {
				c.request()
				pause(ctx, usualInterval/2+rand.N(usualInterval))
			}
			mu.Lock()
			defer mu.Unlock()
			total.add(c.results)
		})
	}
	running.Wait()
	return total
}

func (r *Results) add(other Results) {
	r.Served += other.Served
	r.Refused += other.Refused
	r.Failed += other.Failed
	r.Overdue += other.Overdue
	r.Missing += other.Missing
	r.Crossings += other.Crossings
	r.Slowest = max(r.Slowest, other.Slowest)
}

// usualClient is one client and its connection.
type usualClient struct {
	deployment Deployment
	wait       time.Duration // time that it waits for an answer
	rng        *rand.Rand
	customer   uint64
	conn       *standin.Client // nil if there is none
	results    Results
}

func (c *usualClient) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// request sends one request, again after each close that it crosses, and counts how it ended.
func (c *usualClient) request() {
	startedAt := time.Now()
	for range maxCrossings {
		reply, err := c.try(startedAt)
		if err == nil {
			c.count(reply, time.Since(startedAt))
			return
		}
		c.close()
		if time.Since(startedAt) >= c.wait+answerSlack {
			break
		}
		c.results.Crossings++
	}
	c.results.Missing++
}

// try sends a request that was first sent at startedAt, and waits for its answer until it counts as missing.
func (c *usualClient) try(startedAt time.Time) (standin.Reply, error) {
	if c.conn == nil {
		conn, err := standin.Dial(c.deployment.Addr, connectTimeout)
		if err != nil {
			pause(context.Background(), reconnectInterval)
			return standin.Reply{}, err
		}
		c.conn = conn
	}
	c.conn.SetDeadline(startedAt.Add(c.wait + answerSlack))
	remaining := max(time.Millisecond, c.wait-time.Since(startedAt))
	command := []string{"SVC.QUERY", customerID(c.customer), fmt.Sprintf("u%x-%x", c.customer, c.rng.Uint64()),
		c.deployment.arguments(c.deployment.QueryClass, remaining)}
	if err := c.conn.Send(command); err != nil {
		return standin.Reply{}, err
	}
	return c.conn.Reply()
}

func (c *usualClient) count(reply standin.Reply, took time.Duration) {
	c.results.Slowest = max(c.results.Slowest, took)
	switch {
	case took > c.wait:
		c.results.Overdue++
	case reply.Kind == '$' && !reply.Null:
		c.results.Served++
	case reply.Kind == '-' && len(reply.Text) >= 4 && reply.Text[:4] == "BUSY":
		c.results.Refused++
	default:
		c.results.Failed++
	}
}
