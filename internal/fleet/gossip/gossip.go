// Package gossip tracks the members of a fleet and sends messages between them. It runs the SWIM protocol of
// hashicorp/memberlist over a transport that can use a configured address for each peer.
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
	joinInterval    = time.Second            // mean time between two attempts to join missing members, randomized by half of it
	probeInterval   = time.Second            // time between two of SWIM's health checks
	gossipInterval  = 500 * time.Millisecond // time between two rounds of SWIM's gossip, which carries only membership and may take seconds
	streamTimeout   = 2 * time.Second        // timeout for opening a connection
	deadReclaimTime = 10 * time.Second       // time after which a dead member may return under another address
	leaveTimeout    = time.Second            // timeout for the announcement that this member leaves
)

// Options configures a member.
type Options struct {
	Fleet        string            // name of the fleet
	Name         string            // name of this member
	Listen       string            // host:port for TCP and UDP
	Peers        map[string]string // addresses at which this process reaches members, by name; others are reached as they advertise themselves
	Seeds        []string          // members to join, each as NAME/HOST:PORT or as the name of a peer
	Keyring      string            // path of a file with a base64 key per line, of which the first encrypts; empty: only loopback is allowed
	Metadata     Metadata
	Receive      func([]byte)             // handles a message from a member; called from several goroutines, must not block or keep the bytes
	StateChanged func(name, state string) // handles a change to alive, dead or left; called from several goroutines, must not block
	Log          *zap.Logger
}

// Gossip is this process's member of a fleet. Its methods may be called from any goroutine.
type Gossip struct {
	options   Options
	list      *memberlist.Memberlist
	transport *transport
	outgoing  chan outgoingMessage // messages that are too large for a datagram

	mu         sync.Mutex
	members    map[string]Member // all members that this process has ever seen, by name
	candidates map[string]string // addresses of AddCandidates, by name
}

// Open starts to listen. Run joins the other members. Without a keyring, an address outside loopback is an error.
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
		return nil, fmt.Errorf("gossip: listening on %s, which is not a loopback address, requires a keyring", o.Listen)
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

// memberlistConfig returns the library's configuration, without the keyring, transport and delegates that Open adds.
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
	config.Label = o.Fleet // rejects members of other fleets
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

// Run joins missing members until the context ends. Then it leaves the fleet and closes what Open opened.
func (g *Gossip) Run(ctx context.Context) {
	var senders sync.WaitGroup
	for range streamSenders {
		senders.Go(func() { g.sendOutgoing(ctx) })
	}
	for ctx.Err() == nil {
		if addresses := g.joinTargets(); len(addresses) > 0 {
			_, _ = g.list.Join(addresses) // the next round retries after a failure
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
