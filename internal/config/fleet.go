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

// Fleet is the configuration of a process as a member of a fleet.
type Fleet struct {
	Name              string            // name of the fleet; members of other fleets are ignored
	Listen            string            // host:port for TCP and UDP; only on loopback without a keyring
	Region            string            // region of this gateway's zone
	Voters            []string          // names of the voters: an odd number of them, the same at all members
	Seeds             []string          // initial members, each as NAME/HOST:PORT or as a name in Peers
	Keyring           string            // path of a file with one base64 key per line; the first key encrypts
	Dir               string            // folder of a voter's log; if empty, the log is lost with the process
	Lease             time.Duration     // age from which an unconfirmed view counts as outdated; default 2 s
	StatusInterval    time.Duration     // minimum time between two statuses of a member; default 200 ms
	Peers             map[string]string // addresses by member name, in place of those that members announce
	MaxEvacuatedZones int               // number of evacuated zones from which the fleet evacuates no more without an operator, unless a whole region fails; 0: a third of all zones
	Registry          Registry          // registry in which members are found; if it has no servers, only Seeds are used
}

// LoadFleet reads the fleet file and checks it against the published schema. It returns nil if the path is empty.
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

// Defaults of the fleet file, in milliseconds, and the minimum ratio of the lease to the status interval.
const (
	defaultLeaseMS  = 2000
	defaultStatusMS = 200

	minStatusesPerLease = 4 // more than 1, because a status or its answer may be lost
)

// check returns an error for the first key with a value that the schema allows but a fleet can't work with.
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
	slices.Sort(names) // so that each run reports the same of several faults
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
	if err := toml.Unmarshal(text, &f); err != nil { // not expected after the check against the schema
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
	return &Fleet{MaxEvacuatedZones: l.MaxZones, Registry: registry, Name: l.Name, Listen: l.Listen, Region: l.Region,
		Voters: l.Voters, Seeds: l.Seeds, Keyring: l.Keyring, Dir: l.Dir,
		Lease: time.Duration(l.LeaseMS) * time.Millisecond, StatusInterval: time.Duration(l.StatusMS) * time.Millisecond, Peers: f.Peers}, nil
}
