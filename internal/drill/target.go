package drill

import (
	"fmt"
	"slices"

	"go.starlark.net/starlark"
)

// target is a value of a scenario file that refers to gateways, servers, the leader, the counter or the registry.
type target struct {
	text  string // call, as written in the file
	kind  string // function that made the target: gateways, servers, zone, gateway, server, leader, counter or registry
	zone  string // letter of the zone; empty for all zones
	index int    // number within the zone, from 1; 0 for all
}

func (t target) String() string        { return t.text }
func (t target) Type() string          { return t.kind }
func (t target) Freeze()               {}
func (t target) Truth() starlark.Bool  { return true }
func (t target) Hash() (uint32, error) { return starlark.String(t.text).Hash() }

// Unpack implements starlark.Unpacker.
func (t *target) Unpack(v starlark.Value) error {
	parsed, ok := v.(target)
	if !ok {
		return fmt.Errorf("got %s, expected gateways, servers or a zone", v.Type())
	}
	*t = parsed
	return nil
}

// target parses the call of servers("b"), zone("a"), gateway("a", 1) and the other functions that return targets.
func (b *scenarioBuilder) target(c *builtinCall, kind string) (starlark.Value, error) {
	zone, index := "", 0
	var err error
	if one := kind == "gateway" || kind == "server"; one {
		err = c.unpack("zone", &zone, "number", &index)
	} else {
		err = c.unpack("zone?", &zone)
	}
	if err != nil {
		return nil, err
	}
	if !b.hasFleet {
		return nil, fmt.Errorf("%s before fleet(...); expected the fleet first", kind)
	}
	if (zone != "" || kind == "zone") && !slices.Contains(b.scenario.Zones, zone) {
		return nil, fmt.Errorf("zone %q; expected one of %q", zone, b.scenario.Zones)
	}
	switch kind {
	case "gateway":
		err = checkRange("gateway", float64(index), 1, float64(b.scenario.Gateways))
	case "server":
		err = checkRange("server", float64(index), 1, float64(b.scenario.Servers))
	}
	return target{text: c.text(), kind: kind, zone: zone, index: index}, err
}

// resolve returns the names of the gateways and servers of a target.
func (b *scenarioBuilder) resolve(t target) (gateways, servers []string) {
	for _, z := range b.scenario.Zones {
		if t.zone != "" && t.zone != z {
			continue
		}
		if t.kind == "gateways" || t.kind == "gateway" || t.kind == "zone" {
			for i := 1; i <= b.scenario.Gateways; i++ {
				if t.index == 0 || t.index == i {
					gateways = append(gateways, gatewayName(z, i))
				}
			}
		}
		if t.kind == "servers" || t.kind == "server" || t.kind == "zone" {
			for i := 1; i <= b.scenario.Servers; i++ {
				if t.index == 0 || t.index == i {
					servers = append(servers, serverName(z, i))
				}
			}
		}
	}
	return gateways, servers
}

func gatewayName(zone string, i int) string { return fmt.Sprintf("gateway-%s%d", zone, i) }
func serverName(zone string, i int) string  { return fmt.Sprintf("server-%s%d", zone, i) }
