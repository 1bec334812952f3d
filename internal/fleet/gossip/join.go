package gossip

import (
	"math/rand/v2"
	"strings"
)

const (
	maxCandidates  = 4096 // limit on the addresses of AddCandidates
	aloneJoinCount = 5    // number of addresses that a member joins per round while it knows no other member; otherwise it joins one
)

// AddCandidates replaces the addresses, by name, at which members may be found. They are hints: a missing address is
// no sign that a member is gone, because a registry that lost its sessions lists no member.
func (g *Gossip) AddCandidates(addressByName map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.candidates = map[string]string{}
	for name, address := range addressByName {
		if len(g.candidates) < maxCandidates && name != g.options.Name {
			g.candidates[name] = address
		}
	}
}

// joinTargets returns randomly chosen addresses to join in this round: one, or up to aloneJoinCount while this member
// knows no other. It returns none if no member is missing.
func (g *Gossip) joinTargets() []string {
	alone := g.list.NumMembers() <= 1
	addresses := g.missingMembers()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	limit := 1
	if alone {
		limit = aloneJoinCount
	}
	return addresses[:min(limit, len(addresses))]
}

// missingMembers returns NAME/HOST:PORT of the candidates and seeds that are not alive, and of the dead members. It
// omits a member that left, unless it is a candidate or a seed.
func (g *Gossip) missingMembers() []string {
	addresses := g.missingCandidates()
	for _, seed := range g.options.Seeds {
		name, address, complete := strings.Cut(seed, "/")
		if !complete {
			if address = g.options.Peers[name]; address == "" {
				continue
			}
		}
		if m, _ := g.member(name); name != g.options.Name && m.State != StateAlive {
			addresses = append(addresses, name+"/"+address)
		}
	}
	for _, m := range g.Members() {
		if m.State == StateDead && m.Name != g.options.Name {
			addresses = append(addresses, m.Name+"/"+m.Address)
		}
	}
	return addresses
}

// missingCandidates returns NAME/HOST:PORT of the candidates that are not alive.
func (g *Gossip) missingCandidates() (addresses []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, address := range g.candidates {
		if g.members[name].State == StateAlive {
			continue
		}
		if configured, ok := g.options.Peers[name]; ok {
			address = configured
		}
		addresses = append(addresses, name+"/"+address)
	}
	return addresses
}
