// Package evacuation judges zones by what all gateways of a fleet see of them, and says who should leave which one, who may look
// whether it is well again, and when all return. It is pure: whoever owns a Judge hands it reports and the time, and has the
// fleet settle what it says. docs/design/zone.md has the rules and the ways not taken.
package evacuation

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"dewhitch/internal/fleet"
)

// State is what the fleet has settled of a zone. One that nothing is said of is in.
type State string

// The states.
const (
	Evacuated State = "out"       // nothing new is sent there
	Probing   State = "probing"   // the probers alone send there
	Returning State = "returning" // all do, as to servers that began at Since
)

// Status is what is settled of a zone's servers, for all gateways or for those of one zone.
type Status struct {
	State        State    `cbor:"1,keyasint" json:"state"`
	Since        int64    `cbor:"2,keyasint" json:"since"` // of this state, Unix ms by the leader's clock
	FailedProbes int      `cbor:"3,keyasint" json:"fails"` // returns that failed, one after the other
	Reason       string   `cbor:"4,keyasint" json:"why"`
	Probers      []string `cbor:"5,keyasint,omitempty" json:"probers,omitempty"`
	By           string   `cbor:"6,keyasint,omitempty" json:"by,omitempty"`       // an operator; empty: the fleet itself
	Until        int64    `cbor:"7,keyasint,omitempty" json:"until,omitempty"`    // of an operator's leave, Unix ms; 0: until return
	Hold         bool     `cbor:"8,keyasint,omitempty" json:"hold,omitempty"`     // an operator's: not left by the fleet
	Probes       int      `cbor:"9,keyasint,omitempty" json:"probes,omitempty"`   // that failed since the zone was left, or returned to last
	Partial      bool     `cbor:"11,keyasint,omitempty" json:"partial,omitempty"` // it served some when it was left: better than nothing
	AnyRequest   bool     `cbor:"10,keyasint,omitempty" json:"any,omitempty"`     // probes take any class: no other came to the prober
}

// Statuses are all that is settled, by the zone of the servers, or "FROM>TO" for the gateways of one zone alone.
type Statuses map[string]Status

// Section is where the plan has them.
const Section = "zones"

// For is what holds for the gateways of a zone, of the servers of another. What is settled for all goes first.
func (v Statuses) For(from, to string) (Status, bool) {
	if w, ok := v[to]; ok {
		return w, !w.Hold // an operator's hold is for the ways there as well
	}
	w, ok := v[from+">"+to]
	return w, ok
}

// Config bounds what the judge may say.
type Config struct {
	Windows      []time.Duration // of the evidence, the shortest first; any one that is clear is enough
	MaxEvacuated int             // zones that may be out at once; 0: a third of them, one at least where there are two
	Again        time.Duration   // between leaving and the first probe
	MostAgain    time.Duration   // the same after probes and returns that failed
	Ramp         time.Duration   // of a return
	Patience     time.Duration   // of a probe, for evidence
}

// Defaults are the values that gateways use.
var Defaults = Config{Windows: []time.Duration{300 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond,
	2400 * time.Millisecond}, Again: 3 * time.Second, MostAgain: 60 * time.Second, Ramp: 13 * time.Second,
	Patience: 8 * time.Second}

const (
	bucket    = 200 * time.Millisecond
	leastBad  = 4               // fetches, of a zone's, before it is ill
	illShare  = 0.5             // of the fetches
	illWay    = 0.8             // the same of a way: one that is cut carries nothing
	illVoters = 0.7             // of the gateways that saw any
	illRest   = 0.25            // of the fetches to the other zones, at most
	wellNeeds = 3               // fetches that a probe has to see served
	slowTimes = 3.5             // the usual time: the servers there are as good as ill
	never     = 1e9             // an answer that takes so many times as long as usual: none is judged by its time
	fullNeeds = 5               // reqs turned away by servers, in the longest window
	fullShare = 0.05            // of what they served
	restTimes = 1.8             // the same of the zones that would be left with: they must not be slow themselves
	sharedFor = 6 * time.Second // after zones were slow together: none is left for being slow
	leastSlow = 10              // fetches, of a zone that is judged by their time
	forget    = 30 * time.Second

	learnSpan  = time.Second
	learnNeeds = 5                      // answers in that
	learnFirst = 100                    // answers, before a zone may be judged by their time
	learnPart  = 0.02                   // of a second's mean in what is usual, five times a second
	learnTimes = 1.5                    // the usual time: more is no example of it, or only in the long run
	lateTime   = 800 * time.Millisecond // what a cold server may take
	anew       = 300 * time.Millisecond // out for so long, before servers that began anew are looked at
)

