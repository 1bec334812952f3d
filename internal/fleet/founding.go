package fleet

import (
	"maps"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// fresh gives what a configured voter says of itself, if that is fresh.
func (n *Node) freshVoter(name string) (Status, bool) {
	if name == n.cfg.Name {
		return n.self(), n.saved != nil && n.whole == nil
	}
	p := n.peers[name]
	if p == nil || !p.HasStatus || n.now-p.LastStatusAt > freshStatus || p.Status.Identity == 0 {
		return Status{}, false
	}
	return p.Status, true
}

// dead tells whether no log can commit anything any more, by what all configured voters say, all of them heard just now:
// nobody has heard a leader for a while, and none of them could be elected, as too few of those that vote in the log that
// it holds are there under the identities of then. It gives the newest founding that anybody has promised or holds.
func (n *Node) dead() (newest uint64, yes bool) {
	there, all := map[uint64]bool{}, []Status{}
	newest = n.plan.Epoch.Generation
	for _, name := range n.cfg.Voters {
		s, ok := n.freshVoter(name)
		if !ok {
			return 0, false
		}
		newest = max(newest, s.Promised, s.Generation, s.Epoch.Generation)
		there[s.Identity] = true
		all = append(all, s)
	}
	quorum := func(ids []uint64) bool {
		have := 0
		for _, id := range ids {
			if there[id] {
				have++
			}
		}
		return len(ids) == 0 || have > len(ids)/2
	}
	held := false
	for _, s := range all {
		if held = held || s.Generation != 0; len(s.Voters) > 0 && quorum(s.Voters) && quorum(s.OutgoingVoters) {
			return 0, false
		}
	}
	if held && n.leader != "" && n.now-n.leaderAt < deadAfter {
		return 0, false
	}
	return newest, true
}

// found has the first voter found a log, where there is none that can go on: it asks all others for their promise.
func (n *Node) found() {
	if n.voter == nil || n.fenced || n.cfg.Voters[0] != n.cfg.Name || n.whole != nil {
		return
	}
	if n.founds != 0 && n.now-n.foundAt > foundTime {
		n.founds = 0
	}
	if n.founds == 0 {
		newest, dead := n.dead()
		if !dead {
			return
		}
		// Danger: where all have forgotten all, the clock alone keeps two foundings apart; so it is in milliseconds.
		n.founds, n.foundAt = max(newest+1, uint64(max(0, n.unix))), n.now
		clear(n.promises)
		n.void(n.founds)
	}
	missing := 0
	for _, name := range n.cfg.Voters {
		if name != n.cfg.Name && n.promises[name] == nil {
			missing++
			n.send(name, envelope{Found: &founding{Number: n.founds}})
		}
	}
	if missing > 0 {
		return
	}
	newest := n.plan
	for _, name := range slices.Sorted(maps.Keys(n.promises)) {
		if p := n.promises[name]; newest.Epoch.Less(p.Epoch) {
			newest = *p
		}
	}
	number := n.founds
	n.founds = 0
	n.adopt(founded(n.saved.Identity, number, Plan{Epoch: Epoch{number, 1}, Sections: newest.Sections}))
	n.leader, n.leaderAt = n.cfg.Name, n.now
	n.after = append(n.after, func() {
		_ = n.voter.rn.Campaign() // alone, it waits for nobody
		n.voter.pump()
		n.say(GenerationStarted, "a log is founded: %d, on plan %v", number, newest.Epoch)
	})
}

// void gives up what the voter held, for a founding's sake.
func (n *Node) void(number uint64) {
	n.blank(number)
	n.say(Promised, "no log older than %d is heard any more", number)
}

// heardFound hears that the first voter wants to found a log, or that another has promised it.
func (n *Node) heardFound(from string, f *founding) {
	if n.voter == nil || n.whole != nil || len(n.cfg.Voters) == 0 {
		return
	}
	if f.Promise {
		if f.Number == n.founds && slices.Contains(n.cfg.Voters, from) {
			n.promises[from] = &Plan{}
			if f.Plan != nil && len(f.Plan.Sections) <= mostSections && f.Plan.size() <= mostPlan {
				n.promises[from] = f.Plan
			}
		}
		return
	}
	if from != n.cfg.Voters[0] || f.Number < n.saved.Promised || n.saved.Generation >= f.Number {
		return
	}
	promise := func() {
		n.send(from, envelope{Found: &founding{Number: f.Number, Promise: true, Plan: &n.plan}})
	}
	if f.Number == n.saved.Promised && n.saved.Generation == 0 {
		promise() // it was, and the answer may have been lost
		return
	}
	if n.saved.Generation != 0 { // a voter with a log in hand looks for itself
		if _, dead := n.dead(); !dead {
			return
		}
	}
	n.void(f.Number)
	n.after = append(n.after, promise)
}

// reshape has the leader take voters in under the identity that they now have, one at a time, and the plan say who they are.
func (n *Node) reshape() {
	v := n.voter
	if len(v.conf.GetVotersOutgoing()) > 0 {
		return // a change is under way
	}
	in := v.conf.GetVoters()
	names := map[uint64]string{n.saved.Identity: n.cfg.Name}
	for name, id := range v.plan.voters() {
		if names[id] == "" {
			names[id] = name
		}
	}
	for _, name := range n.cfg.Voters {
		s, ok := n.freshVoter(name)
		if !ok || s.Identity == 0 {
			continue
		}
		names[s.Identity] = name
		if slices.Contains(in, s.Identity) || s.Generation != 0 && s.Generation != v.founding || s.Promised > v.founding {
			continue
		}
		var out []uint64
		for _, id := range in {
			if names[id] == name {
				out = append(out, id)
			}
		}
		if v.reshape(out, []uint64{s.Identity}) == nil {
			n.say(VotersChanged, "%s votes as %x, in place of %d others of its name", name, s.Identity, len(out))
		}
		n.collect()
		return
	}
	now := map[string]uint64{}
	for _, id := range in {
		if name := names[id]; name != "" {
			now[name] = id
		}
	}
	if len(now) == len(n.cfg.Voters) && len(in) > len(now) { // all are in, and nobody knows whose the others were
		var out []uint64
		for _, id := range in {
			if names[id] == "" || now[names[id]] != id {
				out = append(out, id)
			}
		}
		if v.reshape(out, nil) == nil {
			n.say(VotersChanged, "%d voters that nobody is any more are out", len(out))
		}
		n.collect()
		return
	}
	if len(now) == len(in) && !maps.Equal(now, v.plan.voters()) {
		n.Propose(map[string]cbor.RawMessage{sectionVoters: encode(now)})
	}
}
