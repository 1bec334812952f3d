package maintenance

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Server is one of the list, as the leader has it.
type Server struct {
	Zone  string `json:"zone"`
	Ready bool   `json:"ready"`
	Since int64  `json:"since"` // its last start, Unix ms; 0: long ago
}

// Member is a gateway, as the leader knows it.
type Member struct {
	Left        bool // of its own will: it sends nothing any more
	Reachable   bool // of late
	Fresh       bool // it says that its view is
	Zone        string
	Voter       bool
	Leader      bool
	Incarnation int64             // when its process began
	Withdrawn   map[string]uint64 // machines that its planner sends nothing new to, with their turn, and nothing is open to
}

// Observations are what the leader sees of the fleet.
type Observations struct {
	Servers       map[string]Server
	Members       map[string]Member // all that it ever heard of
	ZonesOut      []string          // that are left, probed or returned to
	RejectedShare bool              // servers turn reqs away
	Rate          float64           // fetches a second, of all gateways
}

// Config bounds what may be out together.
type Config struct {
	ZoneShare float64       // of a zone's servers; one at least, if one stays
	Gateways  float64       // of the gateways, one of a zone at a time; one at least, if one stays
	MostShare float64       // of all servers
	Apart     [][2]string   // pairs that may not be out together
	SlowStart time.Duration // until a server that began is warm
	Proof     time.Duration // that one which is back has to serve well after that
	Patience  time.Duration // for one that is back to prove itself
	Passes    int           // by younger requests, before all wait
	Step      float64       // of what servers were seen to bear, how much more the next turn may bring them
}

// Defaults are the values that gateways use.
var Defaults = Config{ZoneShare: 0.34, Gateways: 0.2, MostShare: 0.2, SlowStart: 13 * time.Second, Proof: 3 * time.Second, Patience: 90 * time.Second,
	Passes: 8, Step: 1.5}

const (
	proofNeeds = 5 // fetches served
	proofIll   = 0.2
	bearsOver  = time.Hour // for which the most that servers were seen to bear is remembered
	healthFor  = 4 * time.Second
	lateTime   = 1200 * time.Millisecond // that a cold server may take
	noteEvery  = 3 * time.Second
	minute     = time.Minute
)

// Scheduler steps the book on. Every voter's sees the same evidence, so that the next leader goes on.
type Scheduler struct {
	cfg    Config
	health map[string][]seen
	bears  []bore // by minute
	noted  time.Duration
}

type seen struct {
	at                      time.Duration
	good, bad, silent, late uint64
}

// bore is the most fetches a second that a server in use got in a minute in which none turned any away.
type bore struct {
	at   time.Duration
	rate float64
}

// New makes one.
func New(cfg Config) *Scheduler { return &Scheduler{cfg: cfg, health: map[string][]seen{}} }

// Observe takes what some gateway's fetches to a server came to: served, ill, silent for longer than others take, and served
// after that.
func (o *Scheduler) Observe(now time.Duration, server string, good, bad, silent, late uint64) {
	if good+bad+silent+late == 0 {
		return
	}
	list := append(o.health[server], seen{now, good, bad, silent, late})
	for len(list) > 0 && now-list[0].at > healthFor {
		list = list[1:]
	}
	o.health[server] = list
	if len(o.health) > mostOut {
		clear(o.health) // servers come under new ids all day; those that are there are seen again
	}
}

// of is what came of fetches to a server since a time, within healthFor.
func (o *Scheduler) of(server string, now, since time.Duration) (good, bad uint64) {
	silent, late := uint64(0), uint64(0)
	for _, s := range o.health[server] {
		if s.at < since {
			continue
		}
		good, bad, late = good+s.good+s.late, bad+s.bad, late+s.late
		// Danger: a cold server answers later than others do; what is silent just now may only be slow.
		if now-s.at >= lateTime {
			silent += s.silent
		}
	}
	return good, bad + silent - min(silent, late)
}

// Bore remembers what servers bear, and forgets what is older than an hour.
func (o *Scheduler) Bore(now time.Duration, each float64, well bool) {
	if well {
		if n := len(o.bears); n == 0 || now-o.bears[n-1].at >= minute {
			o.bears = append(o.bears, bore{at: now})
		}
		last := &o.bears[len(o.bears)-1]
		last.rate = max(last.rate, each)
	}
	for len(o.bears) > 0 && now-o.bears[0].at > bearsOver {
		o.bears = o.bears[1:]
	}
}