// way is from the zone of a gateway to the zone of servers.
type way struct{ gateway, zone string }

// sample is what one gateway saw of one zone in one bucket.
type sample struct {
	at        time.Duration
	good, bad uint64
	turned    uint64  // away, by servers that were full
	late      uint64  // of the bad ones, here or before, that were served after all
	answered  uint64  // in whatever time
	took      float64 // seconds that those took together
}

// Detector holds the evidence of a few seconds. Only the leader's is asked, but every voter's is fed, so that the next leader
// has it.
type Detector struct {
	cfg     Config
	homes   map[string]string // zone of each gateway that ever told
	regions map[string]string // of the zones of gateways that name one
	heard   map[string]time.Duration
	seen    map[way][]sample
	zones   map[string]bool
	changed time.Duration       // when the verdicts last changed: what was seen before counts no more
	starts  map[string]int64    // by zone, when one of its servers began last, Unix ms
	all     []string            // gateways, as of this judgement
	at      map[string][]string // the same by their zones
	usual   map[way]*usual      // from one zone to another
	cold    map[string]bool     // zones with servers that have just begun
	now     time.Duration       // of this judgement
	shared  time.Duration       // when zones were last slow together; 0: never
}

// usual is how long fetches take over the last while.
type usual struct {
	mean float64 // seconds
	n    uint64  // answers that it is made of, up to learnFirst
}

// New makes a judge without evidence.
func New(cfg Config) *Detector {
	return &Detector{cfg: cfg, homes: map[string]string{}, heard: map[string]time.Duration{}, seen: map[way][]sample{},
		zones: map[string]bool{}, usual: map[way]*usual{}, regions: map[string]string{}, cold: map[string]bool{}}
}

// Observe takes what a gateway saw since it last told.
func (j *Detector) Observe(now time.Duration, gateway, home, region string, delta fleet.Report) {
	j.homes[gateway], j.heard[gateway] = home, now
	j.zones[home] = true
	if region != "" {
		j.regions[home] = region
	}
	for z, c := range delta.Zones {
		j.zones[z] = true
		bad := c.ConnectFailed + c.TimedOut + c.Failed
		if bad == 0 && c.Served == 0 && c.AnsweredLate == 0 && c.Rejected == 0 {
			continue
		}
		w := way{gateway, z}
		list := j.seen[w]
		at := now / bucket * bucket
		if n := len(list); n == 0 || list[n-1].at != at {
			list = append(list, sample{at: at})
		}
		s := &list[len(list)-1]
		s.good, s.bad, s.late = s.good+c.Served, s.bad+bad, s.late+c.AnsweredLate
		s.turned += c.Rejected
		s.answered, s.took = s.answered+c.Served+c.AnsweredLate, s.took+float64(c.LatencyMicros)/1e6
		for len(list) > 0 && now-list[0].at > j.cfg.Patience {
			list = list[1:]
		}
		j.seen[w] = list
	}
}

// gather forgets the gateways that have told nothing for long, and lists the others. Danger: with a look at all of them for
// each report, and for each pair of zones, the leader's cost grows with the square of the fleet.
func (j *Detector) gather(now time.Duration) {
	j.all, j.at = nil, map[string][]string{}
	gone := map[string]bool{}
	for _, g := range slices.Sorted(maps.Keys(j.homes)) {
		if now-j.heard[g] > forget {
			delete(j.heard, g)
			delete(j.homes, g)
			gone[g] = true
			continue
		}
		j.all = append(j.all, g)
		j.at[j.homes[g]] = append(j.at[j.homes[g]], g)
	}
	if len(gone) > 0 {
		maps.DeleteFunc(j.seen, func(w way, _ []sample) bool { return gone[w.gateway] })
	}
}

