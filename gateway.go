package dewhitch

// The module: tuned values and clockwork; it decides in request.go, quota.go, counting.go and servers.go.

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"

	"dewhitch/internal/ratelimit"
)

// The tuned values. Each is relative to something the settings tell.
const (
	windowBursts  = 2.0         // a window lasts so many bursts: a listed customer waits it out, room or not
	maxWindow     = 60 * second // the counter forgets a name after that
	expireEvery   = 5 * second  // idle accounts are looked for so often
	pushesAWindow = 4           // ordinary batches: a quarter of a window apart
	nearShare     = 0.25        // a tally of this share of the room is pushed without waiting for the period
	shareFloor    = 0.125       // of the rate, over all gateways: what a quiet gateway is taken to ask
	blindSigmas   = 0.25        // unseen use of others is reserved up to so many standard deviations
	staleWindows  = 0.5         // a total older than this share of a window no longer tells of others
	askedFade     = 0.7         // of what was asked in earlier windows, in a new one
	keptShare     = 0.7         // of the store, for what earns more than a request that earns next to nothing
	thinBursts    = 0.5         // beyond the rate in a thin customer's window: few stores start empty
	easeUse       = 0.5         // of the rate: a thin customer that asks for less is not checked
	limitSpare    = 8           // the part of a query's time that its answer needs on its way
	countGrain    = 0.01        // units: what a total may be off by, given to seven digits

	aimUse        = 0.25       // of the aim: a first attempt must be expected within it, as work varies
	idleUse       = 2.5        // or within so many times the latency of servers at ease, if that is more
	idleSamples   = 1000.0     // after which that is forgotten
	beyondUse     = 0.4        // of that threshold for what is beyond its quota: the first to go when pressed
	hedgeAt       = 0.5        // share of the aim after which an unanswered attempt gets a second one
	retryShare    = 0.1        // further attempts for each request taken
	retryBurst    = 10.0       // and this many at once
	latencyWeight = 0.1        // of a new sample in a server's latency
	maxWeight     = 0.4        // of one after a while in which there was none
	startLatency  = 0.15       // of the classes' mean aim: a server's latency before it has answered
	sendSpan      = 5 * second // over which a gateway's own rate is measured
	coldUse       = 0.5        // of what is sent and what asks for a server: a cold one's part, by its capacity
	failures      = 3          // unanswered attempts show that a server hangs; it is avoided for so many turns
	ejectLongest  = 32 * second
	recoverSpan   = second // over which an idle server's latency goes to the mean, and an old mean is forgotten
	recoverGaps   = 3.0    // or over so many times the span between two attempts on it, if that is longer
	reportWeight  = 0.8    // of a server's report in its latency, for a gateway that sees little of it itself
	apertureGap   = 2.0    // seconds between two attempts on a server: servers beyond that many are left out
	leastAperture = 6      // of servers
	minPoints     = 1e-6   // a class that earns nothing still has a place in line
	maxSize       = 4.0    // of the mean: more is a trouble of the server, not the class
	sizeGuess     = 16.0   // samples: what a class is taken for until it has shown its size counts as so many
	maxStray      = 2.0    // of the mean latency: more counts as this much, as it is one server's trouble
	parallel      = 2.0    // attempts that a server is taken to run side by side
	crossZone     = 0.1    // what a server of another zone must be better by
	maxEjected    = 0.5    // of the ready servers, or of attempts; if more are bad, all are pressed
	mostSwept     = 256    // servers that one sweep looks at
)

// Gateway is one instance of the module.
type Gateway struct {
	set                       Settings
	rng                       *rand.Rand
	now                       Instant
	acts                      []Action
	servers                   []*server        // in order of rank
	ready                     []*server        // of them, those that may be sent to
	fed                       int              // of those, how many the fleet feeds
	suspects                  map[*server]bool // that something may speak against
	outs                      []int            // by class, as out counted them
	outAt                     []Instant        // and when
	swept                     int              // the next server to be swept
	byID                      map[ServerID]*server
	requests                  map[RequestID]*request
	customers                 map[CustomerID]*customer
	timers                    map[TimerID]func()
	lastTimer                 int64
	pushes                    []*customer // those with something to push or to ask
	started                   bool
	startAt                   Instant
	calls                     *ratelimit.Limiter // of the counter, which all gateways share
	names                     map[string]*customer
	budget                    float64
	latency                   float64 // smoothed, over all servers
	measured                  Instant // when an answer last told a latency
	idle                      float64 // the least latency of late: that of servers at ease
	sent, wanted, tried, good float64 // leaking: attempts, wishes for a server, to go on, attempts in time
	leaked                    Instant
	cut                       map[int]float64 // by zone: share of attempts there that speak against it, of late
	sizes, sized              []float64       // by class: its latency against the mean of all; samples of it
	worth                     float64         // mean points of what arrives, for its work
	minAim                    Span
	endBy                     Instant // every request is answered by then; 0: this gateway does not end
}