func (o *Scheduler) most() (rate float64) {
	for _, b := range o.bears {
		rate = max(rate, b.rate)
	}
	return rate
}

// step is one judgement.
type step struct {
	*Scheduler
	b       *Schedule
	f       Observations
	now     time.Duration
	unix    int64
	trouble string
}

// Step says what should hold, given what does.
func (o *Scheduler) Step(now time.Duration, unix int64, b Schedule, f Observations) (next Schedule, moved bool) {
	if !b.busy() && !b.strange(f) {
		s := &step{Scheduler: o, b: &b, f: f, now: now, unix: unix}
		s.sees()
		return b, false
	}
	next = b.clone()
	s := &step{Scheduler: o, b: &next, f: f, now: now, unix: unix}
	s.roster()
	s.sees()
	for i := range next.Requests {
		if r := &next.Requests[i]; !r.ended() {
			for j := range r.Machines {
				s.machine(r, &r.Machines[j])
			}
			s.end(r)
		}
	}
	s.begin()
	s.forget()
	if slices.Equal(Set(b.silent())[Section], Set(next.silent())[Section]) {
		// Danger: notes hold figures that change all the time, and each change would be a plan.
		if now-o.noted < noteEvery || slices.Equal(Set(b)[Section], Set(next)[Section]) {
			return b, false
		}
	}
	o.noted = now
	return next, true
}

// busy tells whether any request is open.
func (b *Schedule) busy() bool {
	return slices.ContainsFunc(b.Requests, func(r Request) bool { return !r.ended() })
}

// strange tells whether the roster is not that of the members.
func (b *Schedule) strange(f Observations) bool {
	for name, m := range f.Members {
		if _, known := b.Roster[name]; known == m.Left && (known || m.Reachable) {
			return true
		}
	}
	return false
}

// silent is the book without its notes.
func (b Schedule) silent() Schedule {
	b = b.clone()
	for i := range b.Requests {
		b.Requests[i].Note = ""
		for j := range b.Requests[i].Machines {
			b.Requests[i].Machines[j].Note = ""
		}
	}
	return b
}

// roster knows every gateway that may send to servers, until it has left of its own will or a person says that it is over. It is
// in the plan, as a new leader may never have heard of one that is cut off.
func (s *step) roster() {
	for name, m := range s.f.Members {
		_, known := s.b.Roster[name]
		switch {
		case m.Left && known:
			delete(s.b.Roster, name)
		case !m.Left && !known && m.Reachable:
			if s.b.Roster == nil {
				s.b.Roster = map[string]int64{}
			}
			s.b.Roster[name] = s.unix
		}
	}
}

// sees finds what speaks against any turn now, and learns what servers bear.
func (s *step) sees() {
	used := 0
	away := s.b.Withdrawn()
	for name, v := range s.f.Servers {
		if _, out := away[name]; v.Ready && !out && !slices.Contains(s.f.ZonesOut, v.Zone) {
			used++
		}
	}
	s.Bore(s.now, s.f.Rate/float64(max(1, used)), !s.f.RejectedShare && len(s.f.ZonesOut) == 0)
	switch {
	case len(s.f.ZonesOut) > 0:
		s.trouble = "zone " + strings.Join(s.f.ZonesOut, ", ") + " is out or returning"
	case s.f.RejectedShare:
		s.trouble = "servers turn reqs away"
	}
}

// machine moves one on.
func (s *step) machine(r *Request, m *Machine) {
	age := time.Duration(s.unix-m.Since) * time.Millisecond
	set := func(state State, note string) { m.State, m.Since, m.Note = state, s.unix, note }
	switch m.State {
	case Announced:
		if s.trouble != "" {
			set(Waiting, "taken back: "+s.trouble)
			return
		}
		if lack := s.lack(m); len(lack) > 0 {
			m.Note = "waits for " + strings.Join(lack, ", ")
			return
		}
		set(Free, "")
		m.Until = s.unix + r.ForMS
	case Free:
		if s.unix >= m.Until {
			s.b.over(r, m, s.unix, "its time is up, and nobody said that it is done")
		}
	case Back:
		s.proof(m, age)
	}
}

