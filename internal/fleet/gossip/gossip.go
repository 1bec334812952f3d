// Package gossip knows who is in the fleet, and carries members' messages: a SWIM library over sockets of its own, with an
// own address for each peer where an installation, or a drill, needs that. It owns those sockets.
package gossip

import (
	"context"
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"
)

// Options say how to take part.
type Options struct {
	Fleet    string
	Name     string
	Listen   string            // host:port, for TCP and UDP
	Peers    map[string]string // by name, the address under which this process reaches a member; others as they say themselves
	Seeds    []string          // NAME/HOST:PORT, or the name of a peer
	Keyring  string            // a file with a key a line, in base64, the first to write with; empty: loopback only
	Metadata Metadata
	Receive  func([]byte)             // a message of a member; it may not block, nor keep the bytes
	Changed  func(name, state string) // a member came, or went; it may not block
	Log      *zap.Logger
}

// Metadata is what members say of themselves once.
type Metadata struct {
	Zone    string `cbor:"1,keyasint" json:"zone"`
	Region  string `cbor:"2,keyasint,omitempty" json:"region,omitempty"`
	Number  int    `cbor:"3,keyasint" json:"number"`
	Version string `cbor:"4,keyasint" json:"version"`
	Role    string `cbor:"5,keyasint" json:"role"`
}

// States of a member.
const (
	StateAlive   = "alive"
	StateSuspect = "suspect" // it answers no health check of gossip's
	StateGone    = "gone"    // it was suspect for too long
	StateLeft    = "left"    // it said so
)

// Member is one as gossip has it.
type Member struct {
	Name     string `json:"name"`
	State    string `json:"state"` // alive, suspect, gone, left
	Address  string `json:"address"`
	Metadata `json:"about"`
}

const (
	datagram  = 1200 // bytes of a message that goes as one
	reliable  = 256  // messages that wait for a connection
	senders   = 4
	rejoin    = time.Second // between two tries to find members that are gone, or all of them
	probe     = time.Second
	spread    = 500 * time.Millisecond // between two rounds of the library's gossip: of members only, whose news may take seconds
	streamFor = 2 * time.Second        // to open a connection
	mostFound = 4096
	askAtOnce = 5 // places where others may be, by a member that is alone
)

// Gossip is one member's part.
type Gossip struct {
	o     Options
	list  *memberlist.Memberlist
	net   *transport
	out   chan parcel
	mu    sync.Mutex
	known map[string]Member // all that ever were here, and are not forgotten
	found map[string]string // addresses by name, where others say that members are
}

type parcel struct {
	to memberlist.Address
	b  []byte
}

// Open listens and takes part; Run finds the others.
func Open(o Options) (*Gossip, error) {
	host, portText, err := net.SplitHostPort(o.Listen)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, err
	}
	ring, err := keyring(o.Keyring)
	if err != nil {
		return nil, err
	}
	if ip := net.ParseIP(host); ring == nil && (ip == nil || !ip.IsLoopback()) {
		return nil, fmt.Errorf("gossip: %s is not of loopback, and without a keyring anybody there could speak", o.Listen)
	}
	logger, err := zap.NewStdLogAt(o.Log.WithOptions(zap.WithCaller(false)), zap.DebugLevel)
	if err != nil {
		return nil, err
	}
	network, err := newTransport(o.Listen, o.Peers)
	if err != nil {
		return nil, err
	}
	g := &Gossip{o: o, net: network, out: make(chan parcel, reliable), known: map[string]Member{}}
	c := memberlist.DefaultLANConfig()
	c.Name, c.Label, c.BindAddr, c.BindPort, c.AdvertiseAddr, c.AdvertisePort = o.Name, o.Fleet, host, port, host, port
	c.Transport, c.Keyring, c.Logger = network, ring, logger
	c.TCPTimeout, c.ProbeInterval, c.GossipInterval = streamFor, probe, spread
	c.DeadNodeReclaimTime, c.EnableCompression, c.RequireNodeNames = 10*time.Second, false, true
	c.Delegate, c.Events = &delegate{g}, &delegate{g}
	if g.list, err = memberlist.Create(c); err != nil {
		network.Shutdown()
		return nil, err
	}
	return g, nil
}

// keyring reads a file of keys; nil: there is none.
func keyring(path string) (*memberlist.Keyring, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var keys [][]byte
	for i, line := range strings.Split(strings.TrimSpace(string(text)), "\n") {
		k, err := base64.StdEncoding.DecodeString(strings.TrimSpace(line))
		if err != nil {
			return nil, fmt.Errorf("gossip: %s:%d is not base64", path, i+1)
		}
		keys = append(keys, k)
	}
	return memberlist.NewKeyring(keys, keys[0])
}

// delegate hears from the library.
type delegate struct{ g *Gossip }

