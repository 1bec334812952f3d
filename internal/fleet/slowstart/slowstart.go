// Package slowstart shares out, over all gateways of a fleet, what each server that has just begun, or whose zone is returned to,
// may be sent: one budget a server, shared by what each gateway has to send, and given on lease. It is pure: the leader's
// agent hands it time, reports and the list. docs/design/return.md has the rules and the ways not taken.
package slowstart

import (
	"maps"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dewhitch/internal/fleet"
)

// Server is one of the list, as far as it matters here.
type Server struct {
	ID    uint32
	Zone  string
	Since int64 // its last start, or since when its zone is returned to; Unix ms; 0: long ago
	Use   Use
}

// Use is who may send there at all.
type Use int

// The uses.
const (
	UseFully           Use = iota // every gateway that Eligible allows
	UseForHealthChecks            // the probers alone, and little
	UseNever                      // nobody: its zone is out
)

// Config are the settings' words on cold servers.
type Config struct {
	Start float64       // the least share of its capacity that a server has
	Span  time.Duration // until it has all
	Lease time.Duration
}

// Grant is what one gateway may send to fed servers, in fetches a second. It goes with the leader's answers to statuses. A
// cold server that is not named gets nothing.
type Grant struct {
	Rates map[uint32]float64 `cbor:"1,keyasint,omitempty"`
}

// Encode is a feed on the wire.
func (f Grant) Encode() []byte {
	b, err := cbor.Marshal(f)
	if err != nil {
		panic("ramp: " + err.Error()) // of plain types
	}
	return b
}

// Read reads a feed, and refuses one with absurd numbers.
func Read(b []byte) (f Grant, ok bool) {
	if cbor.Unmarshal(b, &f) != nil || len(f.Rates) > mostFed {
		return Grant{}, false
	}
	for _, r := range f.Rates {
		if !(r >= 0 && r < 1e6) {
			return Grant{}, false
		}
	}
	return f, true
}

const (
	mostFed    = 256 // servers that are fed at once; those beyond wait until they are warm by age
	demandOver = 2.0 // seconds over which a gateway's demand is smoothed
	silence    = 1.5 // leases for which a new leader gives nothing: what the one before gave may be spent that long
	illNow     = 0.2 // share of a second's fetches that speaks against a server
	leastIll   = 3
	stepEvery  = time.Second
	stepDown   = 0.5
	stepUp     = 0.1
	leastPart  = 0.1              // of what its warmth allows, however much speaks against it
	probeRate  = 4.0              // fetches a second to all servers of a zone that is probed
	smooth     = 0.02             // of a report in the mean latency
	slowTimes  = 2.5              // of the mean latency, after what its warmth explains
	forget     = 30 * time.Second // without a word of a gateway
)

// member is a gateway as the leader knows it.
type member struct {
	heard  time.Duration
	demand float64 // fetches a second that it has to send
	grants []grant // that it may still act on, the oldest first
}

// grant is what was given to a gateway at one status of its.
type grant struct {
	seq   uint64
	until time.Duration
	rates map[uint32]float64
}

// health is what speaks for or against a server of late.
type health struct {
	part      float64 // of what its warmth allows
	good, bad uint64
	micros    uint64
	stepped   time.Duration
}

// round is what holds of a fed server until the next round.
type round struct {
	budget float64 // of all together, fetches a second
	asks   float64 // the demand of those that may send there
	held   float64 // what may still be spent of what was given; too much rather than too little
}

// Allocator is the leader's part. Every voter's is fed with evidence, so that the next leader knows the demand.
type Allocator struct {
	cfg     Config
	began   time.Duration // when this process began to lead
	reign   uint64        // in which it does; 0: it does not
	members map[string]*member
	health  map[uint32]*health
	round   map[uint32]*round
	may     func(gateway string, server uint32) bool
	mean    float64 // microseconds of a served fetch, smoothed
}

// New makes one that knows nobody.
func New(cfg Config) *Allocator {
	return &Allocator{cfg: cfg, members: map[string]*member{}, health: map[uint32]*health{},
		round: map[uint32]*round{}}
}

func (f *Allocator) member(name string) *member {
	m := f.members[name]
	if m == nil {
		m = &member{}
		f.members[name] = m
	}
	return m
}

// Observe takes what a gateway saw since it last told, and the status whose answer it acts on.
func (f *Allocator) Observe(now time.Duration, gateway string, acts uint64, delta fleet.Report) {
	m := f.member(gateway)
	tries := uint64(0)
	for _, c := range delta.Zones {
		tries += c.Attempts
		if c.Served > 0 {
			took := float64(c.LatencyMicros) / float64(c.Served)
			if f.mean == 0 {
				f.mean = took
			}
			f.mean += smooth * (took - f.mean)
		}
	}
	if took := (now - m.heard).Seconds(); m.heard > 0 && took > 0 {
		part := 1 - math.Exp(-took/demandOver)
		m.demand += part * ((float64(tries)+float64(delta.Requests))/2/took - m.demand)
	}
	m.heard = now
	for len(m.grants) > 0 && (m.grants[0].until <= now || m.grants[0].seq < acts) {
		m.grants = m.grants[1:]
	}
	for id, s := range delta.Servers {
		h := f.health[id]
		if h == nil {
			continue // it is not fed
		}
		h.good += s.Served
		h.bad += s.ConnectFailed + s.TimedOut + s.Failed + s.Rejected
		h.micros += s.LatencyMicros
	}
}

