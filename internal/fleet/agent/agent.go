// Package agent runs a fleet's member: it owns the goroutine of a Node, its clock, its folder and its part in the gossip,
// and answers operators. It decides nothing.
package agent

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"dewhitch/internal/fleet"
	"dewhitch/internal/fleet/evacuation"
	"dewhitch/internal/fleet/gossip"
	"dewhitch/internal/fleet/maintenance"
	"dewhitch/internal/fleet/slowstart"
	"dewhitch/internal/fleet/voterstore"
)

// Options say how a process takes part in a fleet.
type Options struct {
	Gossip      gossip.Options // without what the agent sets
	Voters      []string
	Dir         string // where a voter keeps its log; empty: it is forgotten with the process
	Lease       time.Duration
	Status      time.Duration
	Log         *zap.Logger
	Maintenance maintenance.Config // work.Standard, or with what operators have of their own; without the cold time
	Zones       evacuation.Config  // zone.Standard, or with what operators have of their own
	SlowStart   slowstart.Config   // the settings' words on cold servers, without the lease
	Quiesced    func() bool        // it has sent its clients away, and none is left
	Drain       func(on bool)      // this gateway should send its clients away, or not any more; it may not block
	OnDecisions func(Decisions)    // what is acted on from now on; it may not block
}

// Decisions is what a member acts on.
type Decisions struct {
	Plan      fleet.Plan
	Withdrawn map[string]uint64 // machines that nothing new may be sent to, with their turn
	SlowStart slowstart.Grant   // of cold servers; empty where its lease is over
}

const (
	tick  = 100 * time.Millisecond // of the log's clock
	least = 5 * time.Millisecond   // between two looks at the time
	inbox = 2048                   // messages that wait; those beyond are lost, as on the wire
	calls = 16

	roundEvery = 200 * time.Millisecond
	sayAgain   = 10 * time.Second // about a folder that can't be written to
	slowSave   = 100 * time.Millisecond
)

// Agent is a running member.
type Agent struct {
	o           Options
	node        *fleet.Node
	gossip      *gossip.Gossip
	vault       store // nil: nothing is kept
	saves       chan saveEnd
	saving      bool // one is under way
	began       time.Time
	inbox       chan []byte
	members     chan change
	calls       chan func()
	ended       chan struct{}
	hush        func() // ends the gossip; of Run
	tally       *Tally
	judge       *evacuation.Detector
	feeder      *slowstart.Allocator
	order       *maintenance.Scheduler
	applied     atomic.Pointer[map[string]uint64] // the machines that nothing new is sent to any more
	own         evacuation.SelfMonitor
	drained     bool                               // by itself
	turn        int                                // its place among the gateways of its zone
	left        bool                               // the fleet has left its zone
	out, wasOut bool                               // it has its own turn of work
	rounds      time.Duration                      // when the feeder reckons next
	fed         bool                               // it feeds any server
	servers     atomic.Pointer[[]slowstart.Server] // the list, as this process has it
	ailing      time.Time                          // since then the folder could not be written to; zero: it can
	said        time.Time
}

// saveEnd is how a save ended.
type saveEnd struct {
	persist fleet.StorageUpdate
	err     error
	took    time.Duration
}

// store keeps what a voter may not forget.
type store interface {
	Save(fleet.StorageUpdate) error
	Close() error
}

type change struct {
	name  string
	alive bool
}

// ErrEnded says that the member has ended.
var ErrEnded = errors.New("fleet: this process is leaving")