// learn follows how long fetches usually take from one zone to another: quickly while that changes little, so that a zone's
// hours are no trouble of its; slowly where it has changed much, so that what lasts becomes usual.
func (j *Detector) learn(now time.Duration, v Statuses, zones []string) {
	for from, here := range j.at {
		for _, to := range zones {
			w := way{from, to}
			if _, ok := v.For(from, to); ok {
				continue // what comes from there now is no example
			}
			answered, took := uint64(0), 0.0
			for _, g := range here {
				list := j.seen[way{g, to}]
				for i := len(list) - 1; i >= 0 && list[i].at >= now-learnSpan; i-- {
					answered += list[i].answered
					took += list[i].took
				}
			}
			if answered < learnNeeds {
				continue
			}
			u := j.usual[w]
			if u == nil {
				u = &usual{}
				j.usual[w] = u
			}
			mean, part := took/float64(answered), learnPart
			switch {
			case u.n < learnFirst:
				u.n += max(1, answered/5) // each is in five judgements
				part = float64(max(1, answered/5)) / float64(u.n)
			case mean > learnTimes*u.mean:
				part = learnPart / 20
			}
			u.mean += part * (mean - u.mean)
		}
	}
}

// SetServerStarts tells when the last of a zone's servers began, Unix ms. Servers that began after their zone was left are the best
// reason to look at it: whatever it was may be over.
func (j *Detector) SetServerStarts(starts map[string]int64) { j.starts = starts }

// ZoneOf is the zone of a gateway that told of late.
func (j *Detector) ZoneOf(gateway string) (zone string, ok bool) {
	zone, ok = j.homes[gateway]
	return zone, ok
}

// sum is what some gateways saw of a zone since a time.
type sum struct {
	good, bad       uint64
	illFor, wellFor int // gateways
	turned          uint64
	slow            int // of these, gateways that saw it answer much more slowly than it did
}

// One whose answers take so many times as long as usual is as good as ill.
func (j *Detector) sum(zone string, since time.Duration, times float64, who []string) (s sum) {
	cold := j.cold[zone]
	for _, g := range who {
		good, bad, late, answered, took := uint64(0), uint64(0), uint64(0), uint64(0), 0.0
		list := j.seen[way{g, zone}]
		for i := len(list) - 1; i >= 0 && list[i].at >= since; i-- {
			good += list[i].good
			if !cold || list[i].at <= j.now-lateTime {
				bad += list[i].bad
			}
			late += list[i].late
			s.turned += list[i].turned
			answered += list[i].answered
			took += list[i].took
		}
		switch u := j.usual[way{j.homes[g], zone}]; {
		case cold: // what comes late comes, and nothing there is as quick as it will be
			good, bad = good+min(late, bad), bad-min(late, bad)
		case answered > 0 && u != nil && u.n >= learnFirst && took/float64(answered) > times*u.mean:
			good, bad, s.slow = 0, good+bad, s.slow+1
		}
		s.good += good
		s.bad += bad
		switch {
		case bad > good:
			s.illFor++
		case good > 0:
			s.wellFor++
		}
	}
	return s
}

// ill tells whether some gateways see a zone ill, in one of the windows, by what they saw since a time. In a short one what
// was well before the trouble is soon past; in a long one thin traffic adds up.
func (j *Detector) ill(zone string, now, since time.Duration, who []string) (s sum, from time.Duration, bad bool) {
	n := len(who)
	for _, w := range j.cfg.Windows {
		from = max(now-w, since)
		if s = j.sum(zone, from, slowTimes, who); s.ill(n) {
			return s, from, true
		}
	}
	return s, from, false
}

