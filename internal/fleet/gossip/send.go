package gossip

import (
	"context"
	"net"
	"strconv"

	"github.com/hashicorp/memberlist"
)

const (
	maxDatagram       = 1200 // limit in bytes on a message that is sent as a datagram; larger ones are sent over connections
	outgoingQueueSize = 256  // limit on the messages that wait for a connection; more are lost
	streamSenders     = 4    // number of goroutines that send over connections
)

// outgoingMessage is a message to send over a connection.
type outgoingMessage struct {
	to   memberlist.Address
	data []byte
}

// Send sends a message to a member. It does not block. The message may be lost without an error.
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

// SentBytes returns the number of bytes that this process has sent to other members.
func (g *Gossip) SentBytes() uint64 { return g.transport.sentBytes.Load() }

// address returns the advertised address of a member, or the configured address of a peer that was not seen yet. It
// returns false if there is neither.
func (g *Gossip) address(name string) (memberlist.Address, bool) {
	m, ok := g.member(name)
	if configuredAddress, configured := g.options.Peers[name]; configured && !ok {
		m.Address = configuredAddress
		ok = true
	}
	return memberlist.Address{Addr: m.Address, Name: name}, ok
}

// sendOutgoing sends messages from the queue over connections, one at a time, until the context ends.
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