// SetLeaderTerm tells whether this process leads, and in which reign: 0: it does not. What was given in another reign may still be
// spent for a while. Danger: a process that was stopped may lead again without having noticed that it did not.
func (f *Allocator) SetLeaderTerm(now time.Duration, reign uint64) {
	if reign != f.reign && reign != 0 {
		f.began = now
		for _, m := range f.members {
			m.grants = nil // the silence covers them
		}
	}
	f.reign = reign
}

// Demand is how many fetches a second all gateways have to send.
func (f *Allocator) Demand() (sum float64) {
	for _, m := range f.members {
		sum += m.demand
	}
	return sum
}

// warmth is the least share of its capacity that a server has reached.
func (f *Allocator) warmth(unix int64, s Server) float64 {
	age := time.Duration(unix-s.Since) * time.Millisecond
	if s.Since <= 0 || age >= f.cfg.Span {
		return 1
	}
	return f.cfg.Start + (1-f.cfg.Start)*max(0, age.Seconds())/f.cfg.Span.Seconds()
}

// Budgets is what each server that is fed may be sent by all together, in fetches a second.
func (f *Allocator) Budgets(now time.Duration, unix int64, servers []Server) map[uint32]float64 {
	budgets := map[uint32]float64{}
	used, demand, probed := 0, 0.0, map[string]int{}
	for _, s := range servers {
		switch s.Use {
		case UseFully:
			used++
		case UseForHealthChecks:
			probed[s.Zone]++
		}
	}
	for name, m := range f.members {
		if now-m.heard > forget {
			delete(f.members, name)
			continue
		}
		demand += m.demand
	}
	full := demand / float64(max(1, used))
	for _, s := range servers {
		warm := f.warmth(unix, s)
		if s.Use == UseNever || s.Use == UseFully && warm >= 1 || len(budgets) >= mostFed {
			continue
		}
		if s.Use == UseForHealthChecks {
			budgets[s.ID] = min(warm*max(full, 1), probeRate/float64(probed[s.Zone]))
			continue
		}
		budgets[s.ID] = warm * full * f.part(now, s.ID, warm)
	}
	maps.DeleteFunc(f.health, func(id uint32, _ *health) bool { _, fed := budgets[id]; return !fed })
	return budgets
}

// part steps a server's budget down when the last second speaks against it, and up again.
func (f *Allocator) part(now time.Duration, id uint32, warm float64) float64 {
	h := f.health[id]
	if h == nil {
		h = &health{part: 1, stepped: now}
		f.health[id] = h
	}
	if now-h.stepped < stepEvery {
		return h.part
	}
	all := h.good + h.bad
	slow := h.good >= leastIll && f.mean > 0 && float64(h.micros)/float64(h.good) > slowTimes*f.mean/warm
	if h.bad >= leastIll && float64(h.bad) >= illNow*float64(all) || slow {
		h.part = max(leastPart, h.part*stepDown)
	} else {
		h.part = min(1, h.part+stepUp)
	}
	h.good, h.bad, h.micros, h.stepped = 0, 0, 0, now
	return h.part
}

// Allocate reckons anew what servers may be sent, several times a second; may tells who may send to one at all. It tells
// whether any is fed. Danger: reckoned at each grant, the leader's cost would grow with the square of the fleet.
func (f *Allocator) Allocate(now time.Duration, unix int64, servers []Server, may func(gateway string, server uint32) bool) bool {
	f.may, f.round = may, map[uint32]*round{}
	for id, budget := range f.Budgets(now, unix, servers) {
		r := &round{budget: budget}
		for name, m := range f.members {
			if may(name, id) {
				r.asks += m.demand
			}
			r.held += m.held(now, id)
		}
		f.round[id] = r
	}
	return len(f.round) > 0
}

// Grant is what a gateway may send from now on, for a lease, in answer to its status seq.
//
// Danger: what was given to others, and may still be spent, is taken off first: shares that shift must never add up to more
// than the budget, and a gateway that is lost or stalled keeps its share until its lease is over.
func (f *Allocator) Grant(now time.Duration, gateway string, seq uint64) Grant {
	m := f.member(gateway)
	feed := Grant{Rates: map[uint32]float64{}}
	if f.reign != 0 && now-f.began >= time.Duration(silence*float64(f.cfg.Lease)) {
		for id, r := range f.round {
			if !f.may(gateway, id) {
				continue
			}
			own := m.held(now, id)
			if share := min(r.budget*m.demand/max(r.asks, 1e-9), r.budget-max(0, r.held-own)); share > 0 {
				feed.Rates[id] = share
				r.held += max(0, share-own)
			}
		}
	}
	if len(feed.Rates) > 0 || len(m.grants) > 0 {
		m.grants = append(m.grants, grant{seq, now + f.cfg.Lease, feed.Rates})
	}
	return feed
}

// held is the most that a gateway may still send to a server by what it was given.
func (m *member) held(now time.Duration, id uint32) (most float64) {
	for _, g := range m.grants {
		if g.until > now {
			most = max(most, g.rates[id])
		}
	}
	return most
}