// ill tells whether what several gateways saw speaks against a zone: enough of it, by most of them, and by two at least
// unless there is but one that could see it.
func (s sum) ill(gateways int) bool {
	if s.slow > 0 && s.bad < leastSlow {
		return false // a few answers that take long are chance
	}
	return s.bad >= leastBad && float64(s.bad) >= illShare*float64(s.bad+s.good) && s.illFor >= min(2, gateways) &&
		float64(s.illFor) >= illVoters*float64(s.illFor+s.wellFor)
}

// partial tells whether a zone that is ill still serves some.
func (s sum) partial() bool { return s.slow > 0 || 2*s.good >= s.bad }

// full tells whether the zones that some gateways send to turn reqs away.
func (j *Detector) full(zones []string, v Statuses, from string, now time.Duration, who []string) (rest sum, full bool) {
	for _, z := range zones {
		if w, ok := v.For(from, z); ok && w.State != Returning {
			continue
		}
		s := j.sum(z, now-j.cfg.Windows[len(j.cfg.Windows)-1], never, who)
		rest.good, rest.turned = rest.good+s.good, rest.turned+s.turned
	}
	return rest, rest.turned >= fullNeeds && float64(rest.turned) >= fullShare*float64(rest.turned+rest.good)
}

// RejectedShare tells whether servers turn reqs away, as of the last judgement.
func (j *Detector) RejectedShare() bool {
	_, full := j.full(slices.Sorted(maps.Keys(j.zones)), nil, "", j.now, j.all)
	return full
}

func (s sum) String() string {
	text := fmt.Sprintf("%d of %d fetches ill, by %d of %d gateways", s.bad, s.bad+s.good, s.illFor, s.illFor+s.wellFor)
	if s.slow > 0 {
		text += fmt.Sprintf(", slow for %d", s.slow)
	}
	return text
}

// Evaluate says what should hold, given what does. moved: it differs.
func (j *Detector) Evaluate(now time.Duration, unix int64, v Statuses, alive func(gateway string) bool) (next Statuses, moved bool) {
	next = maps.Clone(v)
	if next == nil {
		next = Statuses{}
	}
	zones := slices.Sorted(maps.Keys(j.zones))
	j.gather(now)
	j.now, j.cold = now, map[string]bool{}
	for z, at := range j.starts {
		j.cold[z] = at > 0 && time.Duration(unix-at)*time.Millisecond < j.cfg.Ramp
	}
	j.learn(now, next, zones)
	j.settle(now, unix, next, zones, alive)
	j.leave(now, unix, next, zones)
	for _, from := range zones { // what is left for all may have been the last that the ways from a zone had left it
		if left(next, from, zones) == len(zones) {
			maps.DeleteFunc(next, func(key string, _ Status) bool { f, _ := split(key); return f == from })
		}
	}
	if moved = !maps.EqualFunc(v, next, equal); moved {
		j.changed = now
	}
	return next, moved
}

func equal(a, b Status) bool {
	return a.State == b.State && a.Since == b.Since && a.FailedProbes == b.FailedProbes && a.Probes == b.Probes && a.AnyRequest == b.AnyRequest && a.Partial == b.Partial && a.Reason == b.Reason && a.By == b.By && a.Until == b.Until &&
		a.Hold == b.Hold && slices.Equal(a.Probers, b.Probers)
}

// split tells a verdict's two zones; from is empty where it holds for all.
func split(key string) (from, to string) {
	if a, b, ok := strings.Cut(key, ">"); ok {
		return a, b
	}
	return "", key
}

