package gossip

import (
	"math/rand/v2"
	"strings"
)

const (
	maxCandidates  = 4096
	aloneJoinCount = 5 // addresses that a member without any other tries at once; else one
)

// AddCandidates replaces the addresses, by name, under which members may be found. It is a hint: a member
// that is not named is not gone, as a registry that lost its sessions names nobody.
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

// joinTargets chooses addresses to join in this round at random: one, or several while this member is alone.
// None if nobody is missing.
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

// missingMembers returns NAME/HOST:PORT of candidates and seeds that are not alive, and of dead members.
// One that left is not missing.
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