func (d *delegate) NodeMeta(limit int) []byte {
	b, err := cbor.Marshal(d.g.o.Metadata)
	if err != nil || len(b) > limit {
		return nil
	}
	return b
}
func (d *delegate) NotifyMsg(b []byte)              { d.g.o.Receive(b) }
func (d *delegate) GetBroadcasts(int, int) [][]byte { return nil }
func (d *delegate) LocalState(bool) []byte          { return nil }
func (d *delegate) MergeRemoteState([]byte, bool)   {}
func (d *delegate) NotifyJoin(n *memberlist.Node)   { d.g.note(n, "alive") }
func (d *delegate) NotifyUpdate(n *memberlist.Node) { d.g.note(n, "alive") }
func (d *delegate) NotifyLeave(n *memberlist.Node) {
	state := "gone"
	if n.State == memberlist.StateLeft {
		state = "left"
	}
	d.g.note(n, state)
}

func (g *Gossip) note(n *memberlist.Node, state string) {
	m := Member{Name: n.Name, State: state, Address: n.Address()}
	if cbor.Unmarshal(n.Meta, &m.Metadata) != nil {
		m.Metadata = Metadata{}
	}
	g.mu.Lock()
	g.known[n.Name] = m
	g.mu.Unlock()
	g.o.Changed(n.Name, state)
}

// Members are all that gossip knows, by name; those that it suspects are said to be.
func (g *Gossip) Members() []Member {
	suspect := map[string]bool{}
	for _, n := range g.list.Members() {
		suspect[n.Name] = n.State == memberlist.StateSuspect
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var all []Member
	for _, m := range g.known {
		if m.State == "alive" && suspect[m.Name] {
			m.State = "suspect"
		}
		all = append(all, m)
	}
	slices.SortFunc(all, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Sent is how many bytes this member has sent to others.
func (g *Gossip) Sent() uint64 { return g.net.sent.Load() }

// Send carries a message to a member, or not: whoever sends can bear its loss. It does not block.
func (g *Gossip) Send(name string, b []byte) {
	a, ok := g.address(name)
	if !ok {
		return
	}
	if len(b) <= datagram {
		_ = g.list.SendToAddress(a, b)
		return
	}
	select {
	case g.out <- parcel{a, b}:
	default: // connections are slow: a message that is lost is sent anew
	}
}

func (g *Gossip) address(name string) (memberlist.Address, bool) {
	g.mu.Lock()
	m, ok := g.known[name]
	g.mu.Unlock()
	if own, has := g.o.Peers[name]; has && !ok {
		m.Address, ok = own, true
	}
	return memberlist.Address{Addr: m.Address, Name: name}, ok
}

// AddCandidates tells, by name, where members may be. It is a hint and no more: who is not named is not taken for gone, as a
// registry that lost its sessions names nobody.
func (g *Gossip) AddCandidates(at map[string]string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.found = map[string]string{}
	for name, addr := range at {
		if len(g.found) < mostFound && name != g.o.Name {
			g.found[name] = addr
		}
	}
}

// seeds are the places where members may be: those that are told or found, and those that are gone.
func (g *Gossip) seeds() (all []string, alone bool) {
	alone = g.list.NumMembers() <= 1
	g.mu.Lock()
	for name, addr := range g.found {
		if g.known[name].State != "alive" {
			if own, ok := g.o.Peers[name]; ok {
				addr = own
			}
			all = append(all, name+"/"+addr)
		}
	}
	g.mu.Unlock()
	for _, s := range g.o.Seeds {
		name, addr, full := strings.Cut(s, "/")
		if !full {
			if addr = g.o.Peers[name]; addr == "" {
				continue
			}
		}
		g.mu.Lock()
		m := g.known[name]
		g.mu.Unlock()
		if name != g.o.Name && m.State != "alive" {
			all = append(all, name+"/"+addr)
		}
	}
	for _, m := range g.Members() {
		if m.State == "gone" && m.Name != g.o.Name {
			all = append(all, m.Name+"/"+m.Address)
		}
	}
	return all, alone
}

// Run finds the others, and finds again those that were lost, until the context ends; then it says good-bye.
func (g *Gossip) Run(ctx context.Context) {
	var all sync.WaitGroup
	for range senders {
		all.Go(func() {
			for {
				select {
				case <-ctx.Done():
					return
				case p := <-g.out:
					host, port, _ := net.SplitHostPort(p.to.Addr)
					n, _ := strconv.Atoi(port)
					_ = g.list.SendReliable(&memberlist.Node{Name: p.to.Name, Addr: net.ParseIP(host), Port: uint16(n)}, p.b)
				}
			}
		})
	}
	for ctx.Err() == nil {
		if seeds, alone := g.seeds(); len(seeds) > 0 {
			rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
			if many := 1; len(seeds) > many {
				if alone {
					many = min(len(seeds), askAtOnce)
				}
				seeds = seeds[:many]
			}
			_, _ = g.list.Join(seeds) // one that is not there is asked again
		}
		select {
		case <-ctx.Done():
		case <-time.After(rejoin/2 + rand.N(rejoin)):
		}
	}
	_ = g.list.Leave(time.Second)
	_ = g.list.Shutdown()
	all.Wait()
}