// Open opens a member; Run runs it.
func Open(o Options) (*Agent, error) {
	a := &Agent{o: o, began: time.Now(), inbox: make(chan []byte, inbox), members: make(chan change, inbox),
		calls: make(chan func(), calls), ended: make(chan struct{}), saves: make(chan saveEnd, 1), tally: newTally(time.Now), judge: evacuation.New(o.Zones)}
	o.SlowStart.Lease = o.Lease
	a.feeder = slowstart.New(o.SlowStart)
	o.Maintenance.SlowStart = o.SlowStart.Span
	a.order = maintenance.New(o.Maintenance)
	g := o.Gossip
	c := fleet.Config{Fleet: g.Fleet, Name: g.Name, Zone: g.Metadata.Zone, Region: g.Metadata.Region, Voters: o.Voters,
		StartedAt: a.began.UnixNano(), Incarnation: random(), Seed: random(), Tick: tick, Status: o.Status, Lease: o.Lease,
		Commands: map[string]fleet.CommandHandler{}, Observe: a.observe, LeaderTick: a.lead, GrantFor: a.feed}
	for verb, d := range fleet.FreezeCommands() {
		c.Commands[verb] = d
	}
	for _, more := range []map[string]fleet.CommandHandler{evacuation.Commands(), maintenance.Commands()} {
		maps.Copy(c.Commands, more)
	}
	var saved *fleet.VoterState
	if o.Dir != "" && slices.Contains(o.Voters, g.Name) {
		kept, found, err := voterstore.Open(o.Dir)
		if err != nil {
			return nil, err
		}
		a.vault, saved = kept, found
	}
	var err error
	if a.node, err = fleet.New(c, saved); err != nil {
		a.close()
		return nil, err
	}
	a.node.SetReporter(a.tally.report)
	a.node.SetAcknowledged(a.acknowledged)
	g.Log = o.Log
	g.Receive = func(b []byte) {
		select {
		case a.inbox <- slices.Clone(b):
		default:
		}
	}
	g.Changed = func(name, state string) {
		o.Log.Info("fleet member", zap.String("member", name), zap.String("state", state))
		select {
		case a.members <- change{name, state == "alive"}:
		default: // its next status says that it lives
		}
	}
	if a.gossip, err = gossip.Open(g); err != nil {
		a.close()
		return nil, err
	}
	for _, name := range o.Voters { // asked for their word from the first on, whether gossip has heard of them or not
		a.node.SetAlive(name, false)
	}
	return a, nil
}

func (a *Agent) close() {
	if a.saving {
		<-a.saves
	}
	if a.vault != nil {
		a.vault.Close()
	}
}

func random() uint64 {
	var b [8]byte
	_, _ = crand.Read(b[:]) // it never fails
	return binary.BigEndian.Uint64(b[:]) >> 1
}

// AddCandidates tells where members may be; a hint.
func (a *Agent) AddCandidates(at map[string]string) { a.gossip.AddCandidates(at) }

// Tally is where what this process sees of servers is counted.
func (a *Agent) Tally() *Tally { return a.tally }

// now is the time since the process began, and Unix ms by it. Danger: with the system's clock, a step of it would end the lease
// of a machine that is in pieces, or a ramp.
func (a *Agent) now() (time.Duration, int64) {
	d := time.Since(a.began)
	return d, a.began.Add(d).UnixMilli()
}

// Run runs the member until the context ends.
func (a *Agent) Run(ctx context.Context) error {
	defer a.close()
	defer close(a.ended)
	talk, hush := context.WithCancel(context.Background())
	a.hush = hush
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		a.gossip.Run(talk)
	}()
	defer func() {
		hush()
		<-gone
	}()
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		now, _ := a.now()
		t.Reset(max(least, a.node.NextTick()-now))
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			a.node.Tick(a.now())
			a.stand(now)
		case b := <-a.inbox:
			now, unix := a.now()
			a.node.Step(now, unix, b)
		case c := <-a.members:
			a.node.SetAlive(c.name, c.alive)
		case f := <-a.calls:
			f()
		case s := <-a.saves:
			a.saved(s)
		}
		now, _ = a.now()
		a.feeder.SetLeaderTerm(now, a.node.LeaderTerm())
		a.drive()
	}
}

// observe has the judge see what a member reports.
func (a *Agent) observe(now time.Duration, from fleet.Peer, delta fleet.Report) {
	a.judge.Observe(now, from.Name, from.Status.Zone, from.Status.Region, delta)
	a.feeder.Observe(now, from.Name, from.Status.GrantSeq, delta)
	for id, c := range delta.Servers {
		a.order.Observe(now, Machine(id), c.Served, c.ConnectFailed+c.Failed, c.TimedOut, c.AnsweredLate)
	}
	if from.Name == a.o.Gossip.Name {
		good, bad := uint64(0), uint64(0)
		for _, c := range delta.Zones {
			good, bad = good+c.Served+c.AnsweredLate, bad+c.ConnectFailed+c.TimedOut+c.Failed
		}
		a.own.Observe(now, good, bad)
	}
}