// New makes a gateway that knows nothing yet.
func New(s Settings, seed uint64) (*Gateway, error) {
	if err := s.validate(); err != nil {
		return nil, err
	}
	g := &Gateway{set: s, rng: rand.New(rand.NewPCG(seed, 1)), byID: map[ServerID]*server{},
		requests: map[RequestID]*request{}, customers: map[CustomerID]*customer{}, timers: map[TimerID]func(){},
		names: map[string]*customer{}, suspects: map[*server]bool{}, outs: make([]int, len(s.Classes)),
		outAt: make([]Instant, len(s.Classes)), cut: map[int]float64{}, minAim: s.Classes[0].Objective,
		budget: retryBurst,
		worth:  max(s.Classes[0].Weight, minPoints), calls: ratelimit.New(seconds(s.CounterTimeout), s.Instances)}
	for _, c := range s.Classes {
		g.sizes, g.sized = append(g.sizes, 1), append(g.sized, sizeGuess)
		g.minAim = min(g.minAim, c.Objective)
		g.latency += startLatency * seconds(c.Objective) / float64(len(s.Classes))
	}
	g.idle = g.latency
	return g, nil
}

// Handle takes one event and appends the actions it leads to.
func (g *Gateway) Handle(now Instant, e Event, acts []Action) []Action {
	g.now, g.acts = now, acts
	if !g.started {
		g.started, g.startAt, g.leaked = true, now, now
		if g.set.ListOnRequest {
			g.acts = append(g.acts, SubscribeEndpoints{})
		}
		g.after(g.sweepEvery(), g.sweep)
		g.after(expireEvery, g.expire)
	}
	switch e := e.(type) {
	case EndpointList:
		g.list(e)
	case Arrival:
		g.arrive(e, false)
	case LimitQuery:
		g.query(e.arrival(0))
	case LimitAdjust:
		if a := e.arrival(e.Units); e.Units > 0 {
			g.arrive(a, true)
		} else {
			g.query(a)
		}
	case AnswerStarted:
		if r := g.requests[e.Request]; r != nil {
			r.customer.begun += 1 - r.begun
			r.done, r.begun = true, 1 // the client owns the attempt from now on
		}
	case AttemptEnded:
		g.ended(e)
	case ClientLeft:
		if r := g.requests[e.Request]; r != nil {
			g.finish(r, nil)
		}
	case Expedite:
		g.answerNow(e.Request)
	case Shutdown:
		g.end(e.By)
	case TimerFired:
		if f := g.timers[e.ID]; f != nil {
			delete(g.timers, e.ID)
			f()
		}
	case CounterAnswered:
		g.counted(e)
	}
	acts, g.acts = g.acts, nil
	return acts
}

// Tally tells what a customer's tally holds, for bookkeeping; not known: the account was dropped, with its tally.
func (g *Gateway) Tally(id CustomerID) (units float64, known bool) {
	c, known := g.customers[id]
	if known {
		units = c.tally
	}
	return units, known
}

func (g *Gateway) at(t Instant, f func()) {
	g.lastTimer++
	id := TimerID(strconv.FormatInt(g.lastTimer, 36))
	g.timers[id] = f
	g.acts = append(g.acts, SetTimer{At: t, ID: id})
}

func (g *Gateway) after(d Span, f func()) { g.at(g.now+Instant(d), f) }

// sweepEvery is how often the periodic work is looked at: a fraction of the counter's time-out.
func (g *Gateway) sweepEvery() Span { return max(2*g.set.Tick, g.set.CounterTimeout/5, second/100) }

// sweep runs the periodic work.
func (g *Gateway) sweep() {
	g.after(g.sweepEvery(), g.sweep)
	for _, near := range []bool{true, false} { // where calls are short, those whose store is go first
		g.pushes = slices.DeleteFunc(g.pushes, func(c *customer) bool {
			c.queued = c.calling || !g.push(c, near)
			return !c.queued
		})
	}
	// Danger: who refuses all by old estimates does not learn that things are better. An idle server's goes to
	// that of servers at ease, or, the less is seen of one, to the mean; with none measured, the mean fades.
	part, seen := seconds(g.sweepEvery())/seconds(recoverSpan), 1-g.blind()
	if g.now-g.measured > Instant(recoverSpan) {
		g.latency *= 1 - part
	} else {
		part /= max(1, recoverGaps*g.gap()/seconds(recoverSpan))
	}
	// Of many servers some are looked at in turn, each for all of the sweeps since its last.
	n := min(len(g.servers), mostSwept)
	if sweeps := (len(g.servers) + mostSwept - 1) / mostSwept; sweeps > 1 {
		part = 1 - math.Pow(1-min(1, part), float64(sweeps))
	}
	for range n {
		if g.swept++; g.swept >= len(g.servers) {
			g.swept = 0
		}
		if s := g.servers[g.swept]; s.out == 0 {
			s.latency += (g.latency + seen*seen*(g.idle-g.latency) - s.latency) * part
		}
	}
}
