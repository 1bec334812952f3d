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

// Parameters of the simulated clients.
const (
	answerTolerance = 2 * time.Second // time after the deadline until a request counts as lost; a busy machine delays answers by less
	dialTimeout     = time.Second
	maxSpread       = 3 // maximum number of gateways that a customer's requests are spread over
)

// outcome is the outcome of a request as its client observed it.
type outcome int

const (
	served         outcome = iota
	late                   // served, but after the latency objective
	rejected               // answered with BUSY
	failed                 // answered with another error
	unreachable            // no gateway in rotation accepted a connection
	excused                // no answer, at a gateway that had a fault of the scenario
	unanswered             // no answer, at a gateway without a fault
	clientDeparted         // the client closed the connection before an answer
	outcomeCount           // number of outcomes
)

// outcomeNames are the names of outcomes in results.
var outcomeNames = [outcomeCount]string{"served", "late", "refused", "failed", "no_way", "excused", "lost", "left"}

// secondCounts totals the requests that were sent in one second, or in several.
type secondCounts struct {
	outcomes [outcomeCount]int
	offered  float64 // total value of the requests
	earned   float64 // value of the requests that were served in time
}

// servedRatio returns the ratio of the earned to the offered value; 1 if there were no requests.
func (s secondCounts) servedRatio() float64 {
	if s.offered == 0 {
		return 1
	}
	return s.earned / s.offered
}

// String lists the outcomes that occurred, with their counts.
func (s secondCounts) String() string {
	var counts []string
	for o := range outcomeCount {
		if s.outcomes[o] > 0 {
			counts = append(counts, outcomeNames[o]+" "+strconv.Itoa(s.outcomes[o]))
		}
	}
	return strings.Join(counts, ", ")
}

// loadGenerator simulates the customers' clients as an open loop: the times of requests do not depend on the outcome of others.
type loadGenerator struct {
	cluster  *cluster
	requests sync.WaitGroup // running requests

	mu           sync.Mutex
	seconds      []secondCounts               // requests by the second in which they were sent
	idle         map[string][]*standin.Client // idle connections by gateway
	openRequests int                          // number of requests without an outcome yet
}

// newLoadGenerator returns the load generator of a cluster. It has no connections yet.
func newLoadGenerator(cluster *cluster) *loadGenerator {
	return &loadGenerator{cluster: cluster, idle: map[string][]*standin.Client{}}
}

// clientRequest is one request of a client.
type clientRequest struct {
	customer     uint64
	id           string
	class        class
	plan         standin.Plan
	key          string        // idempotency key; empty if the class has none
	firstGateway int           // index of the customer's first gateway
	spread       int           // number of gateways, from the first on, that may receive the request
	departAfter  time.Duration // time after which the client closes the connection; 0 if it waits for the answer
}

// command returns the arguments of the request's command on the wire.
func (r *clientRequest) command() []string {
	args := fmt.Sprintf("c=%s,t=%s,d=%d,", r.class.Name, r.plan.Name, r.class.Deadline.Milliseconds())
	name := "SVC.QUERY"
	if !r.class.query {
		name = "SVC.SUBMIT"
		if r.key != "" {
			args += "k=" + r.key + ","
		}
	}
	args += fmt.Sprintf("units=1,spread=%d,first=%d", r.spread, r.firstGateway)
	return []string{name, fmt.Sprintf("%016x", r.customer), r.id, args}
}

// run sends requests as a Poisson process until ctx ends, and returns once all have an outcome.
func (l *loadGenerator) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.cluster.Seed, 77))
	rate := l.cluster.rate()
	startedAt := time.Now()
	nextAt := 0.0 // seconds from startedAt to the next request
	for n := 0; ctx.Err() == nil; n++ {
		nextAt += rng.ExpFloat64() / rate
		sleep(ctx, time.Until(startedAt.Add(time.Duration(nextAt*1e9))))
		if ctx.Err() != nil {
			break
		}
		request := l.draw(rng, n)
		offset := rng.IntN(request.spread)
		l.requests.Go(func() { l.send(request, offset) })
	}
	l.requests.Wait()
}