// settle moves on what is out, probed or returning.
func (j *Detector) settle(now time.Duration, unix int64, next Statuses, zones []string, alive func(string) bool) {
	for _, key := range slices.Sorted(maps.Keys(next)) {
		v := next[key]
		if v.Hold {
			continue
		}
		from, zone := split(key)
		here := j.all
		if from != "" {
			here = j.at[from]
		}
		age := time.Duration(unix-v.Since) * time.Millisecond
		since := max(0, now-max(0, age)) // on the evidence's clock
		if v.Partial && v.By == "" {
			// Danger: a zone that is slow still serves; with the others full, staying away from it refuses what it could do.
			if rest, full := j.full(zones, next, from, now, here); full && v.State != Returning {
				next[key] = Status{State: Returning, Since: unix, FailedProbes: v.FailedProbes, Partial: true,
					Reason: fmt.Sprintf("the rest can't bear it: %d of %d turned away", rest.turned, rest.turned+rest.good)}
				continue
			} else if full {
				continue
			}
		}
		switch v.State {
		case Evacuated:
			switch {
			case v.By != "" && (v.Until == 0 || unix < v.Until):
			case v.By == "" && age < j.wait(key, v) && !(j.starts[zone] > v.Since && age >= anew):
			default:
				if p := j.probers(zone, here, alive, v.FailedProbes+v.Probes); len(p) > 0 {
					next[key] = Status{State: Probing, Since: unix, FailedProbes: v.FailedProbes, Probes: v.Probes, Reason: v.Reason, Probers: p, Partial: v.Partial}
				}
			}
		case Probing:
			s := j.sum(zone, since+bucket, slowTimes, v.Probers)
			switch {
			case s.good >= wellNeeds && s.good >= 4*s.bad, age > j.cfg.Patience && s.good > 0 && s.bad == 0:
				next[key] = Status{State: Returning, Since: unix, FailedProbes: v.FailedProbes, Partial: v.Partial, Reason: "a probe: " + s.String()}
			case s.bad >= 2:
				next[key] = Status{State: Evacuated, Since: unix, FailedProbes: v.FailedProbes, Probes: v.Probes + 1, Reason: "a probe: " + s.String(), Partial: v.Partial}
			case age > j.cfg.Patience || !slices.ContainsFunc(v.Probers, alive):
				if p := j.probers(zone, here, alive, int(unix/1000)); len(p) > 0 { // they see too little, or are gone
					// Danger: where nothing may be repeated, a zone that is probed by what may be would never be seen again.
					next[key] = Status{State: Probing, Since: unix, FailedProbes: v.FailedProbes, Probes: v.Probes, Reason: v.Reason, Probers: p,
						AnyRequest: v.AnyRequest || age > j.cfg.Patience, Partial: v.Partial}
				}
			}
		case Returning:
			s, _, bad := j.ill(zone, now, since+bucket, here)
			switch {
			case bad:
				next[key] = Status{State: Evacuated, Since: unix, FailedProbes: v.FailedProbes + 1, Reason: "ill on its return: " + s.String(), Partial: s.partial()}
			case age > 2*j.cfg.Ramp:
				delete(next, key)
			}
		}
	}
}

// wait is how long a zone is left alone before it is probed. A probe that failed cost two fetches, a return many: so it
// grows by half after the one, and threefold after the other; jittered, so that zones that were lost together are not
// looked at together.
func (j *Detector) wait(key string, v Status) time.Duration {
	again := float64(j.cfg.Again) * math.Pow(3, float64(min(v.FailedProbes, 6))) * math.Pow(1.5, float64(min(v.Probes, 12)))
	jitter := float64(xxhash.Sum64String(fmt.Sprint(key, v.Since))%1000) / 1000 // the same, whoever asks
	return time.Duration(min(float64(j.cfg.MostAgain), again) * (1 + 0.2*jitter))
}

