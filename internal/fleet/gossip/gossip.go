// Package gossip knows the members of a fleet and carries their messages: SWIM by hashicorp/memberlist, over
// a transport that can reach each peer under an address of its own.
package gossip

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"
)

const (
	joinInterval    = time.Second            // between two attempts to join missing members, randomized by half of it
	probeInterval   = time.Second            // between two of SWIM's health checks
	gossipInterval  = 500 * time.Millisecond // between two rounds of SWIM's gossip; it carries membership only, which may take seconds
	streamTimeout   = 2 * time.Second        // to open a connection
	deadReclaimTime = 10 * time.Second       // a dead member may return under another address
	leaveTimeout    = time.Second            // to tell the others on shutdown
)

// Options configure a member's part.
type Options struct {
	Fleet        string
	Name         string
	Listen       string            // host:port, for TCP and UDP
	Peers        map[string]string // by name, the address under which this process reaches a member; others as they advertise themselves
	Seeds        []string          // NAME/HOST:PORT, or the name of a peer
	Keyring      string            // path of a file with a base64 key a line, the first to encrypt with; empty: only loopback is allowed
	Metadata     Metadata
	Receive      func([]byte)             // a message of a member; called by several goroutines, must neither block nor keep the bytes
	StateChanged func(name, state string) // a member changed to alive, dead or left; must not block
	Log          *zap.Logger
}

// Gossip is one member's part. Its methods may be called from any goroutine.
type Gossip struct {
	options   Options
	list      *memberlist.Memberlist
	transport *transport
	outgoing  chan outgoingMessage // too large for a datagram

	mu         sync.Mutex
	members    map[string]Member // every member ever seen by this process
	candidates map[string]string // addresses by name, of AddCandidates
}

// Open listens and takes part; Run finds the others. Without a keyring it listens on loopback only.
func Open(o Options) (*Gossip, error) {
	config, err := memberlistConfig(o)
	if err != nil {
		return nil, err
	}
	ring, err := readKeyring(o.Keyring)
	if err != nil {
		return nil, err
	}
	if ip := net.ParseIP(config.BindAddr); ring == nil && (ip == nil || !ip.IsLoopback()) {
		return nil, fmt.Errorf("gossip: %s is not of loopback, and without a keyring anybody there could speak", o.Listen)
	}
	transport, err := newTransport(o.Listen, o.Peers)
	if err != nil {
		return nil, err
	}
	g := &Gossip{
		options:   o,
		transport: transport,
		outgoing:  make(chan outgoingMessage, outgoingQueueSize),
		members:   map[string]Member{},
	}
	config.Keyring = ring
	config.Transport = transport
	config.Delegate = &delegate{g}
	config.Events = &delegate{g}
	if g.list, err = memberlist.Create(config); err != nil {
		transport.Shutdown()
		return nil, err
	}
	return g, nil
}

// memberlistConfig is the library's configuration, without what Open makes.
func memberlistConfig(o Options) (*memberlist.Config, error) {
	host, portText, err := net.SplitHostPort(o.Listen)
	if err != nil {
		return nil, err
	}
	port, err := strconv.Atoi(portText)
	if err != nil {
		return nil, err
	}
	logger, err := zap.NewStdLogAt(o.Log.WithOptions(zap.WithCaller(false)), zap.DebugLevel)
	if err != nil {
		return nil, err
	}
	config := memberlist.DefaultLANConfig()
	config.Name = o.Name
	config.Label = o.Fleet // members of other fleets are rejected
	config.BindAddr = host
	config.BindPort = port
	config.AdvertiseAddr = host
	config.AdvertisePort = port
	config.Logger = logger
	config.TCPTimeout = streamTimeout
	config.ProbeInterval = probeInterval
	config.GossipInterval = gossipInterval
	config.DeadNodeReclaimTime = deadReclaimTime
	config.EnableCompression = false
	config.RequireNodeNames = true
	return config, nil
}

// Run joins members that are missing until the context ends, then leaves and closes what Open opened.
func (g *Gossip) Run(ctx context.Context) {
	var senders sync.WaitGroup
	for range streamSenders {
		senders.Go(func() { g.sendOutgoing(ctx) })
	}
	for ctx.Err() == nil {
		if addresses := g.joinTargets(); len(addresses) > 0 {
			_, _ = g.list.Join(addresses) // a failure is repeated in the next round
		}
		select {
		case <-ctx.Done():
		case <-time.After(joinInterval/2 + rand.N(joinInterval)):
		}
	}
	_ = g.list.Leave(leaveTimeout)
	_ = g.list.Shutdown()
	senders.Wait()
}
