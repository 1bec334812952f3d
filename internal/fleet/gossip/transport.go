package gossip

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
)

const (
	acceptQueueSize     = 256                   // limit on the packets, and on the streams, that wait for the library; more are lost, as on the network
	maxPacket           = 64 << 10              // size in bytes of the buffer for a received packet
	receiveBuffer       = 1 << 20               // size in bytes of the socket's receive buffer; the system may grant less
	acceptRetryInterval = 10 * time.Millisecond // pause after a failed accept, such as while the process has no free descriptor
)

// transport implements memberlist.NodeAwareTransport over sockets of its own. It reaches a peer at the address that is
// configured for it. Unlike the library's transport it reads all packets into one buffer, because a new buffer of
// 64 KiB for each packet dominates a member's cost.
type transport struct {
	udp          *net.UDPConn
	tcp          *net.TCPListener
	address      *net.TCPAddr
	peers        map[string]string // configured addresses by name
	packets      chan *memberlist.Packet
	streams      chan net.Conn
	closed       chan struct{}
	shutdownOnce sync.Once
	listeners    sync.WaitGroup
	sentBytes    atomic.Uint64
}

// countedConn counts the bytes written to a connection.
type countedConn struct {
	net.Conn
	sentBytes *atomic.Uint64
}

func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sentBytes.Add(uint64(n))
	return n, err
}

// newTransport listens for packets and streams on an address, and starts to receive them.
func newTransport(listen string, peers map[string]string) (*transport, error) {
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	t := &transport{
		tcp:     listener.(*net.TCPListener),
		peers:   peers,
		packets: make(chan *memberlist.Packet, acceptQueueSize),
		streams: make(chan net.Conn, acceptQueueSize),
		closed:  make(chan struct{}),
	}
	t.address = t.tcp.Addr().(*net.TCPAddr)
	if t.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: t.address.IP, Port: t.address.Port}); err != nil {
		listener.Close()
		return nil, err
	}
	_ = t.udp.SetReadBuffer(receiveBuffer)
	t.listeners.Go(t.listenPackets)
	t.listeners.Go(t.listenStreams)
	return t, nil
}

// listenPackets queues received packets for the library until Shutdown, and drops those that do not fit.
func (t *transport) listenPackets() {
	b := make([]byte, maxPacket)
	for {
		n, from, err := t.udp.ReadFromUDP(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // ICMP error for an earlier packet that this socket sent
		}
		if n == 0 {
			continue
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), b[:n]...), From: from, Timestamp: time.Now()}
		select {
		case t.packets <- p:
		case <-t.closed:
			return
		default:
		}
	}
}

// listenStreams queues accepted connections for the library until Shutdown, and closes those that do not fit.
func (t *transport) listenStreams() {
	for {
		c, err := t.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryInterval)
			continue
		}
		select {
		case t.streams <- countedConn{c, &t.sentBytes}:
		default:
			c.Close()
		}
	}
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	if t.address.IP.IsUnspecified() {
		return nil, 0, fmt.Errorf("gossip: other members can't reach the unspecified address %v", t.address)
	}
	return t.address.IP, t.address.Port, nil
}

// PacketCh implements memberlist.Transport.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// WriteTo implements memberlist.Transport.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	to, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return time.Time{}, err
	}
	n, err := t.udp.WriteTo(b, to)
	t.sentBytes.Add(uint64(n))
	return time.Now(), err
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, timeout)
	if err != nil {
		return nil, err
	}
	return countedConn{c, &t.sentBytes}, nil
}

// peerAddress returns the configured address of a member, or else the one that the member advertises.
func (t *transport) peerAddress(a memberlist.Address) string {
	if configured, ok := t.peers[a.Name]; ok {
		return configured
	}
	return a.Addr
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, t.peerAddress(a))
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, timeout time.Duration) (net.Conn, error) {
	return t.DialTimeout(t.peerAddress(a), timeout)
}

// Shutdown implements memberlist.Transport.
func (t *transport) Shutdown() error {
	t.shutdownOnce.Do(func() {
		close(t.closed)
		t.udp.Close()
		t.tcp.Close()
		t.listeners.Wait()
	})
	return nil
}