// probers chooses one gateway to look, in turns: one of the zone itself if it has any, as that has the shortest way.
func (j *Detector) probers(zone string, here []string, alive func(string) bool, turn int) []string {
	var all []string
	for _, g := range here {
		if alive(g) {
			all = append(all, g)
		}
	}
	if len(all) == 0 {
		return nil
	}
	slices.SortFunc(all, func(a, b string) int {
		return cmp.Or(cmp.Compare(boolInt(j.homes[a] != zone), boolInt(j.homes[b] != zone)), cmp.Compare(a, b))
	})
	return []string{all[max(0, turn)%len(all)]}
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// left counts the zones that the gateways of one do not all send to.
func left(v Statuses, from string, zones []string) (n int) {
	for _, to := range zones {
		if w, ok := v.For(from, to); ok && w.State != Returning {
			n++
		}
	}
	return n
}

// together tells whether a zone's region is lost as one, of which all zones are, and that are half of all at most.
func (j *Detector) together(zone string, zones []string, lost func(string) bool) bool {
	region, same := j.regions[zone], 0
	for _, o := range zones {
		if region != "" && j.regions[o] == region {
			if same++; !lost(o) {
				return false
			}
		}
	}
	return same > 1 && 2*same <= len(zones)
}

// leave finds zones that are ill, for all or for the gateways of one zone.
func (j *Detector) leave(now time.Duration, unix int64, next Statuses, zones []string) {
	most := j.cfg.MaxEvacuated
	if most == 0 {
		most = max(len(zones)/3, min(1, len(zones)-1))
	}
	out, ill, from := 0, map[string]sum{}, map[string]time.Duration{}
	for _, z := range zones {
		if v, ok := next[z]; ok && !v.Hold {
			out++
			continue
		}
		if s, since, bad := j.ill(z, now, j.changed, j.all); bad && !next[z].Hold {
			ill[z], from[z] = s, since
		}
	}
	for _, z := range slices.Sorted(maps.Keys(ill)) {
		lost := func(o string) bool {
			_, bad := ill[o]
			return bad || next[o].State == Evacuated || next[o].State == Probing
		}
		if out >= most && !(out < len(zones)/2 && j.together(z, zones, lost)) {
			continue // the best of the bad is used
		}
		if !j.restIsWell(zones, next, "", from[z], j.all, ill[z], func(z string) bool { _, bad := ill[z]; return bad }) {
			continue
		}
		if _, full := j.full(zones, next, "", now, j.all); full && ill[z].partial() {
			continue // it bears what the others can't
		}
		next[z] = Status{State: Evacuated, Since: unix, Reason: ill[z].String(), Partial: ill[z].partial()}
		maps.DeleteFunc(next, func(key string, _ Status) bool { from, to := split(key); return from != "" && to == z })
		out++
	}
	// The way from one zone to another, where others see that the servers there are well.
	for _, from := range zones {
		here := j.at[from]
		n := len(here)
		gone := left(next, from, zones)
		for _, to := range zones {
			if _, ok := next.For(from, to); ok || from == to || n < 2 || next[to].Hold || gone >= len(zones)-1 {
				continue
			}
			s, since, bad := j.ill(to, now, j.changed, here)
			if !bad {
				continue
			}
			others := j.sum(to, since, slowTimes, slices.DeleteFunc(slices.Clone(j.all), func(g string) bool { return j.homes[g] == from }))
			if float64(s.bad) >= illWay*float64(s.bad+s.good) && others.good > 2*others.bad && j.restIsWell(zones, next, from, since, here, s, func(z string) bool { return z == to }) {
				next[from+">"+to] = Status{State: Evacuated, Since: unix, Partial: s.partial(), Reason: "the way from " + from + ": " + s.String()}
				gone++
			}
		}
	}
}

// restIsWell tells whether the zones that would be left are well, by what some gateways saw of them since a time.
//
// Danger: where all zones are ill it is something that they share, and to leave one would help nobody and load the others;
// so they have to be well, and not only a little less ill.
func (j *Detector) restIsWell(zones []string, v Statuses, from string, since time.Duration, who []string,
	ill sum, but func(zone string) bool) bool {
	times := restTimes // of a zone that answers nothing, the load that moved makes the others slow
	if ill.slow == 0 {
		times = never
	}
	var rest sum
	for _, z := range zones {
		w, ok := v.For(from, z)
		if but(z) || ok && w.State != Returning {
			continue
		}
		s := j.sum(z, since, times, who)
		rest.good += s.good
		rest.bad += s.bad
	}
	if float64(rest.bad) > illRest*float64(rest.good+rest.bad) {
		if ill.slow > 0 {
			j.shared = j.now
		}
		return false
	}
	// Danger: what was slow together is well again one zone after the other, as each works off its queue at its own pace.
	return rest.good > 0 && (ill.slow == 0 || j.shared == 0 || j.now-j.shared > sharedFor)
}