// stand has this gateway send its clients away where it is itself cut off, and take them again.
func (a *Agent) stand(now time.Duration) {
	drained := a.own.ShouldDrain(now, a.left, a.node.Fresh(), a.turn)
	if a.out != a.wasOut {
		a.wasOut = a.out
		a.drain(a.out || drained)
	}
	if drained == a.drained {
		return
	}
	a.drained = drained
	if drained { // when it comes back
		a.turn = 0
		for _, m := range a.gossip.Members() {
			if m.Zone == a.o.Gossip.Metadata.Zone && m.Name < a.o.Gossip.Name {
				a.turn++
			}
		}
		a.o.Log.Warn("fleet: cut off from what it needs: this gateway sends its clients away")
	} else {
		a.o.Log.Info("fleet: this gateway takes clients again")
	}
	a.drain(a.out || drained)
}

func (a *Agent) drain(on bool) {
	if a.o.Drain != nil {
		a.o.Drain(on)
	}
}

// Applied tells that nothing new is sent to machines any more: those of the plan that was followed last.
func (a *Agent) Applied(away map[string]uint64) { a.applied.Store(&away) }

// acknowledged are the machines that nothing is sent to, nor open.
func (a *Agent) acknowledged() map[string]uint64 {
	p := a.applied.Load()
	if p == nil || len(*p) == 0 {
		return nil
	}
	busy, quiet := a.tally.busy(), map[string]uint64{}
	for name, turn := range *p {
		id, server := serverOf(name)
		if server && !busy[id] || !server && name != a.o.Gossip.Name || name == a.o.Gossip.Name && a.o.Quiesced != nil && a.o.Quiesced() {
			quiet[name] = turn
		}
	}
	return quiet
}

// Machine names a server as operators do.
func Machine(id uint32) string { return fmt.Sprintf("s-%08x", id) }

// serverOf is the server that a machine's name is of.
func serverOf(name string) (uint32, bool) {
	text, ok := strings.CutPrefix(name, "s-")
	id, err := strconv.ParseUint(text, 16, 32)
	return uint32(id), ok && err == nil && Machine(uint32(id)) == name
}

// EndpointsChanged tells of the servers that are listed and ready, at each change. It does not block.
func (a *Agent) EndpointsChanged(servers []slowstart.Server) { a.servers.Store(&servers) }

func (a *Agent) listed() []slowstart.Server {
	if p := a.servers.Load(); p != nil {
		return *p
	}
	return nil
}

// feed is what the leader lets a member send to cold servers, and to those of zones that are returned to or probed.
func (a *Agent) feed(now time.Duration, to fleet.Peer, seq uint64) []byte {
	if now >= a.rounds {
		a.rounds = now + roundEvery
		a.fed = a.round(now)
	}
	if !a.fed {
		return nil
	}
	return a.feeder.Grant(now, to.Name, seq).Encode()
}

// round has the feeder reckon anew, by the plan and the list.
func (a *Agent) round(now time.Duration) bool {
	p, v := a.node.Plan(), evacuation.Statuses{}
	if _, err := p.Section(evacuation.Section, &v); err != nil {
		return false
	}
	servers := slices.Clone(a.listed())
	for i, s := range servers {
		if w, ok := v[s.Zone]; ok && !w.Hold {
			s.Use, s.Since = slowstart.UseNever, max(s.Since, w.Since)
			switch w.State {
			case evacuation.Returning:
				s.Use = slowstart.UseFully
			case evacuation.Probing:
				s.Use = slowstart.UseForHealthChecks
			}
			servers[i] = s
		}
	}
	zones := map[uint32]string{}
	for _, s := range servers {
		zones[s.ID] = s.Zone
	}
	type way struct{ from, to string }
	known := map[way]func(gateway string) bool{}
	_, unix := a.now()
	return a.feeder.Allocate(now, unix, servers, func(gateway string, server uint32) bool {
		home, _ := a.judge.ZoneOf(gateway)
		k := way{home, zones[server]}
		may := known[k]
		if may == nil {
			w, ok := v.For(k.from, k.to)
			may = func(gateway string) bool {
				return !ok || w.State == evacuation.Returning || w.State == evacuation.Probing && slices.Contains(w.Probers, gateway)
			}
			known[k] = may
		}
		return may(gateway)
	})
}

