package drill

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"dewhitch/internal/standin"
)

// Bounds of the number of voters.
const (
	minVoters = 3 // with fewer zones, several gateways of a zone are voters
	maxVoters = 5
)

// voters returns the names of the gateways that vote: the first gateway of each zone, then the second ones until there are
// minVoters. Their number is one, three or five.
func (c *cluster) voters() (names []string) {
	for i := 1; i <= c.Gateways && len(names) < minVoters; i++ {
		for _, zone := range c.Zones {
			if len(names) < maxVoters {
				names = append(names, gatewayName(zone, i))
			}
		}
	}
	if len(names)%2 == 0 {
		names = names[:len(names)-1]
	}
	return names
}

// fleetFile opens a gateway's links to the other gateways and to the registry, and returns the content of its fleet file.
func (c *cluster) fleetFile(g *gateway) (string, error) {
	var b strings.Builder
	seeds := slices.DeleteFunc(c.voters(), func(n string) bool { return n == g.name })
	if c.registry != nil {
		seeds = nil
	}
	fmt.Fprintf(&b, "[fleet]\nname = \"drill\"\nlisten = %q\nregion = %q\nvoters = %s\nseeds = %s\ndir = %q\n\n", g.fleetAddress, c.Regions[g.zone],
		quoteList(c.voters()), quoteList(seeds), g.File("fleet"))
	if c.registry != nil {
		l, err := c.net.Open(g.name, "registry", standin.OwnAddr(), c.registry.Addr(), false)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "[fleet.registry]\nservers = [%q]\n\n", l.Addr())
	}
	b.WriteString("[peers]\n")
	for _, peer := range c.gateways {
		if peer == g {
			continue
		}
		l, err := c.net.Open(g.name, peer.name, standin.OwnAddr(), peer.fleetAddress, true)
		if err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "%s = %q\n", peer.name, l.Addr())
	}
	return b.String(), nil
}

// quoteList returns a TOML array of strings.
func quoteList(texts []string) string {
	var quoted []string
	for _, text := range texts {
		quoted = append(quoted, strconv.Quote(text))
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}