// draw generates the n-th request. The order of the draws must not change: it determines the load that a seed stands for.
func (l *loadGenerator) draw(rng *rand.Rand, n int) *clientRequest {
	cluster := l.cluster
	customer := rng.IntN(cluster.Customers)
	request := &clientRequest{
		customer:     uint64(customer + 1),
		id:           fmt.Sprintf("%08x%08x", cluster.Seed&0xffffffff, n),
		class:        cluster.classes[rng.IntN(len(cluster.classes))],
		plan:         cluster.plans[customer%len(cluster.plans)],
		spread:       min(maxSpread, len(cluster.gateways)),
		firstGateway: customer % len(cluster.gateways),
	}
	if request.class.Effect == "keyed" {
		request.key = fmt.Sprintf("%016x", n+1)
	}
	if cluster.DepartRatio > 0 && rng.Float64() < cluster.DepartRatio {
		request.departAfter = 1 + time.Duration(rng.Float64()*float64(request.class.Aim))
	}
	return request
}

// send sends one request to a gateway in rotation and counts its outcome. offset selects the gateway to try first.
func (l *loadGenerator) send(request *clientRequest, offset int) {
	sentAt := time.Now()
	l.addOpenRequests(1)
	result := l.exchange(request, offset, sentAt)
	l.addOpenRequests(-1)
	second := int(sentAt.Sub(l.cluster.startedAt).Seconds())
	value := request.class.Points * request.plan.Pays
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.seconds) <= second {
		l.seconds = append(l.seconds, secondCounts{})
	}
	s := &l.seconds[second]
	s.outcomes[result]++
	s.offered += value
	if result == served {
		s.earned += value
	}
}

// addOpenRequests adds delta to the number of requests without an outcome.
func (l *loadGenerator) addOpenRequests(delta int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.openRequests += delta
}

// exchange sends a request to a gateway in rotation and reads its answer. A gateway may close an idle connection while a request
// is being sent on it; the client then sends the request once more, on a new connection.
func (l *loadGenerator) exchange(request *clientRequest, offset int, sentAt time.Time) outcome {
	g, c, reused := l.connect(request, offset)
	if c == nil {
		return unreachable
	}
	result, reusable, answered := l.attempt(request, g, c, sentAt)
	if l.finish(g, c, reusable) || answered || !reused || result != unanswered {
		return result
	}
	c, err := standin.Dial(g.Listen, dialTimeout)
	if err != nil {
		if g.hadFault(sentAt, time.Now()) {
			return excused
		}
		return unanswered
	}
	result, reusable, _ = l.attempt(request, g, c, sentAt)
	l.finish(g, c, reusable)
	return result
}

// connect returns a connection to the first gateway of the request's spread that is in rotation and accepts one. The connection
// is nil if there is no such gateway. reused is true for a connection that has served a request before.
func (l *loadGenerator) connect(request *clientRequest, offset int) (g *gateway, c *standin.Client, reused bool) {
	gateways := l.cluster.gateways
	for i := range request.spread {
		g = gateways[(request.firstGateway+(offset+i)%request.spread)%len(gateways)]
		if !g.inRotation.Load() {
			continue
		}
		if c, reused = l.acquire(g); c != nil {
			return g, c, reused
		}
	}
	return nil, nil, false
}

// finish adds a reusable connection to the idle ones, or closes it if it is not reusable. It returns reusable.
func (l *loadGenerator) finish(g *gateway, c *standin.Client, reusable bool) bool {
	if reusable {
		l.release(g, c)
	} else {
		c.Close()
	}
	return reusable
}