// lead has the leader settle what the judge says of the zones.
func (a *Agent) lead(now time.Duration, unix int64, n *fleet.Node) {
	p := n.Plan()
	if _, frozen := p.Frozen(); frozen {
		return
	}
	v := evacuation.Statuses{}
	if _, err := p.Section(evacuation.Section, &v); err != nil {
		return
	}
	starts := map[string]int64{}
	for _, s := range a.listed() {
		starts[s.Zone] = max(starts[s.Zone], s.Since)
	}
	a.judge.SetServerStarts(starts)
	next, moved := a.judge.Evaluate(now, unix, v, func(name string) bool {
		q, ok := n.Peer(name)
		return name == a.o.Gossip.Name || ok && now-q.LastStatusAt < a.o.Lease
	})
	if moved && n.Propose(evacuation.Set(next)) {
		for key, w := range next {
			if old, ok := v[key]; !ok || old.State != w.State {
				state := string(w.State)
				if w.State == evacuation.Evacuated && old.State == evacuation.Probing {
					state = "is not well yet"
				}
				a.o.Log.Info("fleet: zone "+key+" "+state, zap.String("why", w.Reason), zap.Int("fails", w.FailedProbes),
					zap.Strings("probers", w.Probers), zap.Stringer("on_epoch", p.Epoch))
			}
		}
		for key := range v {
			if _, ok := next[key]; !ok {
				a.o.Log.Info("fleet: zone "+key+" in", zap.Stringer("on_epoch", p.Epoch))
			}
		}
	}
	if !moved {
		a.works(now, unix, n, p, v)
	}
}

// machines are the servers of the list, as this process has it.
func (a *Agent) machines() map[string]maintenance.Server {
	all := map[string]maintenance.Server{}
	for _, s := range a.listed() {
		all[Machine(s.ID)] = maintenance.Server{Zone: s.Zone, Ready: true, Since: s.Since}
	}
	return all
}

// works has the leader step the work on machines on.
func (a *Agent) works(now time.Duration, unix int64, n *fleet.Node, p fleet.Plan, v evacuation.Statuses) {
	b, err := maintenance.Read(&p)
	if err != nil {
		return
	}
	f := maintenance.Observations{Servers: a.machines(), Members: map[string]maintenance.Member{}, RejectedShare: a.judge.RejectedShare(), Rate: a.feeder.Demand()}
	for key, w := range v {
		if !strings.Contains(key, ">") && !w.Hold {
			f.ZonesOut = append(f.ZonesOut, key)
		}
	}
	slices.Sort(f.ZonesOut)
	left := map[string]bool{}
	for _, m := range a.gossip.Members() {
		left[m.Name] = m.State == "left"
	}
	for _, q := range n.Peers() {
		f.Members[q.Name] = maintenance.Member{Left: left[q.Name], Reachable: q.HasStatus && now-q.LastStatusAt < a.o.Lease, Fresh: q.Status.Fresh,
			Withdrawn: q.Status.Withdrawn, Zone: q.Status.Zone, Voter: slices.Contains(a.o.Voters, q.Name), Incarnation: q.StartedAt}
	}
	f.Members[a.o.Gossip.Name] = maintenance.Member{Reachable: true, Fresh: true, Withdrawn: a.acknowledged(), Zone: a.o.Gossip.Metadata.Zone,
		Voter: slices.Contains(a.o.Voters, a.o.Gossip.Name), Leader: true, Incarnation: a.began.UnixNano()}
	next, moved := a.order.Step(now, unix, b, f)
	if !moved || !n.Propose(maintenance.Set(next)) {
		return
	}
	old := map[string]maintenance.State{}
	for _, r := range b.Requests {
		for _, m := range r.Machines {
			old[fmt.Sprint(r.ID, m.Name)] = m.State
		}
	}
	for _, r := range next.Requests {
		for _, m := range r.Machines {
			if was, ok := old[fmt.Sprint(r.ID, m.Name)]; ok && was != m.State {
				a.o.Log.Info("fleet: work "+m.Name+" "+m.State.String(), zap.Uint64("request", r.ID), zap.String("why", m.Note),
					zap.Stringer("on_epoch", p.Epoch))
			}
		}
	}
}