// lack names the gateways that have not acknowledged a turn: all of them, or the one that has it.
func (s *step) lack(m *Machine) (names []string) {
	if g, ok := s.gateway(m.Name); ok {
		if turn, quiet := g.Withdrawn[m.Name]; (!quiet || turn != m.Turn) && !g.Left {
			return []string{m.Name + ", to have no clients"}
		}
		return nil
	}
	for _, name := range slices.Sorted(maps.Keys(s.b.Roster)) {
		if turn, ok := s.f.Members[name].Withdrawn[m.Name]; !ok || turn != m.Turn {
			names = append(names, name)
		}
	}
	return names
}

// gateway is a machine that is one.
func (s *step) gateway(name string) (Member, bool) {
	g, ok := s.f.Members[name]
	_, server := s.f.Servers[name]
	return g, ok && !server
}

// proof judges a machine that is back.
func (s *step) proof(m *Machine, age time.Duration) {
	if g, ok := s.gateway(m.Name); ok {
		switch {
		case g.Reachable && g.Fresh && g.Incarnation != m.Life && age >= s.cfg.Proof:
			m.State, m.Since, m.Note = Done, s.unix, ""
		case age > s.cfg.Patience:
			m.State, m.Since, m.Note = Held, s.unix, "no new process of it is in the fleet: look at it, then resume"
		default:
			m.Note = "waits for a new process of it in the fleet"
		}
		return
	}
	set := func(state State, note string) { m.State, m.Since, m.Note = state, s.unix, note }
	v, listed := s.f.Servers[m.Name]
	since := s.now - min(healthFor, age)
	good, bad := s.of(m.Name, s.now, since)
	warm := listed && (v.Since <= 0 || time.Duration(s.unix-v.Since)*time.Millisecond >= s.cfg.SlowStart)
	switch {
	case !listed || !v.Ready:
		if m.Note = "is not listed as ready"; age > s.cfg.Patience {
			set(Held, "came back unlisted: look at it, then resume")
		}
	case bad >= 3 && float64(bad) >= proofIll*float64(good+bad):
		set(Held, fmt.Sprintf("ill on its return: %d of %d fetches; look at it, then resume", bad, good+bad))
	case warm && age >= s.cfg.Proof && good >= proofNeeds, age > s.cfg.Patience && warm && bad == 0:
		set(Done, "")
	case age > 2*s.cfg.Patience:
		set(Held, "did not become warm: look at it, then resume")
	default:
		m.Note = "proves itself"
	}
}

// end settles a request by its machines.
func (s *step) end(r *Request) {
	held := false
	for _, m := range r.Machines {
		held = held || m.State == Held
	}
	if held && r.State != Held {
		r.State, r.Note = Held, "a machine of it is held"
	}
	r.settle()
}

// begin announces the next machine, if any may go: one at a time is on its way out, so that the fleet sees what it brings.
func (s *step) begin() {
	var waits []*Request
	for i := range s.b.Requests {
		r := &s.b.Requests[i]
		if r.ended() {
			continue
		}
		for _, m := range r.Machines {
			if m.State == Announced {
				return
			}
		}
		if r.State == Waiting {
			waits = append(waits, r)
		}
	}
	slices.SortStableFunc(waits, func(a, b *Request) int { return int(a.RequestedAt - b.RequestedAt) })
	var passed []*Request
	for _, r := range waits {
		note := s.trouble
		if note == "" {
			note = s.early(r)
		}
		next := -1
		for i := range r.Machines {
			if m := &r.Machines[i]; note == "" && m.State == Waiting {
				if m.Note = s.bound(m); m.Note == "" {
					next = i
					break
				}
			}
		}
		if r.Note = note; next < 0 {
			if note == "" && slices.ContainsFunc(r.Machines, func(m Machine) bool { return m.State == Waiting }) {
				if passed = append(passed, r); r.Passed >= s.cfg.Passes {
					return // it has waited long enough: what it waits for comes sooner if nobody passes it
				}
			}
			continue
		}
		for _, p := range passed {
			p.Passed++
		}
		m := &r.Machines[next]
		s.b.Turns++
		m.State, m.Since, m.Turn, m.Note, m.Life = Announced, s.unix, s.b.Turns, "", s.f.Members[m.Name].Incarnation
		return
	}
}

