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

// transport carries the library's packets and streams: over sockets of its own, and to each peer under the address that
// this process has for it.
//
// The library's own transport takes 64 KiB of new memory for each packet; that was a third of what a member costs.
type transport struct {
	udp     *net.UDPConn
	tcp     *net.TCPListener
	at      *net.TCPAddr
	peers   map[string]string
	packets chan *memberlist.Packet
	streams chan net.Conn
	over    chan struct{}
	once    sync.Once
	running sync.WaitGroup
	sent    atomic.Uint64 // bytes
}

// counted counts what is written to a connection.
type counted struct {
	net.Conn
	sent *atomic.Uint64
}

func (c counted) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.sent.Add(uint64(n))
	return n, err
}

const waiting = 256 // packets and streams that the library has not taken; more are lost, as on the wire

func newTransport(listen string, peers map[string]string) (*transport, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	t := &transport{tcp: l.(*net.TCPListener), peers: peers, packets: make(chan *memberlist.Packet, waiting),
		streams: make(chan net.Conn, waiting), over: make(chan struct{})}
	t.at = t.tcp.Addr().(*net.TCPAddr)
	if t.udp, err = net.ListenUDP("udp", &net.UDPAddr{IP: t.at.IP, Port: t.at.Port}); err != nil {
		l.Close()
		return nil, err
	}
	_ = t.udp.SetReadBuffer(1 << 20) // as much of it as the system gives
	t.running.Go(t.listenPackets)
	t.running.Go(t.listenStreams)
	return t, nil
}

func (t *transport) listenPackets() {
	b := make([]byte, 64<<10)
	for {
		n, from, err := t.udp.ReadFromUDP(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // a refusal of one that was sent
		}
		if n == 0 {
			continue
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), b[:n]...), From: from, Timestamp: time.Now()}
		select {
		case t.packets <- p:
		case <-t.over:
			return
		default:
		}
	}
}

func (t *transport) listenStreams() {
	for {
		c, err := t.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(10 * time.Millisecond) // out of descriptors, for a moment
			continue
		}
		select {
		case t.streams <- counted{c, &t.sent}:
		default:
			c.Close()
		}
	}
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	if t.at.IP.IsUnspecified() {
		return nil, 0, fmt.Errorf("gossip: %v is no address that others can reach", t.at)
	}
	return t.at.IP, t.at.Port, nil
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
	t.sent.Add(uint64(n))
	return time.Now(), err
}

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, patience time.Duration) (net.Conn, error) {
	c, err := net.DialTimeout("tcp", addr, patience)
	if err != nil {
		return nil, err
	}
	return counted{c, &t.sent}, nil
}

func (t *transport) own(a memberlist.Address) string {
	if own, ok := t.peers[a.Name]; ok {
		return own
	}
	return a.Addr
}

// WriteToAddress implements memberlist.NodeAwareTransport.
func (t *transport) WriteToAddress(b []byte, a memberlist.Address) (time.Time, error) {
	return t.WriteTo(b, t.own(a))
}

// DialAddressTimeout implements memberlist.NodeAwareTransport.
func (t *transport) DialAddressTimeout(a memberlist.Address, patience time.Duration) (net.Conn, error) {
	return t.DialTimeout(t.own(a), patience)
}

// Shutdown implements memberlist.Transport.
func (t *transport) Shutdown() error {
	t.once.Do(func() {
		close(t.over)
		t.udp.Close()
		t.tcp.Close()
		t.running.Wait()
	})
	return nil
}