// drive has kept what has to be, and sends and says what the node has ready.
func (a *Agent) drive() {
	a.persist()
	sends, said := a.node.TakeOutput()
	for _, s := range sends {
		a.gossip.Send(s.To, s.Data)
	}
	for _, e := range said {
		a.say(e)
		if e.Kind == fleet.Fenced {
			a.hush() // gossip keeps one address for a name: the later process is only found once this one has left
		}
	}
}

// persist has kept what the node wants kept.
func (a *Agent) persist() {
	for {
		p, some := a.node.PendingStorage()
		if !some {
			return
		}
		if a.vault != nil {
			a.save(p)
			return
		}
		a.node.Persisted()
	}
}

// save begins to write something to the disk, unless a save is under way or has failed just now. Danger: a disk may take seconds to
// sync, and a member that waited for it would hear of no plan, answer no status, and lose its lease or the lead. Only what the node
// says as a voter waits.
func (a *Agent) save(p fleet.StorageUpdate) {
	if a.saving || !a.ailing.IsZero() && time.Since(a.ailing) < tick {
		return
	}
	a.saving = true
	go func() {
		began := time.Now()
		err := a.vault.Save(p)
		a.saves <- saveEnd{p, err, time.Since(began)}
	}()
}

// saved takes the end of a save. One that failed is tried again, and nothing that follows from it is said until then.
func (a *Agent) saved(s saveEnd) {
	a.saving = false
	if s.took >= slowSave {
		a.o.Log.Info("fleet: the folder is slow", zap.Duration("took", s.took))
	}
	if s.err != nil {
		a.ailing = time.Now()
		if a.ailing.Sub(a.said) > sayAgain {
			a.said = a.ailing
			a.o.Log.Error("the fleet's folder can't be written to: this voter is halted, and serves on", zap.Error(s.err))
		}
		return
	}
	if !a.ailing.IsZero() {
		a.ailing, a.said = time.Time{}, time.Time{}
		a.o.Log.Info("the fleet's folder can be written to again")
	}
	// The node may have gone on from another state meanwhile, which has to be kept in its turn.
	if p, some := a.node.PendingStorage(); some && p.Equal(s.persist) {
		a.node.Persisted()
	}
}

func (a *Agent) say(e fleet.Event) {
	p := a.node.Plan()
	switch e.Kind {
	case fleet.Fenced, fleet.Fault:
		a.o.Log.Warn("fleet: "+e.Text, zap.Stringer("epoch", p.Epoch))
	case fleet.GrantChanged: // several times a second while something is fed
	case fleet.PlanChanged:
		a.o.Log.Info("fleet: "+e.Text, zap.Stringer("epoch", e.Plan.Epoch), zap.String("digest", fmt.Sprintf("%016x", e.Plan.Digest())))
	default:
		a.o.Log.Info("fleet: "+e.Text, zap.Stringer("epoch", p.Epoch))
	}
	if e.Kind == fleet.PlanChanged {
		v := evacuation.Statuses{}
		_, err := p.Section(evacuation.Section, &v)
		w, ok := v[a.o.Gossip.Metadata.Zone]
		a.left = err == nil && ok && !w.Hold && w.State != evacuation.Returning
		if b, err := maintenance.Read(&p); err == nil {
			_, a.out = b.Withdrawn()[a.o.Gossip.Name]
		}
	}
	if a.o.OnDecisions != nil && (e.Kind == fleet.PlanChanged || e.Kind == fleet.GrantChanged || e.Kind == fleet.Fenced) {
		acts := Decisions{Plan: p}
		if b, err := maintenance.Read(&p); err == nil {
			acts.Withdrawn = b.Withdrawn()
		}
		if b, live := a.node.Grant(); live && len(b) > 0 {
			acts.SlowStart, _ = slowstart.Read(b)
		}
		a.o.OnDecisions(acts)
	}
}

