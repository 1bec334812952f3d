package config

import (
	"net/url"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"dewhitch/deploy"
)

// Fleet is how a process takes part in a fleet; nil: it does not.
type Fleet struct {
	Name, Listen, Region  string
	Voters, Seeds         []string
	Keyring, Dir          string
	Lease, StatusInterval time.Duration
	Peers                 map[string]string
	MaxEvacuatedZones     int      // that the fleet may have out at once of its own accord; 0: a third
	Registry              Registry // where members are found; without servers they are found by seeds alone
}

// LoadFleet reads the fleet file and checks it against the published schema; an empty path is no fleet.
func LoadFleet(path string) (*Fleet, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, newError(path, "%v", err)
	}
	return parseFleet(path, text)
}

// fleetFile mirrors the fleet's file.
type fleetFile struct {
	Fleet struct {
		Name     string
		Listen   string
		Region   string
		Voters   []string
		Seeds    []string
		Keyring  string
		Dir      string
		LeaseMS  int `toml:"lease_ms"`
		StatusMS int `toml:"status_ms"`
		MaxZones int `toml:"most_zones_out"`
		Registry registryFile
	}
	Peers map[string]string
}

// The defaults of a fleet's file, in milliseconds.
const (
	defaultLeaseMS  = 2000
	defaultStatusMS = 200

	minStatusesPerLease = 4 // as a status or its answer may be lost
)

// check names the first key that no fleet could work with.
func (f *fleetFile) check() error {
	l := &f.Fleet
	if l.Name == "" {
		return newError("fleet", "missing")
	}
	if err := checkAddress("fleet.listen", l.Listen); err != nil {
		return err
	}
	if len(l.Voters)%2 == 0 {
		return newError("fleet.voters", "%d; an odd number, as an even one bears no more losses than one less", len(l.Voters))
	}
	for _, s := range l.Seeds {
		name, addr, hasAddr := strings.Cut(s, "/")
		if !hasAddr {
			if addr = f.Peers[name]; addr == "" {
				return newError("fleet.seeds", "%q is neither NAME/HOST:PORT nor a name of [peers]", s)
			}
		}
		if err := checkAddress("fleet.seeds", addr); err != nil {
			return err
		}
	}
	names := []string{}
	for name := range f.Peers {
		names = append(names, name)
	}
	slices.Sort(names) // of two faults, the same one is said each time
	for _, name := range names {
		if err := checkAddress("peers."+name, f.Peers[name]); err != nil {
			return err
		}
	}
	if l.LeaseMS < minStatusesPerLease*l.StatusMS {
		return newError("fleet.lease_ms", "%d; at least four times status_ms, as a status or its answer may be lost", l.LeaseMS)
	}
	return nil
}

func parseFleet(path string, text []byte) (*Fleet, error) {
	if err := validateFile(path, text, "fleet.schema.json", deploy.FleetSchema); err != nil {
		return nil, err
	}
	var f fleetFile
	f.Fleet.LeaseMS, f.Fleet.StatusMS = defaultLeaseMS, defaultStatusMS
	f.Fleet.Registry.Path = defaultMembersPath
	if err := toml.Unmarshal(text, &f); err != nil { // the schema has seen to that
		return nil, newError(path, "%v", err)
	}
	l := &f.Fleet
	if err := f.check(); err != nil {
		return nil, err
	}
	registry, err := l.Registry.parse("fleet.registry")
	if err != nil {
		return nil, err
	}
	registry.Path += "/" + url.PathEscape(l.Name)
	return &Fleet{MaxEvacuatedZones: l.MaxZones, Registry: registry, Name: l.Name, Listen: l.Listen, Region: l.Region, Voters: l.Voters, Seeds: l.Seeds, Keyring: l.Keyring, Dir: l.Dir,
		Lease: time.Duration(l.LeaseMS) * time.Millisecond, StatusInterval: time.Duration(l.StatusMS) * time.Millisecond, Peers: f.Peers}, nil
}
