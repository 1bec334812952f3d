package gossip

import (
	"context"
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"
)

const (
	maxDatagram       = 1200 // bytes of a message sent as one; larger ones go over connections
	outgoingQueueSize = 256  // messages that wait for a connection; more are lost
	streamSenders     = 4    // goroutines
)

type outgoingMessage struct {
	to   memberlist.Address
	data []byte
}

// Send sends a message to a member, best effort: a message may be lost without an error. It does not block.
func (g *Gossip) Send(name string, b []byte) {
	to, ok := g.address(name)
	if !ok {
		return
	}
	if len(b) <= maxDatagram {
		_ = g.list.SendToAddress(to, b)
		return
	}
	select {
	case g.outgoing <- outgoingMessage{to, b}:
	default:
	}
}

// SentBytes is the number of bytes that this member has sent to others.
func (g *Gossip) SentBytes() uint64 { return g.transport.sentBytes.Load() }

// address is where to reach a member: as announced, else as configured for a peer that was not seen yet.
func (g *Gossip) address(name string) (memberlist.Address, bool) {
	m, ok := g.member(name)
	if configuredAddress, configured := g.options.Peers[name]; configured && !ok {
		m.Address = configuredAddress
		ok = true
	}
	return memberlist.Address{Addr: m.Address, Name: name}, ok
}

// sendOutgoing sends messages over connections, one at a time, until the context ends.
func (g *Gossip) sendOutgoing(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-g.outgoing:
			host, portText, _ := net.SplitHostPort(m.to.Addr)
			port, _ := strconv.Atoi(portText)
			node := &memberlist.Node{Name: m.to.Name, Addr: net.ParseIP(host), Port: uint16(port)}
			_ = g.list.SendReliable(node, m.data)
		}
	}
}