// call has f run on the member's goroutine.
func (a *Agent) call(f func()) error {
	done := make(chan struct{})
	select {
	case a.calls <- func() { f(); close(done) }:
	case <-a.ended:
		return ErrEnded
	}
	select {
	case <-done:
		return nil
	case <-a.ended:
		return ErrEnded
	}
}

// Submit has something settled, and waits for it: the epoch in which it is, or why it is not.
func (a *Agent) Submit(ctx context.Context, verb string, args []byte) (fleet.Epoch, error) {
	type end struct {
		epoch fleet.Epoch
		err   error
	}
	ends := make(chan end, 1)
	if err := a.call(func() {
		now, unix := a.now()
		a.node.Submit(now, unix, verb, args, func(e fleet.Epoch, err error) { ends <- end{e, err} })
	}); err != nil {
		return fleet.Epoch{}, err
	}
	select {
	case e := <-ends:
		return e.epoch, e.err
	case <-ctx.Done():
		return fleet.Epoch{}, ctx.Err()
	case <-a.ended:
		return fleet.Epoch{}, ErrEnded
	}
}

// MemberStatus is a member as the status shows it.
type MemberStatus struct {
	gossip.Member
	Epoch       fleet.Epoch `json:"epoch"`          // that it acts on, as it last said
	Incarnation int64       `json:"incarnation"`    // when its process began, Unix ns; 0: it has said nothing yet
	Age         int64       `json:"last_report_ms"` // since its last status; -1: none
	Fresh       bool        `json:"fresh"`          // it says that its view is
	Voter       bool        `json:"voter"`
}

// Status is what operators are shown.
type Status struct {
	Name           string              `json:"name"`
	Fleet          string              `json:"fleet"`
	Leader         string              `json:"leader"`
	LeaderAge      int64               `json:"leader_ms"` // since there was word of it
	Quorum         bool                `json:"quorum"`    // the view is fresh: a leader with a quorum has said so within the lease
	Epoch          fleet.Epoch         `json:"epoch"`
	Sections       []string            `json:"sections"`
	Frozen         *fleet.OperatorMark `json:"frozen,omitempty"`
	Unacknowledged []string            `json:"unacknowledged"`
	Members        []MemberStatus      `json:"members"`
	PassedOver     uint64              `json:"passed_over"` // messages and reports that could not be used
	Folder         string              `json:"folder"`      // kept, halted, or none
}

// Status tells how things stand.
func (a *Agent) Status() (s Status, err error) {
	err = a.call(func() {
		p, self := a.node.Plan(), a.node.Self()
		leader, ago := a.node.Leader()
		s = Status{Name: a.o.Gossip.Name, Fleet: a.o.Gossip.Fleet, Leader: leader, LeaderAge: ago.Milliseconds(), Quorum: self.Fresh,
			Epoch: p.Epoch, Unacknowledged: a.node.Unacknowledged(p.Epoch), PassedOver: a.node.Dropped(), Folder: "none"}
		if a.vault != nil {
			if s.Folder = "kept"; !a.ailing.IsZero() {
				s.Folder = "halted"
			}
		}
		if m, ok := p.Frozen(); ok {
			s.Frozen = &m
		}
		for name := range p.Sections {
			s.Sections = append(s.Sections, name)
		}
		slices.Sort(s.Sections)
		now, _ := a.now()
		peers := map[string]fleet.Peer{}
		for _, p := range a.node.Peers() {
			peers[p.Name] = p
		}
		for _, m := range a.gossip.Members() {
			v := MemberStatus{Member: m, Age: -1, Voter: slices.Contains(a.o.Voters, m.Name)}
			if p, ok := peers[m.Name]; ok && p.HasStatus {
				v.Epoch, v.Incarnation, v.Age, v.Fresh = p.Status.Epoch, p.StartedAt, (now - p.LastStatusAt).Milliseconds(), p.Status.Fresh
			}
			if m.Name == s.Name {
				v.Epoch, v.Incarnation, v.Age, v.Fresh = p.Epoch, a.began.UnixNano(), 0, self.Fresh
			}
			s.Members = append(s.Members, v)
		}
	})
	return s, err
}