// early says why a request may not begin yet by its own words.
func (s *step) early(r *Request) string {
	if s.unix < r.NotBefore {
		return "not before " + time.UnixMilli(r.NotBefore).UTC().Format(time.RFC3339)
	}
	if r.After != 0 {
		if o := s.b.find(r.After); o != nil && !o.ended() {
			return fmt.Sprintf("after request %d", r.After)
		}
	}
	return ""
}

// bound says which bound keeps a machine in; empty: none.
func (s *step) bound(m *Machine) string {
	if g, ok := s.gateway(m.Name); ok {
		return s.boundOf(m, g)
	}
	v, listed := s.f.Servers[m.Name]
	if !listed {
		return "is not listed"
	}
	out, all, outThere, allThere, used := 0, 0, 0, 0, 0
	gone := map[string]bool{}
	for name := range s.b.Withdrawn() {
		gone[name] = true
	}
	for _, r := range s.b.Requests {
		for _, o := range r.Machines {
			if o.State == Back || o.State == Held && o.Turn > 0 {
				gone[o.Name] = true // it has not proved itself
			}
		}
	}
	for name, o := range s.f.Servers {
		all++
		if o.Zone == v.Zone {
			allThere++
		}
		if gone[name] || !o.Ready || o.Since > 0 && time.Duration(s.unix-o.Since)*time.Millisecond < s.cfg.SlowStart {
			if out++; o.Zone == v.Zone {
				outThere++
			}
		} else {
			used++
		}
	}
	if gone[m.Name] || !v.Ready {
		return "is out already, or not ready"
	}
	for _, p := range s.cfg.Apart {
		if p[0] == m.Name && gone[p[1]] || p[1] == m.Name && gone[p[0]] {
			return fmt.Sprintf("may not be out with %s or %s", p[0], p[1])
		}
	}
	switch {
	case allThere < 2:
		return "is the last server of zone " + v.Zone
	case outThere+1 > max(1, int(s.cfg.ZoneShare*float64(allThere))):
		return fmt.Sprintf("%d of %d servers of zone %s are out, cold or not ready", outThere, allThere, v.Zone)
	case out+1 > max(1, int(s.cfg.MostShare*float64(all))):
		return fmt.Sprintf("%d of %d servers are out, cold or not ready", out, all)
	case used < 2 || s.f.Rate/float64(used-1) > s.cfg.Step*s.most():
		return fmt.Sprintf("the others would get %.0f fetches a second each, and were seen to bear %.0f", s.f.Rate/float64(max(1, used-1)), s.most())
	}
	return ""
}

// boundOf says the same of a gateway: one of a zone at a time, voters last, and the leader at the very end, so that there is one
// change of leader and always a quorum.
func (s *step) boundOf(m *Machine, g Member) string {
	if !g.Reachable || !g.Fresh {
		return "is not in the fleet, or its view is old"
	}
	all, out, others := 0, 0, 0
	for name := range s.b.Roster {
		o := s.f.Members[name]
		if all++; o.Voter && !(o.Reachable && o.Fresh) {
			return "voter " + name + " is not there"
		}
	}
	for _, r := range s.b.Requests {
		for _, o := range r.Machines {
			v, isGateway := s.gateway(o.Name)
			if !isGateway || o.Name == m.Name {
				continue
			}
			switch {
			case o.State == Announced || o.State == Free || o.State == Back || o.State == Held && o.Turn > 0:
				if out++; v.Zone == g.Zone {
					return o.Name + " of the same zone is out"
				}
				if v.Voter && g.Voter {
					return "voter " + o.Name + " is out"
				}
			case o.State == Waiting && r.State == Waiting && !v.Leader && (!v.Voter || g.Leader):
				others++ // they go first
			}
		}
	}
	switch {
	case all < 2:
		return "is the last gateway"
	case out+1 > max(1, int(s.cfg.Gateways*float64(all))):
		return fmt.Sprintf("%d of %d gateways are out", out, all)
	case (g.Voter || g.Leader) && others > 0:
		return fmt.Sprintf("votes, or leads: after %d others", others)
	}
	return ""
}

// forget drops the oldest ended requests.
func (s *step) forget() {
	ended := 0
	for _, r := range s.b.Requests {
		if r.ended() {
			ended++
		}
	}
	s.b.Requests = slices.DeleteFunc(s.b.Requests, func(r Request) bool {
		if !r.ended() || ended <= mostEnded {
			return false
		}
		ended--
		return true
	})
}