// attempt sends a request on a connection and reads its answer. reusable is true if the connection can serve another request;
// answered is true if an answer was received, the deadline has expired, or the client closed the connection. A client that
// departs only stops reading: the request is always written whole.
func (l *loadGenerator) attempt(request *clientRequest, g *gateway, c *standin.Client, sentAt time.Time) (result outcome, reusable, answered bool) {
	c.SetDeadline(sentAt.Add(request.class.Deadline + answerTolerance))
	if request.departAfter > 0 {
		c.SetReadDeadline(sentAt.Add(request.departAfter))
	}
	if c.Send(request.command()) != nil {
		return l.disconnected(request, g, sentAt, false), false, false
	}
	reply, err := c.Reply()
	elapsed := time.Since(sentAt)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) && request.departAfter > 0:
		c.Close()
		l.cluster.checker.clientDeparted(request.id, time.Now())
		return clientDeparted, false, true
	case err != nil:
		expired := elapsed >= request.class.Deadline
		return l.disconnected(request, g, sentAt, expired), false, expired
	case c.R.Buffered() > 0:
		l.cluster.checker.report(time.Now(), ruleInvalidAnswer, "%s sent more than one answer to %s", g.name, request.id)
		return failed, false, true
	}
	if result, ok := classify(request, reply, elapsed); ok {
		return result, true, true
	}
	l.cluster.checker.report(time.Now(), ruleInvalidAnswer, "%s answered %s with %q, which no server sent for it", g.name, request.id, reply.Text)
	return failed, false, true
}

// disconnected returns the outcome of a request without an answer. It reports a violation if the deadline had expired and the
// gateway had no fault of the scenario.
func (l *loadGenerator) disconnected(request *clientRequest, g *gateway, sentAt time.Time, expired bool) outcome {
	if g.hadFault(sentAt, time.Now()) {
		return excused
	}
	if expired {
		l.cluster.checker.report(time.Now(), ruleLost, "%s (%s) at %s has no answer after %v", request.id, request.class.Name, g.name, time.Since(sentAt))
	}
	return unanswered
}

// classify returns the outcome of an answer. ok is false if no server can have sent the answer to this request.
func classify(request *clientRequest, reply standin.Reply, elapsed time.Duration) (result outcome, ok bool) {
	switch {
	case reply.Kind == '$' && reply.Text == request.id && elapsed > request.class.Aim:
		return late, true
	case reply.Kind == '$' && reply.Text == request.id:
		return served, true
	case reply.Kind == '-' && (reply.Text == "BUSY" || strings.HasPrefix(reply.Text, "BUSY ")):
		return rejected, true
	case reply.Kind == '-':
		return failed, true
	}
	return failed, false
}

// acquire returns an idle connection to a gateway, or opens one. It returns nil if the gateway accepts none.
func (l *loadGenerator) acquire(g *gateway) (c *standin.Client, reused bool) {
	if c := l.popIdle(g); c != nil {
		return c, true
	}
	c, err := standin.Dial(g.Listen, dialTimeout)
	if err != nil {
		return nil, false
	}
	return c, false
}

// popIdle removes and returns the idle connection to a gateway that was used last. It returns nil if there is none.
func (l *loadGenerator) popIdle(g *gateway) *standin.Client {
	l.mu.Lock()
	defer l.mu.Unlock()
	idle := l.idle[g.name]
	if len(idle) == 0 {
		return nil
	}
	l.idle[g.name] = idle[:len(idle)-1]
	return idle[len(idle)-1]
}

// release adds a connection to the idle ones of a gateway.
func (l *loadGenerator) release(g *gateway, c *standin.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idle[g.name] = append(l.idle[g.name], c)
}

// sum totals the seconds in [from, to).
func (l *loadGenerator) sum(from, to int) (s secondCounts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := max(0, from); i < min(to, len(l.seconds)); i++ {
		for o := range outcomeCount {
			s.outcomes[o] += l.seconds[i].outcomes[o]
		}
		s.offered += l.seconds[i].offered
		s.earned += l.seconds[i].earned
	}
	return s
}
