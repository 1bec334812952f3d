// Package ratelimit says when a caller of a shared service may call it, where the callers can't talk to each other and
// none knows what the service bears: each goes by how its own calls were answered. It owns the pace of one caller.
// It never calls anything, waits or reads a clock, and it is not safe for concurrent use.
package ratelimit

// Shares of the time-out, and factors of the pace; five good answers make up for three bad ones.
const (
	most    = 8.0    // calls for each time-out, at most, from one caller
	backoff = 20     // time-outs between two calls, at most, while they fail
	back    = 4.0    // calls for each time-out, of all callers together, once one is answered again
	slow    = 0.25   // of the time-out: an answer slower than the quickest by more shows a line at the service
	up      = 1.1    // what a good answer makes of the pace
	down    = 0.85   // and a slow one, or none
	again   = 3.0    // and a good one after an outage, up to the pace that was borne before
	outage  = 8      // calls in a row without an answer: that is no line at the service any more, it is away
	borne   = 0.2    // weight of a good answer's pace in what the service is known to bear
	forget  = 1000.0 // answers, after which the quickest of them is forgotten
)

// Limiter is the pace of one caller. Times are in seconds, instants in nanoseconds on a clock of the caller's.
type Limiter struct {
	timeout, callers float64
	rate, quickest   float64 // calls a second; the quickest answer of late
	bore             float64 // calls a second that were answered well; an outage says nothing against it
	lost             int     // calls in a row that got no answer
	stock            float64 // calls that may be made now
	at               int64
}

// New starts slowly: one call for each time-out, in seconds. A service that sets none still has a thousandth of one.
func New(timeout float64, callers int) *Limiter {
	return &Limiter{timeout: timeout, callers: float64(callers), rate: 1 / max(1e-3, timeout), quickest: timeout}
}

// Allow tells that a call may be made now. Up to a time-out's worth of calls is saved up.
func (p *Limiter) Allow(now int64) bool {
	p.stock = min(max(1, p.rate*p.timeout), p.stock+p.rate*float64(now-p.at)/1e9)
	p.at = now
	return p.stock >= 1
}

// Spend takes a call off what may be made; one that could not wait may be made before its turn.
func (p *Limiter) Spend() { p.stock-- }

// Observe learns from the end of a call. Danger: the way to the service alone may take long, and is no line at it;
// so what counts is how much slower than the quickest an answer was. Danger: after an outage the pace is least, and so are
// the answers that would raise it: by up alone it took longer to come back than the outage had lasted.
func (p *Limiter) Observe(ok bool, latency float64) {
	p.lost++
	if ok {
		p.quickest = min(p.quickest+p.quickest/forget, latency)
		p.lost = 0
	}
	switch {
	case !ok || latency > p.quickest+slow*p.timeout:
		p.rate = max(down*p.rate, 1/(backoff*p.timeout))
		if p.lost < outage {
			p.bore *= down
		}
	case p.rate < p.bore:
		p.rate = min(again*p.rate, p.bore)
	default:
		if p.stock < 1 { // a pace that is not used up says nothing of what the service bears
			p.rate = min(most/p.timeout, max(p.rate*up, back/p.timeout/p.callers))
		}
		p.bore += borne * (p.rate - p.bore)
	}
}

// Export is what the pacer has found out, for the process that replaces its own.
func (p *Limiter) Export() (rate, quickest float64) { return p.rate, p.quickest }

// Resume starts from what another one had learnt, inside the bounds that hold here. Danger: what it saved up is not taken
// over, as that one may be at work still and make those calls itself.
func (p *Limiter) Resume(rate, quickest float64) {
	if rate > 0 && quickest > 0 { // not so for what is no number
		p.rate = min(most/p.timeout, max(rate, 1/(backoff*p.timeout)))
		p.quickest = min(p.timeout, quickest)
	}
}
